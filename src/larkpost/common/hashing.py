"""Stable hashes that are equal in every process."""

import xxhash


def hash64(text: str, seed: int = 0) -> int:
    """Returns a 64-bit hash of a text; each seed from 0 to 2^64 - 1 gives another hash."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed)


def short_digest(text: str) -> str:
    """Returns a 64-bit hash of a text as 16 hexadecimal digits."""
    return xxhash.xxh3_64_hexdigest(text.encode())
