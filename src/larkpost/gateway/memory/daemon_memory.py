"""The memory of one daemon that is held for others: its budget and the clients that are behind.

Owns which client is cut when room is short; `slow_readers.py` says which.
"""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum

from larkpost.common.clock import LoopClock
from larkpost.gateway.memory.budget import MemoryBudget, MemoryPurpose, Reservation
from larkpost.gateway.memory.delivery import ClientConnection, Delivery
from larkpost.gateway.memory.slow_clients import slowest_client
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.observability.metrics import Count, Level


class DisconnectReason(StrEnum):
    """Why a client's connection was cut."""

    SLOWEST = "slowest"  # memory was short, and it took its answer slowest
    STALLED = "stalled"  # it took nothing for long


class RequestMemory:
    """What is held for one request of a client; released at its end.

    Attributes:
        owner: the request's id, for logs.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self._budget = budget if budget is not None else MemoryBudget()
        self._reservations: list[Reservation] = []
        self.owner = ""

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit on what may be held."""
        return self._budget.limit is not None

    def fits_limit(self, size: int) -> bool:
        """Returns whether so many bytes could be held if nothing else were."""
        return self._budget.limit is None or size <= self._budget.limit

    @property
    def size(self) -> int:
        """The bytes held for the request."""
        return sum(reservation.size for reservation in self._reservations)

    def reserve(self, purpose: MemoryPurpose, size: int = 0) -> Reservation:
        """Reserves bytes, at most until the request's end.

        Raises:
            NoRoomError: there is no room for them.
        """
        reservation = self._budget.reserve(purpose, size, self.owner)
        self._reservations.append(reservation)
        return reservation

    def shrink_to(self, purpose: MemoryPurpose, size: int) -> None:
        """Releases all but so many bytes, which are held already."""
        self.release()
        self.reserve(purpose).force_grow(size)

    def release(self) -> None:
        """Releases all that is held for the request."""
        for reservation in self._reservations:
            reservation.release()


class DaemonMemory:
    """What one daemon holds for others.

    Args:
        limit: the most bytes; None if there is no limit.
    """

    def __init__(
        self, limit: int | None, instruments: Instruments, rng: random.Random | None = None
    ) -> None:
        self.budget = MemoryBudget(limit, rng)
        self.budget.on_rejection = self._record_refusal
        self._instruments = instruments
        self._slow_deliveries: dict[Delivery, str] = {}

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit on what may be held."""
        return self.budget.limit is not None

    @contextmanager
    def request(self) -> Iterator[RequestMemory]:
        """Holds bytes for one request, until its end."""
        memory = RequestMemory(self.budget)
        try:
            yield memory
        finally:
            memory.release()

    @contextmanager
    def delivery(self, connection: ClientConnection, memory: RequestMemory) -> Iterator[Delivery]:
        """Follows the answer to a request on its way to the client."""
        delivery = Delivery(
            connection,
            self._instruments.clock,
            lambda: memory.size,
            lambda behind: self._slow_deliveries.setdefault(behind, memory.owner),
            lambda stalled: self._record_disconnect(stalled, DisconnectReason.STALLED),
        )
        try:
            yield delivery
        finally:
            self._slow_deliveries.pop(delivery, None)

    def disconnect_slowest(self, shortfall: float = 0) -> None:
        """Cuts the client that takes its answer slowest, if one is slow.

        Args:
            missing: bytes for which there is no room; nobody is cut who holds less.
        """
        slowest = slowest_client(
            {
                behind: behind.read_rate()
                for behind in self._slow_deliveries
                if not behind.is_disconnected
            }
        )
        if slowest is not None and slowest.read_rate().held >= shortfall:
            self._record_disconnect(slowest, DisconnectReason.SLOWEST)
            slowest.disconnect()

    def set_gauges(self) -> None:
        """Sets the gauges of what is held."""
        metrics = self._instruments.metrics
        for purpose in MemoryPurpose:
            metrics.set(Level.BYTES_HELD, self.budget.held(purpose), purpose)
        metrics.set(Level.BYTES_LIMIT, self.budget.limit or 0)

    def _record_refusal(self, reservation: Reservation, size: int) -> None:
        """Records that there was no room, and makes some if a client is slow."""
        self._instruments.metrics.count(Count.NO_ROOM, reservation.purpose)
        self._instruments.log.record(
            Event.NO_ROOM,
            request=reservation.owner,
            purpose=reservation.purpose,
            bytes=size,
            held=self.budget.total,
            limit=self.budget.limit,
        )
        self.disconnect_slowest(self.budget.shortfall(reservation.purpose, size))

    def _record_disconnect(self, delivery: Delivery, reason: DisconnectReason) -> None:
        read_rate = delivery.read_rate()
        self._instruments.metrics.count(Count.READERS_CUT, reason)
        self._instruments.log.record(
            Event.READER_CUT,
            request=self._slow_deliveries.get(delivery, ""),
            reason=reason,
            held=read_rate.held,
            taken=read_rate.taken,
            seconds=round(read_rate.seconds, 3),
        )


def unlimited_memory() -> DaemonMemory:
    """Returns the memory of a daemon without a limit, that records nothing."""
    return DaemonMemory(None, Instruments(LoopClock(), EventLog("")))
