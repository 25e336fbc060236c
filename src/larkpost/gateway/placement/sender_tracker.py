"""Who else sends to cold instances, as this daemon has learnt it from heads and heartbeats.

Owns the memory of who owned batches a moment ago; relies on the heartbeats and on the feed of heads
for who is there and how current that is.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId
from larkpost.gateway.placement.cold_rate_quota import SenderView

OWNER_RETENTION_SECONDS = 2.0
"""For so long an owner counts after it is named no longer: it may not know yet."""
NEW_OWNER_SECONDS = 1.0
"""For so long a new owner takes the least share, as the others may not have heard of it."""
STALE_FEED_SECONDS = 1.6
"""Age of the feed of heads from which this daemon does not know the other owners: a response
of the feed may wait for a second."""
STARTUP_SECONDS = 3.0
"""For so long after its start a daemon may not know all members."""
PRESUMED_DEAD_SECONDS = 4.0
"""Age of the feed from which others may soon consider this daemon dead, and name another."""
VIEW_LIFETIME_SECONDS = 0.1
"""How old a view may be."""


class MemberView(Protocol):
    """What is asked of the heartbeats."""

    listed: bool

    def has_recent_listing(self) -> bool:
        """Returns whether this daemon, if it is awaited, has listed the others a moment ago."""

    def alive(self) -> Iterable[DaemonId]:
        """Returns the daemons that are considered alive."""


class BatchFeed(Protocol):
    """What is asked of the feed of heads."""

    listed: bool

    def age(self, now: float) -> float:
        """Returns the seconds since the heads were last known to be current."""


class SenderTracker:
    """The view of one daemon, which knows nobody until `follow` is called."""

    def __init__(self, own: DaemonId, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._owners: Callable[[], Iterable[DaemonId]] = tuple
        self._members: MemberView | None = None
        self._batch_feed: BatchFeed | None = None
        self._started_at = clock.now()
        self._updated_at = float("-inf")
        self._listed_at: dict[DaemonId, float] = {}
        self._owner_since: float | None = None
        self._view = SenderView(own, frozenset(), frozenset())

    def set_sources(
        self, owners: Callable[[], Iterable[DaemonId]], members: MemberView, batch_feed: BatchFeed
    ) -> None:
        """Sets where the view comes from.

        Args:
            owners: returns the owners of open batches.
        """
        self._owners = owners
        self._members = members
        self._batch_feed = batch_feed

    def view(self) -> SenderView:
        """Returns who may send, as of a moment ago; the same object as long as it holds."""
        now = self._clock.now()
        if now - self._updated_at < VIEW_LIFETIME_SECONDS:
            return self._view
        self._updated_at = now
        if self._members is not None and self._batch_feed is not None:
            self._remember_owners(now)
            view = self._current_view(now, self._members, self._batch_feed)
            if view != self._view:
                self._view = view
        return self._view

    def _current_view(self, now: float, members: MemberView, batch_feed: BatchFeed) -> SenderView:
        since = self._owner_since
        is_known = since is not None and now - since >= NEW_OWNER_SECONDS
        is_started = now - self._started_at >= STARTUP_SECONDS and members.listed
        is_stale = self._is_stale(now, members, batch_feed)
        return SenderView(
            self._own,
            frozenset(self._listed_at),
            frozenset(members.alive()),
            is_established=is_known and not is_stale,
            knows_members=is_started and batch_feed.age(now) < PRESUMED_DEAD_SECONDS,
            is_stale=is_stale,
        )

    def _is_stale(self, now: float, members: MemberView, batch_feed: BatchFeed) -> bool:
        """Returns whether the others may know of owners of which this daemon has not heard."""
        if not members.listed or not batch_feed.listed or batch_feed.age(now) > STALE_FEED_SECONDS:
            return True
        return self._own in self._listed_at and not members.has_recent_listing()

    def _remember_owners(self, now: float) -> None:
        """Forgets the owners that were named a while ago, and adds those named now."""
        self._listed_at = {
            name: at for name, at in self._listed_at.items() if now - at < OWNER_RETENTION_SECONDS
        }
        if self._own not in self._listed_at:
            self._owner_since = None
        self._listed_at |= dict.fromkeys(self._owners(), now)
        if self._own in self._listed_at and self._owner_since is None:
            self._owner_since = now
