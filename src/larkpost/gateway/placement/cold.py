"""The rule that all daemons together send few requests to a cold instance in any second.

Every send to an instance of a service with such a limit is counted, whatever becomes of it, also
while the instance is warm: it may turn cold at any moment. The window slides; a bucket that fills
up within it would let twice the bound through around its edge.
"""

from collections import deque

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.gateway.blackboard.configuration import Service
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.placement.cold_senders import ColdSenders
from larkpost.gateway.placement.cold_share import (
    SenderView,
    client_sends,
    owner_sends,
    unheard_sends,
)
from larkpost.gateway.placement.verdict import Verdict
from larkpost.gateway.placement.work import Work, WorkKind

SEND_WITHIN_SECONDS = 0.25
"""A send that is admitted is on a connection within this time, or it is not made: a daemon that
was frozen between the two must not send with an old permission."""
WINDOW_SECONDS = 1.0 + SEND_WITHIN_SECONDS
"""Sends that may fall into the same second are admitted within this time."""
PROMISE_SECONDS = 0.2
"""How long a place given to an item counts before its send does; it is sent within milliseconds,
or not at all."""
LOOK_SECONDS = 0.25
"""How often it is noted which instances have turned cold or warm."""
OWNER_WORK = (WorkKind.ITEM, WorkKind.REWARD)


class SlidingCount:
    """Counts what happened in the last while; times are steady."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Counts one more."""
        self._times.append(now)

    def take_back(self) -> None:
        """Counts one less, the oldest."""
        if self._times:
            self._times.popleft()

    def count(self, now: float) -> int:
        """Returns how many there were; what lies back exactly the whole time is out."""
        while self._times and now - self._times[0] >= self._seconds:
            self._times.popleft()
        return len(self._times)


class ColdRule:
    """Lets this daemon's share of the requests to each cold instance through.

    Args:
        terms: None if cold instances have no limits.
        senders: tells who else may send.
    """

    def __init__(
        self,
        terms: ColdTerms | None,
        blackboard: Blackboard,
        clock: Clock,
        log: EventLog,
        senders: ColdSenders,
    ) -> None:
        self._terms = terms
        self._beliefs = blackboard
        self._clock = clock
        self._log = log
        self._senders = senders
        self._sent: dict[tuple[InstanceId, bool], SlidingCount] = {}
        self._promised: dict[InstanceId, SlidingCount] = {}
        self._noted: frozenset[InstanceId] = frozenset()
        self._view: SenderView | None = None
        self._limits: dict[tuple[InstanceId, bool, bool, float], int] = {}
        """What was worked out by the view, as it is asked for again and again."""

    def judge(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Tells whether a send is left, besides those of places that were given already."""
        left = self.sends_left(instance, work)
        return Verdict.ALLOWED if left is None or left > 0 else Verdict.COLD

    def admit(self, instance: InstanceInfo, work: Work) -> Verdict:
        """Takes a send, if one is left."""
        service = self._limited(instance)
        if service is None or work.kind is WorkKind.ORDER:
            return Verdict.ALLOWED
        now = self._clock.now()
        limit = self._limit(instance, service, work)
        sent = self._count_of(instance.id, work)
        if work.kind is WorkKind.ITEM and instance.id in self._promised:
            self._promised[instance.id].take_back()
        if limit is not None and sent.count(now) >= limit:
            return Verdict.COLD
        sent.add(now)
        return Verdict.ALLOWED

    def sends_left(self, instance: InstanceInfo, work: Work) -> int | None:
        """Returns how many sends are left now; None for any number."""
        service = self._limited(instance)
        if service is None or work.kind is WorkKind.ORDER:
            return None
        limit = self._limit(instance, service, work)
        if limit is None:
            return None
        now = self._clock.now()
        taken = self._count_of(instance.id, work).count(now)
        if work.kind is WorkKind.ITEM and instance.id in self._promised:
            taken += self._promised[instance.id].count(now)
        return max(0, limit - taken)

    def promise(self, instance: InstanceInfo) -> None:
        """Takes that a place at an instance was given to an item, which will send in a moment."""
        if self._limited(instance) is not None:
            promised = self._promised.setdefault(instance.id, SlidingCount(PROMISE_SECONDS))
            promised.add(self._clock.now())

    def record(self, instance: InstanceId, left: float | None) -> None:
        """Takes for how many seconds an instance says that it stays cold; None tells nothing."""
        self._beliefs.cold.record(instance, left, self._clock.now())

    def is_cold(self, instance: InstanceInfo) -> bool:
        """Tells whether an instance is cold and its service has a limit."""
        is_cold = self._beliefs.cold.is_cold(instance.id, self._clock.now())
        return is_cold and self._limited(instance) is not None

    def send_within(self, instance: InstanceInfo) -> float | None:
        """Returns the seconds within which an admitted send must be made; None for any."""
        return SEND_WITHIN_SECONDS if self.is_cold(instance) else None

    def count_cold(self) -> int:
        """Returns how many instances are cold."""
        return len(self._cold_now())

    async def look(self) -> None:
        """Notes which instances have turned cold or warm, and who the owners are now.

        A daemon that owns nothing asks for no view, but must know who owned a moment ago.
        """
        self._senders.view()
        cold = self._cold_now()
        for name in sorted(cold ^ self._noted):
            left = self._beliefs.cold.left(name, self._clock.now())
            state = "cold" if name in cold else "warm"
            self._log.record(Event.INSTANCE_COLD, instance=name, state=state, left=round(left, 3))
        self._noted = cold
        now = self._clock.now()
        self._sent = {key: sent for key, sent in self._sent.items() if sent.count(now)}
        self._promised = {name: given for name, given in self._promised.items() if given.count(now)}

    def _cold_now(self) -> frozenset[InstanceId]:
        current = self._beliefs.cold.current(self._clock.now())
        infos = (self._beliefs.directory.get(name) for name in current)
        return frozenset(
            info.id for info in infos if info is not None and self._limited(info) is not None
        )

    def _limited(self, instance: InstanceInfo) -> Service | None:
        """Returns an instance's service if it has a limit."""
        if self._terms is None:
            return None
        service = self._beliefs.configuration.service(instance.service)
        return service if service is not None and service.cold_rate else None

    def _limit(self, instance: InstanceInfo, service: Service, work: Work) -> int | None:
        """Returns how many sends this daemon may make in a window; None for any number.

        A daemon that hears nothing does not hear either that an instance turned cold, so its
        items are limited everywhere, though not to the least share where nobody told of cold.
        """
        view = self._senders.view()
        if view is not self._view:
            self._view = view
            self._limits.clear()
        is_cold = self._beliefs.cold.is_cold(instance.id, self._clock.now())
        is_owner_work = work.kind in OWNER_WORK
        if not is_cold and not (is_owner_work and view.is_blind):
            return None
        key = (instance.id, is_owner_work, is_cold, self._terms.bound(service.cold_rate))
        if key not in self._limits:
            self._limits[key] = _work_out(view, bool(service.models), *key)
        return self._limits[key]

    def _count_of(self, instance: InstanceId, work: Work) -> SlidingCount:
        """Returns the count of one kind of sends; each kind has its part of the bound."""
        key = (instance, work.kind in OWNER_WORK)
        return self._sent.setdefault(key, SlidingCount(WINDOW_SECONDS))


def _work_out(
    view: SenderView,
    is_engine: bool,
    instance: InstanceId,
    is_owner_work: bool,
    is_cold: bool,
    bound: float,
) -> int:
    if not is_owner_work:
        return client_sends(bound, view, instance, is_engine=is_engine)
    if not is_cold:
        return unheard_sends(bound, view, is_engine=is_engine)
    return owner_sends(bound, view, instance, is_engine=is_engine)
