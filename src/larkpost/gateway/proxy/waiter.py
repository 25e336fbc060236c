"""One client request that wants a place, and what became of it by its tenant's share."""

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
    """One request that wants a place; it may come back into its queue.

    Attributes:
        priority: 0 is the most urgent.
        since: steady time of its caller's first attempt, as estimated.
        flow_name: whose share it counts to, its tenant's or its route's.
        is_back: whether its caller was refused before and has come back.
        is_passed: whether it counts as within its share, as few of its flow are served.
        standing: its flow's, when it last had to let others go first; None if it never had.
        held_since: steady time since which it lets others go first; None if it does not.
        is_recorded: whether the log says that it was held.
        call: resolved with the forecast when its turn has come, or when it is hopeless.
        has_missed: whether it was found not to get a place within its objective.
        share_count: ends its count among those that wait for their shares; None while it is not
            counted.
        flow: the flow that it belongs to.
    """

    service: ServiceName
    work: Work
    priority: int
    deadlines: Deadlines
    since: float
    flow_name: str = ""
    is_retry: bool = False
    is_share_exempt: bool = False
    flow_share: FlowShare | None = None
    held_since: float | None = None
    is_recorded: bool = False
    turn: asyncio.Future[Forecast] | None = None
    missed_objective: bool = False
    share_count: ExitStack | None = None
    flow: Flow = field(init=False)

    def __post_init__(self) -> None:
        self.flow = Flow(FlowGroup(self.service, self.priority), self.flow_name)

    @property
    def was_over_share(self) -> bool:
        """Whether it had to let others go first because of its flow's share."""
        return self.flow_share is not None and not self.is_share_exempt
