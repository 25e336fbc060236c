"""Chooses an instance of a service by its load and speed, as far as this daemon knows them."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager

from larkpost.common.clock import Clock
from larkpost.common.distance import Distance
from larkpost.common.ids import DaemonId, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import Directory, InstanceInfo
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.heartbeat import UseSummary
from larkpost.gateway.placement.cold import ColdRule
from larkpost.gateway.placement.rules import Placement
from larkpost.gateway.placement.verdict import Verdict
from larkpost.gateway.placement.work import CLIENT_WORK, Work
from larkpost.gateway.proxy.closeness import Closeness
from larkpost.gateway.proxy.instance_use import InstanceUse, PeerUse
from larkpost.gateway.servers.port import NotRunError, NotRunReason, ServerLoad

LOAD_LIFETIME_SECONDS = 1.0
"""How long a load that a server told of itself is used."""
PACE_WEIGHT = 0.25
"""Weight of the newest measurement in an instance's pace."""
PACE_LIFETIME_SECONDS = 4.0
PEER_LIFETIME_SECONDS = 1.2
"""How long the requests that another daemon told of are counted."""
PEER_PACE_LIFETIME_SECONDS = 12.0
MAX_PACE_RATIO = 8.0
TIDY_SECONDS = 60.0
"""Between two looks for records of instances and daemons that are gone."""
UNREACHABLE_AVOID_SECONDS = 1.0
PROBE_SECONDS = 0.15
"""Pause between two requests to an instance that refuses: loads of weights take about a second."""
RULED_OUT = (
    NotRunReason.COLD,
    NotRunReason.EVACUATED,
    NotRunReason.OUTSIDE_REGIONS,
    NotRunReason.APART,
    NotRunReason.QUARANTINED,
)
"""Reasons that tell nothing of an instance: a rule forbade one send, and judges the next anew."""
NEW_CONNECTION_FACTOR = 1.2
"""By how much longer the wait counts at an instance to which no connection is kept.

More than the paces of equal servers differ by chance, less than one request more in a queue of
five (6/5) does: a new connection costs a server time, but not as much as a request.
"""


class Balancer:
    """Keeps the use of all instances and chooses among them."""

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        chance: random.Random,
        is_connected: Callable[[InstanceInfo], bool] = lambda _: False,
        placement: Placement | None = None,
        cold: ColdRule | None = None,
        regions: RegionMap | None = None,
    ) -> None:
        """Makes an empty record.

        Args:
            is_connected: tells whether a connection to an instance is kept.
            placement: the rules by which instances are judged; None for no more than that they
                do not leave.
            cold: knows which instances are cold; None if none ever is.
            regions: where zones lie; None if that is not known.
        """
        self._regions = regions or RegionMap()
        self._closeness = Closeness(clock)
        self._placement = placement or Placement(directory)
        self._is_connected = is_connected
        self._cold = cold
        self._directory = directory
        self._clock = clock
        self._chance = chance
        self._uses: dict[InstanceId, InstanceUse] = {}
        self._peers: dict[InstanceId, dict[DaemonId, PeerUse]] = {}
        """For each instance, only the daemons that use it: most daemons use few."""
        self._tidy_at = float("-inf")
        self._release_listeners: list[Callable[[InstanceId], None]] = []

    def use(self, instance: InstanceId) -> InstanceUse:
        """Returns the record of an instance."""
        use = self._uses.get(instance)
        if use is None:
            use = self._uses[instance] = InstanceUse()
        return use

    def candidates(
        self,
        service: ServiceName,
        work: Work = CLIENT_WORK,
        *,
        exclude: Collection[InstanceId] = (),
        eligible: Callable[[InstanceInfo], bool] | None = None,
        for_client: bool = False,
    ) -> list[InstanceInfo]:
        """Returns the instances that may take a request now, the best first.

        Instances that failed a moment ago come last, and those that are cold before them.

        Args:
            work: what is to be sent.
            eligible: tells what else the caller wants of an instance.
            for_client: whether it is a client's request, which rather takes a kept connection
                and a near instance.
        """
        fitting = [
            info
            for info in self._directory.of_service(service)
            if info.id not in exclude
            and (eligible is None or eligible(info))
            and self._placement.allows(info, work)
        ]
        ways = self._way_factors(service, fitting) if for_client else {}
        paces = {info.id: self._pace_here(info.id, ways.get(info.id, 1.0)) for info in fitting}
        best_pace = min((pace for pace in paces.values() if pace), default=0.0)
        return sorted(
            fitting,
            key=lambda info: (
                self.is_avoided(info.id),
                self.is_cold(info),
                self._expected_wait(info, paces[info.id], best_pace)
                * ways.get(info.id, 1.0)
                * (self._connection_factor(info) if for_client else 1.0),
                self._chance.random(),
            ),
        )

    def distance(self, info: InstanceInfo) -> Distance:
        """Returns how far an instance is."""
        return self._regions.distance(info.zone)

    def _way_factors(
        self, service: ServiceName, fitting: list[InstanceInfo]
    ) -> dict[InstanceId, float]:
        """Returns by how much longer an answer takes than from the nearest that has a place.

        Only instances from which it takes longer are named.
        """
        distances = {info.id: self.distance(info) for info in fitting}
        if len(set(distances.values())) < 2:
            return {}
        nearest = min(
            (
                distances[info.id]
                for info in fitting
                if not self.is_avoided(info.id) and self.occupied(info) < max(1, info.slots)
            ),
            default=Distance.OTHER_REGION,
        )
        return {
            name: self._closeness.factor(service, distance, nearest)
            for name, distance in distances.items()
            if distance > nearest
        }

    def _pace_here(self, instance: InstanceId, way: float) -> float:
        """Returns an instance's pace, without the longer way if this daemon measured it in."""
        is_answer = self._clock.now() - self.use(instance).answered_at < PACE_LIFETIME_SECONDS
        return self.pace(instance) / (way if is_answer else 1.0)

    def occupied(self, info: InstanceInfo) -> int:
        """Returns the requests believed to be at an instance, this daemon's and others'."""
        now = self._clock.now()
        use = self.use(info.id)
        if now - use.load_at < LOAD_LIFETIME_SECONDS:
            return use.outstanding + use.others
        return use.outstanding + sum(
            peer.requests
            for peer in self._peers.get(info.id, {}).values()
            if now - peer.at < PEER_LIFETIME_SECONDS
        )

    def pace(self, instance: InstanceId) -> float:
        """Returns the seconds a unit of work takes at an instance; 0 if not known lately.

        This daemon's own measurement counts before what the others told.
        """
        now = self._clock.now()
        use = self.use(instance)
        if now - use.pace_at < PACE_LIFETIME_SECONDS:
            return use.pace
        told = [
            (peer.at, peer.pace)
            for peer in self._peers.get(instance, {}).values()
            if peer.pace and now - peer.at < PEER_PACE_LIFETIME_SECONDS
        ]
        return max(told, default=(0.0, 0.0))[1]

    def summary(self) -> UseSummary:
        """Returns what this daemon tells the others of its use."""
        now = self._clock.now()
        return {
            name: (use.outstanding, round(use.pace, 4))
            for name, use in self._uses.items()
            if self._directory.takes_work(name)
            and (use.outstanding or now - use.pace_at < PACE_LIFETIME_SECONDS)
        }

    def take_summary(self, daemon: DaemonId, summary: UseSummary) -> None:
        """Takes what another daemon told of its use, in place of what it told before.

        Of instances that it uses no longer, the paces are kept for a while.
        """
        now = self._clock.now()
        self._tidy(now)
        for instance, (requests, pace) in summary.items():
            self._peers.setdefault(instance, {})[daemon] = PeerUse(requests, pace, now)
        for instance, peers in list(self._peers.items()):
            known = peers.get(daemon)
            if known is None or instance in summary:
                continue
            if now - known.at > PEER_PACE_LIFETIME_SECONDS:
                del peers[daemon]
            elif known.requests:
                peers[daemon] = PeerUse(0, known.pace, known.at)
            if not peers:
                del self._peers[instance]

    def _tidy(self, now: float) -> None:
        """Forgets now and then what is too old to be used, of instances and daemons long gone."""
        if now < self._tidy_at:
            return
        self._tidy_at = now + TIDY_SECONDS
        for instance, use in list(self._uses.items()):
            last = max(use.pace_at + TIDY_SECONDS, use.avoid_until)
            if not use.outstanding and last < now and self._directory.get(instance) is None:
                del self._uses[instance]
        for instance, peers in list(self._peers.items()):
            for daemon in [name for name, peer in peers.items() if now - peer.at > TIDY_SECONDS]:
                del peers[daemon]
            if not peers:
                del self._peers[instance]

    @contextmanager
    def placed(self, instance: InstanceId) -> Iterator[None]:
        """Counts a request while it is at an instance; if it did not run, no place came free."""
        self.occupy(instance)
        try:
            yield
        except NotRunError:
            self.use(instance).outstanding -= 1
            raise
        except BaseException:
            self.release(instance)
            raise
        self.release(instance)

    def occupy(self, instance: InstanceId) -> None:
        """Counts a request at an instance until `release` is called for it."""
        self._tidy(self._clock.now())
        use = self.use(instance)
        use.outstanding += 1
        if use.is_refusing:
            use.asked_at = self._clock.now()
        info = self._directory.get(instance)
        use.zone = info.zone if info is not None else use.zone

    def release(self, instance: InstanceId) -> None:
        """Ends the count of a request at an instance."""
        self.use(instance).outstanding -= 1
        for listener in self._release_listeners:
            listener(instance)

    def when_released(self, listener: Callable[[InstanceId], None]) -> None:
        """Has a listener told of each request of this daemon that ends at an instance."""
        self._release_listeners.append(listener)

    def record_load(self, instance: InstanceId, load: ServerLoad | None) -> None:
        """Takes that an instance answers a request, and what it told of its load meanwhile."""
        self.use(instance).is_refusing = False
        if load is None:
            return
        use = self.use(instance)
        use.others = max(0, load.running + load.waiting - use.outstanding)
        use.load_at = self._clock.now()

    def record_cold(self, instance: InstanceId, left: float | None) -> None:
        """Takes for how many seconds an instance says that it stays cold; None: it says nothing."""
        if self._cold is not None:
            self._cold.record(instance, left)

    def is_cold(self, info: InstanceInfo) -> bool:
        """Tells whether an instance is cold and gets few requests."""
        return self._cold is not None and self._cold.is_cold(info)

    def record_pace(
        self, instance: InstanceId, seconds: float, weight: float = PACE_WEIGHT
    ) -> None:
        """Takes a measurement of the time that a unit of work took at an instance.

        Args:
            weight: share of this measurement in the smoothed pace.
        """
        use = self.use(instance)
        now = self._clock.now()
        if now - use.pace_at > PACE_LIFETIME_SECONDS:
            use.pace = seconds
        else:
            use.pace += weight * (seconds - use.pace)
        use.pace_at = now

    def record_answer(self, info: InstanceInfo, seconds: float) -> None:
        """Takes the time from a client's request to its whole answer."""
        self.record_pace(info.id, seconds)
        self.use(info.id).answered_at = self._clock.now()
        self._closeness.record(info.service, self.distance(info), seconds)

    def avoid(self, instance: InstanceId, seconds: float) -> None:
        """Makes an instance a last resort for a while."""
        use = self.use(instance)
        use.avoid_until = max(use.avoid_until, self._clock.now() + seconds)

    def record_not_run(
        self, instance: InstanceId, reason: NotRunReason, full_seconds: float
    ) -> None:
        """Takes that an instance certainly did not run a request.

        Args:
            full_seconds: how long to avoid it if it was full.
        """
        if reason in RULED_OUT:
            return  # it was not asked at all, and may have room for other work
        if reason is NotRunReason.REPLACED:
            self._directory.retire(instance)
        full = reason is NotRunReason.FULL
        self.use(instance).is_refusing = full
        self.avoid(instance, full_seconds if full else UNREACHABLE_AVOID_SECONDS)

    def has_place(self, info: InstanceInfo) -> bool:
        """Tells whether an instance is believed to have a free place.

        One that refused is asked with a single request at a time until it takes one: while it
        loads weights it refuses all that come, however few it has.
        """
        use = self.use(info.id)
        is_asked = use.is_refusing and self._clock.now() - use.asked_at < PROBE_SECONDS
        if is_asked:
            return False
        return self.occupied(info) < max(1, info.slots)

    def is_avoided(self, instance: InstanceId) -> bool:
        """Tells whether an instance is only a last resort at the moment."""
        return self._clock.now() < self.use(instance).avoid_until

    def verdicts(self, service: ServiceName, work: Work = CLIENT_WORK) -> dict[Verdict, int]:
        """Returns how many instances of a service get each verdict; for the line on a refusal."""
        return dict(
            Counter(self._verdict(info, work) for info in self._directory.of_service(service))
        )

    def is_homeless(self, service: ServiceName, work: Work) -> bool:
        """Tells whether no server of a service lies where work may be served."""
        if work.regions is None:
            return False
        infos = self._directory.of_service(service)
        regions = {self._regions.region_of(info.zone) for info in infos}
        return not work.regions or bool(regions) and not regions & work.regions

    def outstanding_in(self, zone: ZoneId) -> int:
        """Returns this daemon's requests at a zone's instances, also those that left the list."""
        return sum(use.outstanding for use in self._uses.values() if use.zone == zone)

    def _verdict(self, info: InstanceInfo, work: Work) -> Verdict:
        verdict = self._placement.judge(info, work)
        return Verdict.AVOIDED if verdict.is_allowed and self.is_avoided(info.id) else verdict

    @property
    def placement(self) -> Placement:
        """The rules by which instances are judged."""
        return self._placement

    def _connection_factor(self, info: InstanceInfo) -> float:
        return 1.0 if self._is_connected(info) else NEW_CONNECTION_FACTOR

    def _expected_wait(self, info: InstanceInfo, pace: float, best_pace: float) -> float:
        ratio = min(pace / best_pace, MAX_PACE_RATIO) if pace and best_pace else 1.0
        return (self.occupied(info) + 1) / max(1, info.slots) * ratio
