"""Memory budget of one daemon: counts the bytes held for requests and batches, by purpose.

No I/O. Code that buffers bytes reserves them here first. The limit for one buffered response
shrinks as the budget fills up; see `MemoryBudget.response_limit`.
"""

import math
import random
from collections.abc import Callable
from enum import StrEnum

from larkpost.common.errors import LarkpostError

RESPONSE_LIMIT_DIVISOR = 8
"""One response may hold at most the free bytes divided by this, so that others fit as well."""
MIN_RESPONSE_LIMIT_BYTES = 65536
"""Lower bound of the limit for one response, so that every response can make progress."""
LOW_MEMORY_FRACTION = 0.5
"""Memory is low while less than this fraction of the budget is free."""
SMALL_BODY_BYTES = 65536
"""Maximum size of a small body."""
SMALL_BODIES_FRACTION = 1 / 16
"""Extra fraction of the budget for small bodies, on top of the limit, so that ordinary requests are
served while large bodies or batches fill the budget."""
MAX_BATCHES_FRACTION = 0.5
"""New batches are accepted only while batches hold at most this fraction of the budget: batches are
held for a long time, and those of daemons that stop may be claimed in addition."""
RETRY_AFTER_SECONDS = 0.3
"""Minimum Retry-After; randomized up to twice this value, so that callers do not retry together."""


class MemoryPurpose(StrEnum):
    """What bytes are held for."""

    REQUEST_BODIES = "request_bodies"  # from receipt until the request is answered
    SMALL_BODIES = "small_bodies"  # of requests that declare at most `SMALL_BODY_BYTES`
    SUBMISSIONS = "submissions"  # batches while they are read and written to the store
    RESPONSES = "answers"  # complete responses, until the client has received them
    STREAMS = "streams"  # read ahead from the server for slow clients
    PAGES = "pages"  # result pages and bodies of batches that clients requested
    BATCHES = "batches"  # items and results of batches that run or were read here
    RELAYED_CALLS = "relayed_calls"  # store calls relayed for other daemons


class MemoryBudgetError(LarkpostError):
    """The memory budget is exhausted; the request did not run and will not."""

    code = "no_room"
    status = 503
    remedy = "Retry after the time in Retry-After, or at another daemon."


class MemoryBudget:
    """Counts the bytes that are held, and grants reservations within a limit.

    Attributes:
        limit: maximum number of bytes held in total; None if unlimited.
        on_rejection: called with the reservation that could not grow and the bytes it asked for.
    """

    def __init__(self, limit: int | None = None, rng: random.Random | None = None) -> None:
        self.limit = limit
        self.on_rejection: Callable[[Reservation, int], None] = lambda *_: None
        self._rng = rng or random.Random()
        self._held = dict.fromkeys(MemoryPurpose, 0)

    @property
    def total(self) -> int:
        """Bytes held for all purposes."""
        return sum(self._held.values())

    @property
    def free(self) -> float:
        """Bytes that may still be reserved; infinite without a limit."""
        return max(0, self.limit - self.total) if self.limit is not None else math.inf

    @property
    def is_low(self) -> bool:
        """Whether so little memory is free that slow clients may be disconnected."""
        return self.limit is not None and self.free < self.limit * LOW_MEMORY_FRACTION

    @property
    def response_limit(self) -> float:
        """Maximum number of bytes that one response may hold now; infinite without a limit."""
        return max(MIN_RESPONSE_LIMIT_BYTES, self.free / RESPONSE_LIMIT_DIVISOR)

    def shortfall(self, purpose: MemoryPurpose, size: int) -> float:
        """Returns how many bytes must be released before ``size`` more may be held.

        Returns:
            0 if they may be held now; infinite if they would not fit even after all requests and
            responses were released.
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
            owner: request id for logs.

        Raises:
            MemoryBudgetError: the budget is exhausted.
        """
        reservation = Reservation(self, purpose, owner)
        reservation.grow(size)
        return reservation

    def set_held(self, purpose: MemoryPurpose, size: int) -> None:
        """Sets the bytes held for a purpose that does not use reservations."""
        self._held[purpose] = size

    def budget_error(self, size: int) -> MemoryBudgetError:
        """Returns the error for a reservation of ``size`` bytes that does not fit."""
        wait = RETRY_AFTER_SECONDS * (1 + self._rng.random())
        return MemoryBudgetError(f"no room for {size} more bytes", retry_after=round(wait, 3))

    def add(self, purpose: MemoryPurpose, size: int) -> None:
        """Adds bytes to a purpose; a negative size subtracts."""
        self._held[purpose] += size

    def _fits_small_bodies(self, size: int) -> bool:
        return self._held[MemoryPurpose.SMALL_BODIES] + size <= self.limit * SMALL_BODIES_FRACTION

    @property
    def _is_full_of_batches(self) -> bool:
        return self._held[MemoryPurpose.BATCHES] > self.limit * MAX_BATCHES_FRACTION


class Reservation:
    """Bytes held for one purpose; a context manager that releases them on exit.

    Attributes:
        size: bytes currently reserved.
    """

    def __init__(self, budget: MemoryBudget, purpose: MemoryPurpose, owner: str = "") -> None:
        self._budget = budget
        self.purpose = purpose
        self.owner = owner
        self.size = 0

    def fits(self, size: int) -> bool:
        """Returns whether ``size`` more bytes fit into the budget."""
        return self._budget.shortfall(self.purpose, size) == 0

    def fits_response_limit(self, size: int) -> bool:
        """Returns whether ``size`` more bytes stay within `MemoryBudget.response_limit`."""
        return self.size + size <= self._budget.response_limit

    def grow(self, size: int) -> None:
        """Reserves more bytes.

        Raises:
            MemoryBudgetError: the budget is exhausted; earlier bytes stay reserved.
        """
        if size > 0 and not self.fits(size):
            self._budget.on_rejection(self, size)
            raise self._budget.budget_error(size)
        self.force_grow(size)

    def force_grow(self, size: int) -> None:
        """Counts bytes that are already held, even beyond the limit."""
        self._budget.add(self.purpose, size)
        self.size += size

    def shrink(self, size: int) -> None:
        """Releases some of the bytes."""
        self._budget.add(self.purpose, -size)
        self.size -= size

    def release(self) -> None:
        """Releases all bytes."""
        self.shrink(self.size)

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
