"""Selects the client to disconnect when memory runs low: the one that reads slowest.

No I/O; `delivery.py` tracks the responses.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import TypeVar

MIN_SLOW_SECONDS = 2.0
"""Minimum time behind before a client counts as slow, so that short pauses do not count."""
STALLED_SECONDS = 10.0
"""Maximum time without progress, of a client that reads a response or sends a body."""

Key = TypeVar("Key", bound=Hashable)


@dataclass(frozen=True, slots=True)
class ReadRate:
    """How fast a client that has fallen behind reads its response.

    Attributes:
        held: bytes reserved for its request.
        bytes_read: bytes that it has read since it fell behind.
        seconds: time since it fell behind.
    """

    held: int
    bytes_read: int
    seconds: float


def slowest_client(rates: Mapping[Key, ReadRate]) -> Key | None:
    """Returns the client to disconnect; None if no slow client holds memory.

    It is the one that reads the fewest bytes per second; ties go to the one that holds the most.
    """
    slow = {
        key: (rate.bytes_read / rate.seconds, -rate.held)
        for key, rate in rates.items()
        if rate.held > 0 and rate.seconds >= MIN_SLOW_SECONDS
    }
    return min(slow, key=slow.__getitem__, default=None)
