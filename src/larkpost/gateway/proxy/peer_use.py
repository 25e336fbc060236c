"""The use of instances that other daemons report, and how long the reports are valid."""

from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId, InstanceId
from larkpost.gateway.blackboard.instance_usage import InstanceUsage
from larkpost.gateway.proxy.instance_use import FORGET_SECONDS

PEER_LIFETIME_SECONDS = 1.2
"""How long the requests in a report of another daemon are counted."""
PEER_SERVICE_TIME_LIFETIME_SECONDS = 12.0
"""How long a service time in a report of another daemon is used; longer than this daemon's own, as
it is used only if there is none."""


@dataclass(frozen=True, slots=True)
class PeerUse:
    """Another daemon's report about its use of one instance.

    Attributes:
        requests: its requests in flight there.
        service_time: seconds that a unit of work takes there; 0 if unknown.
        at: steady time of the report.
    """

    requests: int
    service_time: float
    at: float


class PeerUsage:
    """The reports of all other daemons, by instance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._peers: dict[InstanceId, dict[DaemonId, PeerUse]] = {}
        """By instance and daemon; contains only instances that the daemon uses."""

    def __len__(self) -> int:
        return len(self._peers)

    def record(self, daemon: DaemonId, summary: InstanceUsage) -> None:
        """Records a daemon's report, which replaces its previous one.

        The service times of instances that it no longer uses are kept for
        `PEER_SERVICE_TIME_LIFETIME_SECONDS`.
        """
        now = self._clock.now()
        for instance, (requests, service_time) in summary.items():
            self._peers.setdefault(instance, {})[daemon] = PeerUse(requests, service_time, now)
        for instance, peers in list(self._peers.items()):
            previous = peers.get(daemon)
            if previous is None or instance in summary:
                continue
            if now - previous.at > PEER_SERVICE_TIME_LIFETIME_SECONDS:
                del peers[daemon]
            elif previous.requests:
                peers[daemon] = PeerUse(0, previous.service_time, previous.at)
            if not peers:
                del self._peers[instance]

    def requests(self, instance: InstanceId) -> int:
        """Returns the other daemons' requests at an instance, from recent reports."""
        now = self._clock.now()
        return sum(
            peer.requests
            for peer in self._peers.get(instance, {}).values()
            if now - peer.at < PEER_LIFETIME_SECONDS
        )

    def service_time(self, instance: InstanceId) -> float:
        """Returns the newest reported service time in seconds; 0 if there is no recent one."""
        now = self._clock.now()
        reported = [
            (peer.at, peer.service_time)
            for peer in self._peers.get(instance, {}).values()
            if peer.service_time and now - peer.at < PEER_SERVICE_TIME_LIFETIME_SECONDS
        ]
        return max(reported, default=(0.0, 0.0))[1]

    def forget_old(self, now: float) -> None:
        """Drops reports older than `FORGET_SECONDS`."""
        for instance, peers in list(self._peers.items()):
            for daemon in [name for name, peer in peers.items() if now - peer.at > FORGET_SECONDS]:
                del peers[daemon]
            if not peers:
                del self._peers[instance]
