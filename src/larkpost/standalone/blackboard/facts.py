"""Replicated facts: versioned key-value pairs; a higher version replaces a lower one.

Configuration epochs, the newest weight version of each policy, machine entries and drain marks are
facts. Each key has one writer or externally ordered versions, so merging needs no consensus and a
daemon never moves to a lower version.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from larkpost.common.hashing import hash64

CONFIGURATION_KEY = "configuration"
POLICY_PREFIX = "policy/"
MACHINE_PREFIX = "machine/"
DRAIN_PREFIX = "drain/"

BUCKETS = 64
"""Number of digest buckets; only buckets that differ are exchanged, not the whole table."""


@dataclass(frozen=True, slots=True)
class Fact:
    """One version of a key; ``value`` is encoded by the controller that owns the key's prefix."""

    key: str
    version: int
    value: bytes


FactListener = Callable[[Fact], None]


class FactTable:
    """All facts known to a daemon, with a digest that is equal for equal tables."""

    def __init__(self) -> None:
        self._facts: dict[str, Fact] = {}
        self._listeners: list[tuple[str, FactListener]] = []
        self.bucket_digests = [0] * BUCKETS
        """For each bucket, the XOR of the 64-bit hashes of its facts' keys and versions."""
        self.digest = 0
        """XOR of the bucket digests."""

    def __len__(self) -> int:
        return len(self._facts)

    def get(self, key: str) -> Fact | None:
        """Returns the fact of that key, or None."""
        return self._facts.get(key)

    def version(self, key: str) -> int:
        """Returns the key's version, 0 if unknown."""
        fact = self._facts.get(key)
        return fact.version if fact else 0

    def all(self) -> Iterable[Fact]:
        """Returns every fact."""
        return self._facts.values()

    def add_listener(self, prefix: str, listener: FactListener) -> None:
        """Registers ``listener`` for each newly merged fact whose key starts with ``prefix``."""
        self._listeners.append((prefix, listener))

    def merge(self, fact: Fact) -> bool:
        """Stores a fact and calls its listeners if it is newer than the known one.

        Returns:
            Whether the table changed.
        """
        known = self._facts.get(fact.key)
        if known is not None and known.version >= fact.version:
            return False
        if known is not None:
            self._toggle(known)
        self._facts[fact.key] = fact
        self._toggle(fact)
        for prefix, listener in self._listeners:
            if fact.key.startswith(prefix):
                listener(fact)
        return True

    def facts_differing_from(self, digests: list[int]) -> list[Fact]:
        """Returns the facts of each bucket whose digest differs from the given one."""
        differs = [own != other for own, other in zip(self.bucket_digests, digests, strict=True)]
        return [fact for fact in self._facts.values() if differs[_bucket(fact.key)]]

    def _toggle(self, fact: Fact) -> None:
        fact_hash = _fact_hash(fact)
        self.bucket_digests[_bucket(fact.key)] ^= fact_hash
        self.digest ^= fact_hash


def _bucket(key: str) -> int:
    return hash64(key) % BUCKETS


def _fact_hash(fact: Fact) -> int:
    return hash64(f"{fact.key}\x00{fact.version}")
