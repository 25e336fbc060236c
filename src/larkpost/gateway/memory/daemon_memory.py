"""The memory budget of one daemon and its slow clients.

Disconnects the slowest client when the budget runs low; `slow_clients.py` selects it.
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
    """Why a client was disconnected."""

    SLOWEST = "slowest"  # memory was low, and it read its response slowest
    STALLED = "stalled"  # it read nothing for `STALLED_SECONDS`


class RequestMemory:
    """Memory held for one client request; released when the request ends.

    Attributes:
        owner: the request id, for logs.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self._budget = budget if budget is not None else MemoryBudget()
        self._reservations: list[Reservation] = []
        self.owner = ""

    @property
    def is_limited(self) -> bool:
        """Whether the budget has a limit."""
        return self._budget.limit is not None

    def fits_limit(self, size: int) -> bool:
        """Returns whether ``size`` bytes would fit into an empty budget."""
        return self._budget.limit is None or size <= self._budget.limit

    @property
    def size(self) -> int:
        """Bytes held for the request."""
        return sum(reservation.size for reservation in self._reservations)

    def reserve(self, purpose: MemoryPurpose, size: int = 0) -> Reservation:
        """Reserves bytes until released, at the latest when the request ends.

        Raises:
            MemoryBudgetError: the budget is exhausted.
        """
        reservation = self._budget.reserve(purpose, size, self.owner)
        self._reservations.append(reservation)
        return reservation

    def shrink_to(self, purpose: MemoryPurpose, size: int) -> None:
        """Replaces all reservations by one of ``size`` bytes that are already held."""
        self.release()
        self.reserve(purpose).force_grow(size)

    def release(self) -> None:
        """Releases all reservations of the request."""
        for reservation in self._reservations:
            reservation.release()


class DaemonMemory:
    """Memory held by one daemon.

    Args:
        limit: maximum number of bytes; None if unlimited.
    """

    def __init__(
        self, limit: int | None, instruments: Instruments, rng: random.Random | None = None
    ) -> None:
        self.budget = MemoryBudget(limit, rng)
        self.budget.on_rejection = self._record_rejection
        self._instruments = instruments
        self._slow_deliveries: dict[Delivery, str] = {}

    @property
    def is_limited(self) -> bool:
        """Whether the budget has a limit."""
        return self.budget.limit is not None

    @contextmanager
    def request(self) -> Iterator[RequestMemory]:
        """Returns the memory of one request, released on exit."""
        memory = RequestMemory(self.budget)
        try:
            yield memory
        finally:
            memory.release()

    @contextmanager
    def delivery(self, connection: ClientConnection, memory: RequestMemory) -> Iterator[Delivery]:
        """Tracks the response to a request while it is delivered to the client."""
        delivery = Delivery(
            connection,
            self._instruments.clock,
            lambda: memory.size,
            lambda slow: self._slow_deliveries.setdefault(slow, memory.owner),
            lambda stalled: self._record_disconnect(stalled, DisconnectReason.STALLED),
        )
        try:
            yield delivery
        finally:
            self._slow_deliveries.pop(delivery, None)

    def disconnect_slowest(self, shortfall: float = 0) -> None:
        """Disconnects the slowest client, if any client is slow.

        Args:
            shortfall: bytes to free; a client that holds fewer is not disconnected.
        """
        slowest = slowest_client(
            {
                delivery: delivery.read_rate()
                for delivery in self._slow_deliveries
                if not delivery.is_disconnected
            }
        )
        if slowest is not None and slowest.read_rate().held >= shortfall:
            self._record_disconnect(slowest, DisconnectReason.SLOWEST)
            slowest.disconnect()

    def set_gauges(self) -> None:
        """Updates the gauges of the memory budget."""
        metrics = self._instruments.metrics
        for purpose in MemoryPurpose:
            metrics.set(Level.BYTES_HELD, self.budget.held(purpose), purpose)
        metrics.set(Level.BYTES_LIMIT, self.budget.limit or 0)

    def _record_rejection(self, reservation: Reservation, size: int) -> None:
        """Records a rejected reservation, and disconnects a slow client to free memory."""
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
            taken=read_rate.bytes_read,
            seconds=round(read_rate.seconds, 3),
        )


def unlimited_memory() -> DaemonMemory:
    """Returns unlimited memory that records nothing."""
    return DaemonMemory(None, Instruments(LoopClock(), EventLog("")))
