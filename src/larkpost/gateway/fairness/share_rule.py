"""Computes the share of each flow in the slots of a service, and which flows are over their share.

Only the flows of one group, which have equal priority, compete. They share the slots that they
occupy and the free ones; more urgent groups have been given theirs before. A flow is over its
share only while another flow that is below its own share has a waiting request. Pure functions.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from larkpost.gateway.blackboard.daemon_report import Flow, FlowUsage
from larkpost.gateway.fairness.water_filling import fair_level

NO_USE = FlowUsage(0, 0)
"""The use of a flow without requests."""
MIN_SHARE_SLOTS = 1.0
"""Minimum share in the estimate of a wait: a flow entitled to a fraction of a slot gets a whole one
at times."""


@dataclass(frozen=True, slots=True)
class FlowShare:
    """The share of a flow and its use.

    Attributes:
        share: slots that it is entitled to; may be fractional.
        running: slots that it occupies.
        waiting: number of its requests that wait.
        waiting_ahead: waiting requests of other flows that fit into those flows' shares.
        total_slots: slots shared by the group: those that it occupies and the free ones.
    """

    share: float
    running: int
    waiting: int
    waiting_ahead: int
    total_slots: int

    @property
    def is_over_share(self) -> bool:
        """Whether its next request must yield to other flows."""
        return self.waiting_ahead > 0 and self.running >= self.share


@dataclass(frozen=True, slots=True)
class GroupShares:
    """The shares of all flows of a group.

    Attributes:
        uses: use by flow, of all daemons as far as known.
        level: maximum share of a flow; infinite if all demands are met.
        waiting_below_share: waiting requests that fit into the shares of their flows.
        total_slots: slots shared by the group.
    """

    uses: Mapping[Flow, FlowUsage]
    level: float
    waiting_below_share: int
    total_slots: int

    def flow_share(self, flow: Flow) -> FlowShare:
        """Returns the share of a flow that has, or is about to have, a waiting request."""
        use = self.uses.get(flow, NO_USE)
        demand = use.running + max(1, use.waiting)
        waiting_ahead = self.waiting_below_share - _waiting_below(use, self.level)
        return FlowShare(
            min(demand, self.level), use.running, use.waiting, waiting_ahead, self.total_slots
        )


def compute_shares(uses: Mapping[Flow, FlowUsage], free: int) -> GroupShares:
    """Returns the shares of a group.

    Args:
        uses: use by flow.
        free: number of free slots.
    """
    total_slots = free + sum(use.running for use in uses.values())
    level = fair_level([use.running + use.waiting for use in uses.values()], total_slots)
    waiting_below_share = sum(_waiting_below(use, level) for use in uses.values())
    return GroupShares(uses, level, waiting_below_share, total_slots)


def estimate_share_wait(flow_share: FlowShare, flow_ahead: int, service_time: float) -> float:
    """Returns the seconds until a flow's share has room for one more request.

    Args:
        flow_ahead: waiting requests of the same flow that precede it.
        service_time: seconds that a request takes at a server.
    """
    if not flow_share.is_over_share:
        return 0.0
    excess_requests = flow_share.running + flow_ahead + 1 - flow_share.share
    return max(0.0, excess_requests) * service_time / max(MIN_SHARE_SLOTS, flow_share.share)


def _waiting_below(use: FlowUsage, level: float) -> int:
    """Returns how many of a flow's waiting requests fit into its share."""
    remaining = min(use.running + use.waiting, level) - use.running
    return min(use.waiting, max(0, math.ceil(remaining)))
