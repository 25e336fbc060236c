"""Failover of batch ownership.

The head of a batch names its owner. When the owner counts as dead, the daemon selected by
rendezvous hashing writes its own id into the head, provided that the head's version is unchanged.
Two daemons may run the same batch for a moment; this costs work, but conditional appends keep the
result list correct. `controllers/membership.py` decides which daemons count as alive.
"""

from collections.abc import Callable

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId, RegionId
from larkpost.gateway.controllers.membership import Membership
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count
from larkpost.gateway.rollouts.batch_head_cache import CachedBatchHead
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.rollouts.repository import BatchRepository
from larkpost.gateway.store.port import Row, StoreUnavailableError

CLAIM_INTERVAL_SECONDS = 0.5
"""Minimum interval between two claims of one batch, in which the feed delivers the updated head."""


class BatchClaims:
    """Decides which batches this daemon claims, and writes owners into heads.

    Args:
        record_head: called with the row of the head after each claim, also if the claim failed.
    """

    def __init__(
        self,
        repository: BatchRepository,
        membership: Membership,
        services: RunServices,
        record_head: Callable[[Row], None],
    ) -> None:
        self._repository = repository
        self._membership = membership
        self._services = services
        self._record_head = record_head
        self._clock: Clock = services.clock
        self._log: EventLog = services.log
        self._claimed_at: dict[BatchId, float] = {}

    def should_claim(self, cached: CachedBatchHead) -> bool:
        """Returns whether this daemon should claim a batch that another daemon owns."""
        membership = self._membership
        return (
            membership.listed  # until then every owner would count as dead
            and membership.is_coordinator()  # limits how many daemons track all batches
            and not membership.is_owner_alive(cached.head.owner, cached.owner_since)
            and not self._has_recent_claim(cached.head.id)
            and self.successor(cached.head) == membership.own
        )

    def _has_recent_claim(self, batch: BatchId) -> bool:
        last = self._claimed_at.get(batch, float("-inf"))
        return self._clock.now() - last < CLAIM_INTERVAL_SECONDS

    def record_claim(self, batch: BatchId) -> None:
        """Records that a claim of a batch begins."""
        self._claimed_at[batch] = self._clock.now()

    def successor(self, head: BatchHead) -> DaemonId | None:
        """Returns the daemon that should claim a batch; None if no daemon may.

        It must be in a region where the batch may be served, as it reads the batch's items.
        """
        if not head.is_accepted:
            return self._membership.choose_coordinator(head.id)  # it has no items
        return self._membership.choose_coordinator(head.id, self._allowed_regions(head))

    def _allowed_regions(self, head: BatchHead) -> frozenset[RegionId] | None:
        """Returns the regions in which a batch may be served; None for all."""
        configuration = self._services.configuration.current
        if configuration is None:
            return frozenset()
        return configuration.allowed_regions_at(head.tenant, head.host, head.path.encode("latin-1"))

    async def claim(self, cached: CachedBatchHead, owner: DaemonId) -> None:
        """Writes an owner into a head, and records the head as it is afterwards."""
        batch = cached.head.id
        done = await self._repository.claim(cached.head, cached.version, owner)
        outcome = "done" if done else "failed"
        self._services.metrics.count(Count.CLAIMS, outcome)
        self._log.record(
            Event.BATCH_CLAIMED,
            batch=batch,
            owner=cached.head.owner,
            successor=owner,
            outcome=outcome,
        )
        try:
            row = await self._repository.head_row(batch)
        except StoreUnavailableError:
            return  # the feed delivers the head
        if row is not None:
            self._record_head(row)
