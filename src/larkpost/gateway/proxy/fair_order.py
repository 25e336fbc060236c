"""In which order requests for one service take their turns, and who lets others go first.

The more urgent kind comes first, then those whose tenants are within their shares, then callers who
have come back before those who come first; among equals those that can still be in time, then
those whose time ends first.

Requests beyond their share also let those go first that wait at other daemons, but never for long:
what is known of those is some seconds old, and no place stays free for them in vain.
"""

from dataclasses import dataclass

from larkpost.gateway.blackboard.daemon_report import Flow, FlowGroup
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.fairness.share_rule import FlowShare, GroupShares, compute_shares
from larkpost.gateway.proxy.forecast import would_miss_objective
from larkpost.gateway.proxy.slot_counting import SlotCounts
from larkpost.gateway.proxy.waiter import Waiter

MAX_HOLD_SECONDS = 0.2
"""How long a request lets those of other daemons go first before it tries once: ten of their polls,
so that these come first, and not so long that a free place is missed by old news."""


@dataclass(frozen=True, slots=True)
class Rank:
    """Where a request stands among those for its service; the least comes first."""

    key: tuple[int, bool, bool, bool, float, float]
    flow_share: FlowShare | None

    @property
    def is_over_share(self) -> bool:
        """Whether the request is beyond its flow's share."""
        return self.flow_share is not None and self.flow_share.is_over_share


class FairOrder:
    """The order at one moment; shares are worked out once for each group, and for each flow."""

    def __init__(self, ledger: FlowLedger, now: float) -> None:
        self._ledger = ledger
        self._now = now
        self._shares: dict[tuple[FlowGroup, int], GroupShares] = {}
        self._flow_shares: dict[tuple[Flow, int], FlowShare] = {}

    def rank(self, waiter: Waiter, slot_counts: SlotCounts) -> Rank:
        """Returns where a request stands."""
        flow_share = self._flow_share(waiter, slot_counts)
        key = (
            waiter.priority,
            flow_share is not None and flow_share.is_over_share,
            not waiter.is_retry,
            would_miss_objective(slot_counts, waiter.deadlines, self._now),
            waiter.deadlines.expires_at,
            waiter.since,
        )
        return Rank(key, flow_share)

    def _flow_share(self, waiter: Waiter, slot_counts: SlotCounts) -> FlowShare | None:
        """Returns where a request's flow stands; None if shares do not matter for the request."""
        if waiter.is_share_exempt or slot_counts.is_mostly_free:
            return None
        known = (waiter.flow, slot_counts.free)
        flow_share = self._flow_shares.get(known)
        if flow_share is None:
            flow_share = self._shares_of(waiter.flow.group, slot_counts.free).flow_share(
                waiter.flow
            )
            self._flow_shares[known] = flow_share
        return flow_share

    def _shares_of(self, group: FlowGroup, free: int) -> GroupShares:
        """Returns the shares of a group's flows while so many places are free."""
        known = (group, free)
        if known not in self._shares:
            self._shares[known] = compute_shares(self._ledger.uses(group), free)
        return self._shares[known]


class AttemptPermits:
    """The turns that are given out at one moment to requests for one kind of work.

    One request tries even if no place is believed free, as the requests of other daemons end
    without notice.

    Args:
        free: places believed free.
    """

    def __init__(self, free: int, now: float) -> None:
        self._left = max(1, free)
        self._now = now
        self._is_yielding = False

    def claim(self, waiter: Waiter, rank: Rank) -> bool:
        """Returns whether a request may try now; they ask in their order.

        Behind one that lets others go first no less urgent one may try: it would take their place.
        Those that are beyond their shares too, and have been held for long, may.
        """
        if rank.is_over_share and self._is_held(waiter):
            self._is_yielding = True
            return False
        if self._left <= 0 or (self._is_yielding and not rank.is_over_share):
            return False
        self._left -= 1
        waiter.held_since = None
        return True

    def _is_held(self, waiter: Waiter) -> bool:
        """Returns whether a request beyond its share lets others go first at the moment."""
        if waiter.held_since is None:
            waiter.held_since = self._now
        return self._now - waiter.held_since < MAX_HOLD_SECONDS
