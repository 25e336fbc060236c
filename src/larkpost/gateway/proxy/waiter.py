"""A client request that needs a slot, and how the share of its flow has affected it."""

import asyncio
from contextlib import ExitStack
from dataclasses import dataclass, field

from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import Flow, FlowGroup
from larkpost.gateway.fairness.share_rule import FlowShare
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.forecast import Deadlines, Forecast


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that needs a slot; it may enter its queue several times.

    Attributes:
        priority: 0 is the most urgent.
        first_attempt_at: estimated steady time of the client's first attempt.
        flow_name: name of its flow, which is its tenant or its route.
        is_retry: whether its client was refused before, as estimated from the elapsed time.
        is_share_exempt: whether the starvation guard exempts it from its flow's share.
        flow_share: its flow's share when it was last held back; None if it never was.
        held_since: steady time at which it began to yield to others; None if it does not.
        is_outcome_recorded: whether an outcome of being over the share was logged for it.
        turn: resolved with the forecast when its turn comes or it becomes infeasible.
        missed_objective: whether it was recorded as getting no slot within its objective.
        ledger_entry: counts it as waiting in the ledger until closed; None while not counted.
        flow: the flow that it belongs to.
    """

    service: ServiceName
    work: Work
    priority: int
    deadlines: Deadlines
    first_attempt_at: float
    flow_name: str = ""
    is_retry: bool = False
    is_share_exempt: bool = False
    flow_share: FlowShare | None = None
    held_since: float | None = None
    is_outcome_recorded: bool = False
    turn: asyncio.Future[Forecast] | None = None
    missed_objective: bool = False
    ledger_entry: ExitStack | None = None
    flow: Flow = field(init=False)

    def __post_init__(self) -> None:
        self.flow = Flow(FlowGroup(self.service, self.priority), self.flow_name)

    @property
    def was_over_share(self) -> bool:
        """Whether it was held back because its flow was over its share."""
        return self.flow_share is not None and not self.is_share_exempt
