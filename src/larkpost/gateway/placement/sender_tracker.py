"""Tracks which daemons send to cold instances, from batch heads and heartbeats.

Owns the memory of recent batch owners; relies on the heartbeats and the feed of batch heads for the
current daemons and for the age of that information.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId
from larkpost.gateway.placement.cold_rate_quota import SenderView

OWNER_RETENTION_SECONDS = 2.0
"""How long a daemon counts as an owner after it was last listed as one; it may still send."""
NEW_OWNER_SECONDS = 1.0
"""How long a new owner gets the minimum quota, as the others may not know of it yet."""
STALE_FEED_SECONDS = 1.6
"""Age of the batch feed above which this daemon does not know the other owners; the feed may take
up to a second to respond."""
STARTUP_SECONDS = 3.0
"""How long after its start a daemon may not know all members."""
PRESUMED_DEAD_SECONDS = 4.0
"""Age of the batch feed above which others may soon consider this daemon dead and select
another."""
VIEW_LIFETIME_SECONDS = 0.1
"""Maximum age of a view."""


class MemberView(Protocol):
    """What the tracker needs of the membership.

    Attributes:
        listed: whether the daemons have been listed at least once.
    """

    listed: bool

    def has_recent_listing(self) -> bool:
        """Returns whether this daemon has recently listed the fast heartbeats."""

    def alive(self) -> Iterable[DaemonId]:
        """Returns the daemons considered alive."""


class BatchFeed(Protocol):
    """What the tracker needs of the feed of batch heads.

    Attributes:
        listed: whether the batch heads have been listed at least once.
    """

    listed: bool

    def age(self, now: float) -> float:
        """Returns the seconds since the batch heads were last known to be current."""


class SenderTracker:
    """One daemon's view of the senders; empty until `set_sources` is called."""

    def __init__(self, own: DaemonId, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._owners: Callable[[], Iterable[DaemonId]] = tuple
        self._members: MemberView | None = None
        self._batch_feed: BatchFeed | None = None
        self._started_at = clock.now()
        self._updated_at = float("-inf")
        self._owner_listed_at: dict[DaemonId, float] = {}
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
        """Returns the recent view of the senders; the same object while it is unchanged."""
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
        is_known_to_others = since is not None and now - since >= NEW_OWNER_SECONDS
        is_started = now - self._started_at >= STARTUP_SECONDS and members.listed
        is_stale = self._is_stale(now, members, batch_feed)
        return SenderView(
            self._own,
            frozenset(self._owner_listed_at),
            frozenset(members.alive()),
            is_established=is_known_to_others and not is_stale,
            knows_members=is_started and batch_feed.age(now) < PRESUMED_DEAD_SECONDS,
            is_stale=is_stale,
        )

    def _is_stale(self, now: float, members: MemberView, batch_feed: BatchFeed) -> bool:
        """Returns whether others may know of owners that this daemon does not know."""
        if not members.listed or not batch_feed.listed or batch_feed.age(now) > STALE_FEED_SECONDS:
            return True
        return self._own in self._owner_listed_at and not members.has_recent_listing()

    def _remember_owners(self, now: float) -> None:
        """Drops owners last listed too long ago, and adds those listed now."""
        self._owner_listed_at = {
            name: at
            for name, at in self._owner_listed_at.items()
            if now - at < OWNER_RETENTION_SECONDS
        }
        if self._own not in self._owner_listed_at:
            self._owner_since = None
        self._owner_listed_at |= dict.fromkeys(self._owners(), now)
        if self._own in self._owner_listed_at and self._owner_since is None:
            self._owner_since = now
