"""Orders the waiting requests of a service, and holds back those of flows over their share.

The sort keys, in order: priority; flows within their share; retries before first attempts;
requests that can still meet their objective; earliest deadline; earliest first attempt.

Requests over their share also yield to requests that wait at other daemons, but only briefly: the
reports about those are some seconds old, so a slot kept free for them might stay unused.
"""

from dataclasses import dataclass

from larkpost.gateway.blackboard.daemon_report import Flow, FlowGroup
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.fairness.share_rule import FlowShare, GroupShares, compute_shares
from larkpost.gateway.proxy.forecast import would_miss_objective
from larkpost.gateway.proxy.slot_counting import SlotCounts
from larkpost.gateway.proxy.waiter import Waiter

MAX_HOLD_SECONDS = 0.2
"""How long a request over its share yields to requests of other daemons before each attempt; long
enough for ten of their polls, and short enough that a slot which outdated reports show as taken is
not left free for long."""


@dataclass(frozen=True, slots=True)
class Rank:
    """The rank of a request in its queue; the lowest key comes first."""

    key: tuple[int, bool, bool, bool, float, float]
    flow_share: FlowShare | None

    @property
    def is_over_share(self) -> bool:
        """Whether the request's flow is over its share."""
        return self.flow_share is not None and self.flow_share.is_over_share


class FairOrder:
    """The order at one moment; caches the shares by group or flow, and by number of free slots."""

    def __init__(self, ledger: FlowLedger, now: float) -> None:
        self._ledger = ledger
        self._now = now
        self._shares: dict[tuple[FlowGroup, int], GroupShares] = {}
        self._flow_shares: dict[tuple[Flow, int], FlowShare] = {}

    def rank(self, waiter: Waiter, slot_counts: SlotCounts) -> Rank:
        """Returns the rank of a request."""
        flow_share = self._flow_share(waiter, slot_counts)
        key = (
            waiter.priority,
            flow_share is not None and flow_share.is_over_share,
            not waiter.is_retry,
            would_miss_objective(slot_counts, waiter.deadlines, self._now),
            waiter.deadlines.expires_at,
            waiter.first_attempt_at,
        )
        return Rank(key, flow_share)

    def _flow_share(self, waiter: Waiter, slot_counts: SlotCounts) -> FlowShare | None:
        """Returns the share of a request's flow; None if shares do not apply to the request."""
        if waiter.is_share_exempt or slot_counts.is_mostly_free:
            return None
        cache_key = (waiter.flow, slot_counts.free)
        flow_share = self._flow_shares.get(cache_key)
        if flow_share is None:
            flow_share = self._shares_of(waiter.flow.group, slot_counts.free).flow_share(
                waiter.flow
            )
            self._flow_shares[cache_key] = flow_share
        return flow_share

    def _shares_of(self, group: FlowGroup, free: int) -> GroupShares:
        """Returns the shares of a group's flows while this many slots are free."""
        cache_key = (group, free)
        if cache_key not in self._shares:
            self._shares[cache_key] = compute_shares(self._ledger.uses(group), free)
        return self._shares[cache_key]


class AttemptPermits:
    """The attempts permitted at one moment to requests for one kind of work.

    At least one request may try even if no slot is estimated free, as a daemon is not notified when
    requests of other daemons end.

    Args:
        free: slots estimated free.
    """

    def __init__(self, free: int, now: float) -> None:
        self._remaining = max(1, free)
        self._now = now
        self._is_yielding = False

    def claim(self, waiter: Waiter, rank: Rank) -> bool:
        """Returns whether a request may try now; must be called in rank order.

        After a request has yielded, a later one within its share may not try: it would take the
        slot left free for other daemons. One over its share may try once it has yielded long
        enough.
        """
        if rank.is_over_share and self._must_yield(waiter):
            self._is_yielding = True
            return False
        if self._remaining <= 0 or (self._is_yielding and not rank.is_over_share):
            return False
        self._remaining -= 1
        waiter.held_since = None
        return True

    def _must_yield(self, waiter: Waiter) -> bool:
        """Returns whether a request over its share still yields to others."""
        if waiter.held_since is None:
            waiter.held_since = self._now
        return self._now - waiter.held_since < MAX_HOLD_SECONDS
