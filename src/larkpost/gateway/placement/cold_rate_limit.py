"""The rule that all daemons together send few requests to a cold instance in any second.

Every send to an instance of a service with such a limit is counted, whatever becomes of it, also
while the instance is warm: it may turn cold at any moment. The window slides; a bucket that fills
up within it would let twice the bound through around its edge.

Owns the counts of sends and the places reserved for items. Relies on `cold_senders` for who else
may send, and on `cold_share` for how much of the bound is this daemon's.
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
"""A send that is admitted is on a connection within this time, or it is not made: a daemon that was
frozen between the two must not send with an old permission."""
WINDOW_SECONDS = 1.0 + SEND_TIMEOUT_SECONDS
"""Sends that may fall into the same second are admitted within this time."""
RESERVATION_SECONDS = 0.2
"""How long a place reserved for an item counts before its send does; it is sent within
milliseconds, or not at all."""
POLL_SECONDS = 0.25
"""How often it is logged which instances have turned cold or warm."""
OWNER_WORK_KINDS = (WorkKind.ITEM, WorkKind.REWARD)
"""What owners of batches send; all else are clients' requests."""


class ColdRateLimit:
    """Lets this daemon's share of the requests to each cold instance through.

    Args:
        terms: None if cold instances have no limits.
        senders: knows who else may send.
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
        self._reserved: dict[InstanceId, SlidingCount] = {}
        self._logged_cold: frozenset[InstanceId] = frozenset()
        self._view: SenderView | None = None
        self._limits: dict[SendCategory, int] = {}
        """Sends allowed by the current view, as they are asked for again and again."""

    def evaluate(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Returns whether a send is left, besides those of places that are reserved already."""
        left = self.remaining_sends(instance, work)
        return PlacementDecision.ALLOWED if left is None or left > 0 else PlacementDecision.COLD

    def admit(self, instance: InstanceInfo, work: Work) -> PlacementDecision:
        """Counts a send, if one is left."""
        service = self._limited_service(instance)
        if service is None or work.kind is WorkKind.ORDER:
            return PlacementDecision.ALLOWED
        now = self._clock.now()
        limit = self._limit(instance, service, work)
        sent = self._send_count(instance.id, work)
        if work.kind is WorkKind.ITEM and instance.id in self._reserved:
            self._reserved[instance.id].remove_oldest()
        if limit is not None and sent.count(now) >= limit:
            return PlacementDecision.COLD
        sent.add(now)
        return PlacementDecision.ALLOWED

    def remaining_sends(self, instance: InstanceInfo, work: Work) -> int | None:
        """Returns how many sends are left now; None for any number."""
        service = self._limited_service(instance)
        if service is None or work.kind is WorkKind.ORDER:
            return None
        limit = self._limit(instance, service, work)
        if limit is None:
            return None
        now = self._clock.now()
        taken = self._send_count(instance.id, work).count(now)
        if work.kind is WorkKind.ITEM and instance.id in self._reserved:
            taken += self._reserved[instance.id].count(now)
        return max(0, limit - taken)

    def reserve(self, instance: InstanceInfo) -> None:
        """Reserves a send at an instance for an item, which will be made in a moment."""
        if self._limited_service(instance) is not None:
            reserved = self._reserved.setdefault(instance.id, SlidingCount(RESERVATION_SECONDS))
            reserved.add(self._clock.now())

    def record(self, instance: InstanceId, left: float | None) -> None:
        """Records for how many seconds an instance says that it stays cold; None says nothing."""
        self._blackboard.cold.record(instance, left, self._clock.now())

    def is_cold(self, instance: InstanceInfo) -> bool:
        """Returns whether an instance is cold and its service has a limit."""
        is_cold = self._blackboard.cold.is_cold(instance.id, self._clock.now())
        return is_cold and self._limited_service(instance) is not None

    def send_timeout(self, instance: InstanceInfo) -> float | None:
        """Returns the seconds within which an admitted send must be made; None for any."""
        return SEND_TIMEOUT_SECONDS if self.is_cold(instance) else None

    def count_cold_instances(self) -> int:
        """Returns how many instances are cold."""
        return len(self._cold_instances())

    async def poll(self) -> None:
        """Logs which instances have turned cold or warm, and who the owners are now.

        A daemon that owns nothing asks for no view, but must know who owned a moment ago.
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

    def _limit(self, instance: InstanceInfo, service: Service, work: Work) -> int | None:
        """Returns how many sends this daemon may make in a window; None for any number.

        A daemon that hears nothing does not hear either that an instance turned cold, so its items
        are limited everywhere, though not to the least share where nobody reported it as cold.
        """
        view = self._senders.view()
        if view is not self._view:
            self._view = view
            self._limits.clear()
        is_cold = self._blackboard.cold.is_cold(instance.id, self._clock.now())
        is_owner_work = work.kind in OWNER_WORK_KINDS
        if not is_cold and not (is_owner_work and view.is_stale):
            return None
        bound = self._terms.bound(service.cold_rate)
        kind = SendCategory(instance.id, is_owner_work, is_cold, bound)
        if kind not in self._limits:
            self._limits[kind] = send_quota(view, kind, is_engine=bool(service.models))
        return self._limits[kind]

    def _send_count(self, instance: InstanceId, work: Work) -> SlidingCount:
        """Returns the count of one kind of sends; each kind has its part of the bound."""
        key = (instance, work.kind in OWNER_WORK_KINDS)
        return self._sent.setdefault(key, SlidingCount(WINDOW_SECONDS))
