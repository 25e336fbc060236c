"""Stable hashes, equal in every process."""

import xxhash


def hash64(text: str) -> int:
    """Returns a 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())


def short_digest(text: str) -> str:
    """Returns 16 hexadecimal digits that name a text."""
    return xxhash.xxh3_64_hexdigest(text.encode())
