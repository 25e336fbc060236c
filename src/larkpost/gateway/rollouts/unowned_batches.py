"""Logs the open batches whose owner is considered dead, if no daemon takes them over."""

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId
from larkpost.gateway.controllers.membership import Membership
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.rollouts.batch_head_cache import CachedBatchHead
from larkpost.gateway.rollouts.claims import BatchClaims

FIRST_LINE_SECONDS = 2.0
"""Time without a live owner after which a batch is logged; claims take at most 1.3 s."""


class UnownedBatchLog:
    """Logs unowned batches at a coordinator; the interval between two lines of a batch doubles."""

    def __init__(
        self, claims: BatchClaims, membership: Membership, clock: Clock, log: EventLog
    ) -> None:
        self._claims = claims
        self._membership = membership
        self._clock = clock
        self._log = log
        self._since: dict[BatchId, float] = {}
        """Steady times since which batches have no live owner."""
        self._line_after: dict[BatchId, float] = {}
        """Seconds without a live owner after which the next line of a batch is due."""

    def check(self, cached: CachedBatchHead) -> None:
        """Logs a batch that another daemon should run, if a line is due."""
        head = cached.head
        membership = self._membership
        is_watched = membership.listed and membership.is_coordinator() and not head.ended
        if not is_watched or membership.is_owner_alive(head.owner, cached.owner_since):
            self.forget(head.id)
            return
        now = self._clock.now()
        seconds = now - self._since.setdefault(head.id, now)
        line_after = self._line_after.get(head.id, FIRST_LINE_SECONDS)
        if seconds < line_after:
            return
        self._line_after[head.id] = line_after * 2
        self._log.record(
            Event.BATCH_UNOWNED,
            batch=head.id,
            owner=head.owner,
            successor=self._claims.successor(head),
            seconds=round(seconds, 3),
            alive=len(membership.alive()),
        )

    def forget(self, batch: BatchId) -> None:
        """Drops what is known of a batch."""
        self._since.pop(batch, None)
        self._line_after.pop(batch, None)
