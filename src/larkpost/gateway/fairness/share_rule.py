"""The share of each flow in the places of a service, and which flows are beyond theirs.

Only flows of one group, so of equal priority, compete: what they share are the places that they
have now and those that are free; more urgent requests have taken theirs before. A flow is beyond
its share only while a request of another one waits that is below its own; then such requests want
all free places. Pure rules.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from larkpost.gateway.blackboard.daemon_report import Flow, FlowUsage
from larkpost.gateway.fairness.water_filling import fair_level

NO_USE = FlowUsage(0, 0)
"""Use by a flow of which nothing is known."""
MIN_SHARE_SLOTS = 1.0
"""Share by which waits are forecast at least: a fraction of a place is a whole one in its turn."""


@dataclass(frozen=True, slots=True)
class FlowShare:
    """Where a flow stands in its group.

    Attributes:
        share: places that are its own; not a whole number.
        use: places that it has.
        waiting: its requests that wait.
        ahead: requests of other flows that wait while these are below their shares.
        places: what the group shares: the places that it has and the free ones.
    """

    share: float
    use: int
    waiting: int
    waiting_ahead: int
    places: int

    @property
    def is_over_share(self) -> bool:
        """Whether its next request has to let others go first."""
        return self.waiting_ahead > 0 and self.use >= self.share


@dataclass(frozen=True, slots=True)
class GroupShares:
    """The shares of all flows of a group.

    Attributes:
        uses: use by flow, of all daemons as far as known.
        level: the most that one flow's share may be; infinite if all have what they want.
        below: requests that wait of flows below their shares.
        places: what the group shares.
    """

    uses: Mapping[Flow, FlowUsage]
    level: float
    waiting_below_share: int
    places: int

    def flow_share(self, flow: Flow) -> FlowShare:
        """Returns where a flow stands that has, or is about to have, a request that waits."""
        use = self.uses.get(flow, NO_USE)
        demand = use.running + max(1, use.waiting)
        waiting_ahead = self.waiting_below_share - _waiting_below(use, self.level)
        return FlowShare(
            min(demand, self.level), use.running, use.waiting, waiting_ahead, self.places
        )


def compute_shares(uses: Mapping[Flow, FlowUsage], free: int) -> GroupShares:
    """Returns the shares of a group.

    Args:
        uses: use by flow.
        free: places that are free.
    """
    places = free + sum(use.running for use in uses.values())
    level = fair_level([use.running + use.waiting for use in uses.values()], places)
    waiting_below_share = sum(_waiting_below(use, level) for use in uses.values())
    return GroupShares(uses, level, waiting_below_share, places)


def estimate_share_wait(flow_share: FlowShare, flow_ahead: int, service_time: float) -> float:
    """Returns the seconds until a flow's share has room for one more request.

    Args:
        flow_ahead: requests of the same flow that wait and come first.
        pace: seconds that a request takes at a server.
    """
    if not flow_share.is_over_share:
        return 0.0
    missing = flow_share.use + flow_ahead + 1 - flow_share.share
    return max(0.0, missing) * service_time / max(MIN_SHARE_SLOTS, flow_share.share)


def _waiting_below(use: FlowUsage, level: float) -> int:
    """Returns how many of a flow's waiting requests fit into its share."""
    room = min(use.running + use.waiting, level) - use.running
    return min(use.waiting, max(0, math.ceil(room)))
