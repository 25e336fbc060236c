"""Rate limit of the requests that all daemons together send to a cold instance.

A cold instance is slow after its start, and is overloaded by more than a few requests. Every send
to an instance of a service with such a limit is counted, whatever its outcome, also while the
instance is warm, because it may turn cold at any moment. The window slides: a fixed window would
admit up to twice the limit around its boundary.

Owns the counts of sends and the reservations for items. Relies on `sender_tracker` for the other
senders, and on `cold_rate_quota` for this daemon's quota.
"""

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.gateway.blackboard.configuration import Service
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.placement.cold_rate_quota import SendCategory, SenderView, send_quota
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.sender_tracker import SenderTracker
from larkpost.gateway.placement.sliding_count import SlidingCount
from larkpost.gateway.placement.work import Work, WorkKind

SEND_TIMEOUT_SECONDS = 0.25
"""An admitted send reaches a connection within this time or is not made, so that a daemon that was
frozen in between does not send on an outdated admission."""
WINDOW_SECONDS = 1.0 + SEND_TIMEOUT_SECONDS
"""Length of the window in which admitted sends are counted; two sends that arrive within one second
are admitted at most this far apart."""
RESERVATION_SECONDS = 0.2
"""How long a reservation counts if its item is not sent; an item is sent within milliseconds or not
at all."""
POLL_SECONDS = 0.25
"""Interval between checks that log which instances have turned cold or warm."""
OWNER_WORK_KINDS = (WorkKind.ITEM, WorkKind.REWARD)
"""Kinds of work that batch owners send; all others are client requests."""


class ColdRateLimit:
    """Admits this daemon's quota of requests to each cold instance.

    Args:
        terms: None if cold instances have no limits.
        senders: tracks which daemons may send.
    """

    def __init__(
        self,
        terms: ColdTerms | None,
        blackboard: Blackboard,
        clock: Clock,
        log: EventLog,
        senders: SenderTracker,
    ) -> None:
        self._terms = terms
        self._blackboard = blackboard
        self._clock = clock
        self._log = log
        self._senders = senders
        self._sent: dict[tuple[InstanceId, bool], SlidingCount] = {}
        """Sends by instance and by whether batch owners make them; see `OWNER_WORK_KINDS`."""
        self._reserved: dict[InstanceId, SlidingCount] = {}
        self._logged_cold: frozenset[InstanceId] = frozenset()
        self._view: SenderView | None = None
        self._quotas: dict[SendCategory, int] = {}
        """Quotas by category for the current view, cached because they are requested often."""

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether this daemon has a send left, reservations deducted."""
        left = self.remaining_sends(instance, work)
        return PlacementDecision.ALLOWED if left is None or left > 0 else PlacementDecision.COLD

    def admit(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Counts a send if this daemon has one left; reservations are not deducted."""
        service = self._limited_service(instance)
        if service is None or work.kind is WorkKind.ORDER:
            return PlacementDecision.ALLOWED
        now = self._clock.now()
        quota = self._quota(instance, service, work)
        sent = self._send_count(instance.id, work)
        if work.kind is WorkKind.ITEM and instance.id in self._reserved:
            self._reserved[instance.id].remove_oldest()
        if quota is not None and sent.count(now) >= quota:
            return PlacementDecision.COLD
        sent.add(now)
        return PlacementDecision.ALLOWED

    def remaining_sends(self, instance: InstanceInfo, work: Work) -> int | None:
        """Returns how many sends are left now; None for no limit."""
        service = self._limited_service(instance)
        if service is None or work.kind is WorkKind.ORDER:
            return None
        quota = self._quota(instance, service, work)
        if quota is None:
            return None
        now = self._clock.now()
        taken = self._send_count(instance.id, work).count(now)
        if work.kind is WorkKind.ITEM and instance.id in self._reserved:
            taken += self._reserved[instance.id].count(now)
        return max(0, quota - taken)

    def reserve(self, instance: InstanceInfo) -> None:
        """Reserves a send to an instance for an item that is about to be sent."""
        if self._limited_service(instance) is not None:
            reserved = self._reserved.setdefault(instance.id, SlidingCount(RESERVATION_SECONDS))
            reserved.add(self._clock.now())

    def record(self, instance: InstanceId, left: float | None) -> None:
        """Records how many seconds an instance reports to stay cold; None if it reports none."""
        self._blackboard.cold.record(instance, left, self._clock.now())

    def is_cold(self, instance: InstanceInfo) -> bool:
        """Returns whether an instance is cold and its service has a limit."""
        is_cold = self._blackboard.cold.is_cold(instance.id, self._clock.now())
        return is_cold and self._limited_service(instance) is not None

    def send_timeout(self, instance: InstanceInfo) -> float | None:
        """Returns the seconds within which an admitted send must be made; None for no timeout."""
        return SEND_TIMEOUT_SECONDS if self.is_cold(instance) else None

    def count_cold_instances(self) -> int:
        """Returns how many instances are cold."""
        return len(self._cold_instances())

    async def poll(self) -> None:
        """Logs which instances have turned cold or warm, and updates the known owners.

        A daemon that owns no batch never requests a view itself, but must remember recent owners.
        """
        self._senders.view()
        cold = self._cold_instances()
        for name in sorted(cold ^ self._logged_cold):
            left = self._blackboard.cold.seconds_left(name, self._clock.now())
            state = "cold" if name in cold else "warm"
            self._log.record(Event.INSTANCE_COLD, instance=name, state=state, left=round(left, 3))
        self._logged_cold = cold
        now = self._clock.now()
        self._sent = {key: sent for key, sent in self._sent.items() if sent.count(now)}
        self._reserved = {name: count for name, count in self._reserved.items() if count.count(now)}

    def _cold_instances(self) -> frozenset[InstanceId]:
        current = self._blackboard.cold.current(self._clock.now())
        infos = (self._blackboard.directory.get(name) for name in current)
        return frozenset(
            info.id
            for info in infos
            if info is not None and self._limited_service(info) is not None
        )

    def _limited_service(self, instance: InstanceInfo) -> Service | None:
        """Returns an instance's service if it has a limit."""
        if self._terms is None:
            return None
        service = self._blackboard.configuration.service(instance.service)
        return service if service is not None and service.cold_rate else None

    def _quota(self, instance: InstanceInfo, service: Service, work: Work) -> int | None:
        """Returns how many sends this daemon may make in a window; None for no limit.

        A daemon with a stale view may miss that an instance has turned cold, so its owner work is
        limited at every instance; see `stale_view_quota`.
        """
        view = self._senders.view()
        if view is not self._view:
            self._view = view
            self._quotas.clear()
        is_cold = self._blackboard.cold.is_cold(instance.id, self._clock.now())
        is_owner_work = work.kind in OWNER_WORK_KINDS
        if not is_cold and not (is_owner_work and view.is_stale):
            return None
        bound = self._terms.bound(service.cold_rate)
        category = SendCategory(instance.id, is_owner_work, is_cold, bound)
        if category not in self._quotas:
            self._quotas[category] = send_quota(view, category, is_engine=bool(service.models))
        return self._quotas[category]

    def _send_count(self, instance: InstanceId, work: Work) -> SlidingCount:
        """Returns the count of owner or of client sends; each kind has its part of the limit."""
        key = (instance, work.kind in OWNER_WORK_KINDS)
        return self._sent.setdefault(key, SlidingCount(WINDOW_SECONDS))
