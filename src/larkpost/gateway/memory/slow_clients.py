"""Which client is cut first when memory gets short: the one that takes its answer slowest.

Pure rules; answers under way are `delivery.py`'s.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import TypeVar

MIN_SLOW_SECONDS = 2.0
"""A client is called slow after so long only: any stops for a moment."""
STALLED_SECONDS = 10.0
"""A client that takes nothing for so long is let go, and so is a body that brings nothing."""

Key = TypeVar("Key", bound=Hashable)


@dataclass(frozen=True, slots=True)
class ReadRate:
    """How a client that does not keep up takes its answer.

    Attributes:
        held: bytes reserved for its request.
        taken: bytes that it took since it fell behind.
        seconds: since it fell behind.
    """

    held: int
    taken: int
    seconds: float


def slowest_client(rates: Mapping[Key, ReadRate]) -> Key | None:
    """Returns the client to cut; None if none is slow whose end would free anything.

    It is the one that takes the fewest bytes a second, and of several the one that holds most.
    """
    slow = {
        key: (pace.taken / pace.seconds, -pace.held)
        for key, pace in rates.items()
        if pace.held > 0 and pace.seconds >= MIN_SLOW_SECONDS
    }
    return min(slow, key=slow.__getitem__, default=None)
