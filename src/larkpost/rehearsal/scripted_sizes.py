"""A taker of orders of servers in memory, with the platform's contract and its faults."""

from dataclasses import dataclass, field

from larkpost.capacity.port import SizeOrder, SizeOutcome
from larkpost.clock import Clock
from larkpost.fleet.leases import Lease
from larkpost.ids import ZoneId


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order that arrived; `at` is on the taker's clock."""

    order: SizeOrder
    holder: str
    token: int
    at: float
    outcome: SizeOutcome


@dataclass(slots=True)
class ScriptedSizes:
    """Takes orders; implements `larkpost.capacity.port.SizePort`.

    Attributes:
        dry: zones where no servers are to be had.
        lost_answers: how many of the next orders are taken without an answer.
        received: all orders that arrived, in order.
    """

    clock: Clock
    dry: set[ZoneId] = field(default_factory=set)
    lost_answers: int = 0
    received: list[ReceivedOrder] = field(default_factory=list)

    async def order_size(
        self, order: SizeOrder, holder: str, lease: Lease, timeout: float
    ) -> SizeOutcome:
        """Takes an order; see the port."""
        await self.clock.sleep(0.002)
        tokens = [known.token for known in self.by_subject().get(_subject(order), ())]
        is_refused = order.zone in self.dry or lease.token < max(tokens, default=0)
        outcome = SizeOutcome.REFUSED if is_refused else SizeOutcome.TAKEN
        self.received.append(ReceivedOrder(order, holder, lease.token, self.clock.now(), outcome))
        if self.lost_answers:
            self.lost_answers -= 1
            await self.clock.sleep(timeout)
            return SizeOutcome.UNKNOWN
        return outcome

    def by_subject(self) -> dict[str, list[ReceivedOrder]]:
        """Returns the orders of each service and zone."""
        found: dict[str, list[ReceivedOrder]] = {}
        for received in self.received:
            found.setdefault(_subject(received.order), []).append(received)
        return found


def _subject(order: SizeOrder) -> str:
    return f"{order.service}/{order.zone}"
