"""In-memory scaling port with the platform's contract and faults."""

from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.controllers.leases import Lease
from larkpost.gateway.scaling.port import ScalingOrder, ScalingOutcome, ServerKind


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """A received order; `at` is in seconds on the receiver's clock."""

    order: ScalingOrder
    holder: str
    token: int
    at: float
    outcome: ScalingOutcome


@dataclass(slots=True)
class ScriptedScaling:
    """Accepts orders; implements `larkpost.gateway.scaling.port.ScalingPort`.

    Attributes:
        down: no order is answered or accepted.
        has_preemptible: whether there are preemptible servers.
        received: all received orders, in order.
    """

    clock: Clock
    down: bool = False
    has_preemptible: bool = True
    received: list[ReceivedOrder] = field(default_factory=list)

    async def order_servers(
        self, order: ScalingOrder, holder: str, lease: Lease, timeout: float
    ) -> ScalingOutcome:
        """Records an order; see the port."""
        await self.clock.sleep(0.002)
        if self.down:
            await self.clock.sleep(timeout)
            return ScalingOutcome.UNKNOWN
        is_preemptible = order.kind is ServerKind.PREEMPTIBLE
        outcome = ScalingOutcome.TAKEN
        if is_preemptible and not self.has_preemptible:
            outcome = ScalingOutcome.REFUSED
        self.received.append(ReceivedOrder(order, holder, lease.token, self.clock.now(), outcome))
        return outcome
