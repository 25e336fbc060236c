"""The bytes that one daemon holds for others, by purpose, and the most that it may hold.

Pure: whoever holds bytes reserves them here first. Answers are held in full as far as they leave
room to others; see `ByteBudget.share`.
"""

import math
import random
from collections.abc import Callable
from enum import StrEnum

from larkpost.common.errors import LarkpostError

ANSWER_LIMIT_DIVISOR = 8
"""One answer may hold as much as this part of what is free, so that the next one always finds some
room."""
MIN_ANSWER_LIMIT_BYTES = 65536
"""One answer may hold as much as this, however little is free, so that each can go on."""
LOW_MEMORY_FRACTION = 0.5
"""Room is short once less than this share of the budget is free."""
SMALL_BODY_BYTES = 65536
"""A body of at most this size is a small one."""
SMALL_BODIES_FRACTION = 1 / 16
"""Small bodies may hold this part of the budget beyond it, so that ordinary requests are served
while large bodies or batches fill it."""
MAX_BATCHES_FRACTION = 0.5
"""New batches are taken only while those that are held take no more than this part of the budget:
they stay for long, and more may be claimed from daemons that end."""
RETRY_AFTER_SECONDS = 0.3
"""What a caller is asked to wait at least; up to twice as long, so that they return one by one."""


class MemoryPurpose(StrEnum):
    """What bytes are held for."""

    REQUEST_BODIES = "request_bodies"  # read, until the request is answered
    SMALL_BODIES = "small_bodies"  # the same, of requests that declare at most `SMALL_BODY_BYTES`
    SUBMISSIONS = "submissions"  # batches while they are read and written to the store
    ANSWERS = "answers"  # whole, from their server until their client has taken them
    STREAMS = "streams"  # read from their server before their client takes them
    PAGES = "pages"  # results and bodies of batches that clients have asked for
    BATCHES = "batches"  # items and results of batches that are run or were read here
    RELAYED_CALLS = "relayed_calls"  # calls to the store for other daemons


class MemoryBudgetError(LarkpostError):
    """The daemon may hold no more bytes now; the request did not run and will not."""

    code = "no_room"
    status = 503
    remedy = "Ask again after the time in Retry-After, or another daemon."


class MemoryBudget:
    """Counts the bytes that are held, and reserves more while there is room.

    Attributes:
        limit: the most bytes that may be held together; None if there is no limit.
        on_refusal: told which reservation could not grow, and by how many bytes.
    """

    def __init__(self, limit: int | None = None, rng: random.Random | None = None) -> None:
        self.limit = limit
        self.on_rejection: Callable[[Reservation, int], None] = lambda *_: None
        self._chance = rng or random.Random()
        self._held = dict.fromkeys(MemoryPurpose, 0)

    @property
    def total(self) -> int:
        """The bytes held for all purposes."""
        return sum(self._held.values())

    @property
    def free(self) -> float:
        """The bytes that may still be reserved; infinite without a limit."""
        return max(0, self.limit - self.total) if self.limit is not None else math.inf

    @property
    def is_low(self) -> bool:
        """Whether so little is free that slow clients must give way."""
        return self.limit is not None and self.free < self.limit * LOW_MEMORY_FRACTION

    @property
    def answer_limit(self) -> float:
        """The most bytes that one answer may hold now; infinite without a limit."""
        return max(MIN_ANSWER_LIMIT_BYTES, self.free / ANSWER_LIMIT_DIVISOR)

    def shortfall(self, purpose: MemoryPurpose, size: int) -> float:
        """Returns how many bytes must be released before so many more may be held.

        Returns:
            0 if they may be held now; infinite if releasing requests and answers does not suffice.
        """
        if self.limit is None:
            return 0
        if purpose is MemoryPurpose.SMALL_BODIES and self._fits_small_bodies(size):
            return 0
        if size > self.limit or (purpose is MemoryPurpose.SUBMISSIONS and self._is_full_of_batches):
            return math.inf
        return max(0, self.total + size - self.limit)

    def held(self, purpose: MemoryPurpose) -> int:
        """Returns the bytes held for a purpose."""
        return self._held[purpose]

    def reserve(self, purpose: MemoryPurpose, size: int = 0, owner: str = "") -> "Reservation":
        """Reserves bytes.

        Args:
            owner: for whom, for logs.

        Raises:
            NoRoomError: there is no room for them.
        """
        reservation = Reservation(self, purpose, owner)
        reservation.grow(size)
        return reservation

    def set_held(self, purpose: MemoryPurpose, size: int) -> None:
        """Records all that is held for a purpose of which nothing is reserved."""
        self._held[purpose] = size

    def budget_error(self, size: int) -> MemoryBudgetError:
        """Returns the error of a reservation that finds no room."""
        wait = RETRY_AFTER_SECONDS * (1 + self._chance.random())
        return MemoryBudgetError(f"no room for {size} bytes", retry_after=round(wait, 3))

    def add(self, purpose: MemoryPurpose, size: int) -> None:
        """Counts bytes of a reservation, fewer if negative."""
        self._held[purpose] += size

    def _fits_small_bodies(self, size: int) -> bool:
        return self._held[MemoryPurpose.SMALL_BODIES] + size <= self.limit * SMALL_BODIES_FRACTION

    @property
    def _is_full_of_batches(self) -> bool:
        return self._held[MemoryPurpose.BATCHES] > self.limit * MAX_BATCHES_FRACTION


class Reservation:
    """Bytes held for one purpose; a context manager that releases them at its end.

    Attributes:
        size: bytes reserved now.
    """

    def __init__(self, budget: MemoryBudget, purpose: MemoryPurpose, owner: str = "") -> None:
        self._budget = budget
        self.purpose = purpose
        self.owner = owner
        self.size = 0

    def fits(self, size: int) -> bool:
        """Returns whether there is room for so many bytes more."""
        return self._budget.shortfall(self.purpose, size) == 0

    def fits_answer_limit(self, size: int) -> bool:
        """Returns whether so many bytes more leave room to others; see `ByteBudget.share`."""
        return self.size + size <= self._budget.answer_limit

    def grow(self, size: int) -> None:
        """Reserves more bytes.

        Raises:
            NoRoomError: there is no room for them; what was reserved stays so.
        """
        if size > 0 and not self.fits(size):
            self._budget.on_rejection(self, size)
            raise self._budget.budget_error(size)
        self.force_grow(size)

    def force_grow(self, size: int) -> None:
        """Counts bytes that are held already, whether there is room or not."""
        self._budget.add(self.purpose, size)
        self.size += size

    def shrink(self, size: int) -> None:
        """Releases a part of the bytes."""
        self._budget.add(self.purpose, -size)
        self.size -= size

    def release(self) -> None:
        """Releases all bytes."""
        self.shrink(self.size)

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
