"""Detects whether a server crashed while requests on it lost their connections.

A connection that closes without a response may have been reset on the way, or by a live server. A
server counts as crashed if its port refuses connections right afterwards, or if its directory entry
disappears without a leaving state while a new instance is listed at its address or nothing responds
there.

Owns the suspect servers; relies on the directory and on probes, and reports to a listener.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.clock import Clock
from larkpost.common.ids import Address, InstanceId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo, InstanceState
from larkpost.gateway.blackboard.known_crashes import LostRun
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.servers.port import PortState, ServerPort

PROBE_SECONDS = 0.5
"""Timeout of a probe connection; a dead port refuses within the network latency."""
POLL_SECONDS = 0.25
"""Interval between checks of the directory while a server is suspect."""
INVESTIGATION_SECONDS = 6.0
"""A server that is still listed after this time has not crashed. Longer than its entry takes to
expire (three heartbeats of 1.2 s) and the removal to reach this daemon when the store has just
recovered (2 s)."""

CrashListener = Callable[[InstanceId, Iterable[LostRun], str], None]


class CrashEvidence(StrEnum):
    """How a server's crash is known."""

    DEAD_PORT = "dead_port"  # the port refuses connections
    REPLACED = "replaced"  # another instance is listed at the address
    GONE = "gone"  # the entry is removed, and nothing responds at the address


@dataclass(slots=True)
class _SuspectServer:
    """A server that may have crashed, because requests lost their connections to it.

    Attributes:
        since: steady time of the last lost request.
        initial_instances: instances listed at its address when the first request was lost.
        lost_runs: the last lost run of each content.
        evidence: how the crash is known; None if no crash is known.
        has_new_loss: set by each lost request, until it is investigated.
    """

    info: InstanceInfo
    since: float
    initial_instances: frozenset[InstanceId]
    lost_runs: dict[ContentDigest, LostRun] = field(default_factory=dict)
    evidence: CrashEvidence | None = None
    has_new_loss: asyncio.Event = field(default_factory=asyncio.Event)


class CrashDetector:
    """Investigates the servers that recently lost requests of this daemon.

    Args:
        listener: called with a server that has crashed, the runs that it lost, and the evidence.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        servers: ServerPort,
        clock: Clock,
        tasks: TaskSet,
        listener: CrashListener,
    ) -> None:
        self._directory = directory
        self._servers = servers
        self._clock = clock
        self._tasks = tasks
        self._listener = listener
        self._suspects: dict[InstanceId, _SuspectServer] = {}

    def record_lost_connection(self, run: LostRun, instance: InstanceInfo) -> None:
        """Records that a server closed a request's connection before the response was complete."""
        suspect = self._suspects.get(instance.id)
        if suspect is None:
            if not self._directory.accepts_work(instance.id):
                return  # the server is leaving or already removed
            suspect = _SuspectServer(
                instance, self._clock.now(), self._instances_at(instance.address)
            )
            self._suspects[instance.id] = suspect
            self._tasks.spawn(self._investigate(suspect), "crash_watch")
        suspect.lost_runs[run.content] = run
        suspect.since = self._clock.now()
        suspect.has_new_loss.set()
        if suspect.evidence is not None:
            self._listener(instance.id, (run,), suspect.evidence)

    async def _investigate(self, suspect: _SuspectServer) -> None:
        """Looks for evidence until `INVESTIGATION_SECONDS` after the last lost request."""
        try:
            while self._clock.now() - suspect.since < INVESTIGATION_SECONDS:
                has_new_loss = suspect.has_new_loss.is_set()
                suspect.has_new_loss.clear()
                if suspect.evidence is None:
                    evidence = await self._seek_evidence(suspect, has_new_loss=has_new_loss)
                    if evidence is not None:
                        suspect.evidence = evidence
                        lost_runs = list(suspect.lost_runs.values())
                        self._listener(suspect.info.id, lost_runs, evidence)
                with contextlib.suppress(TimeoutError):  # check the directory again
                    async with asyncio.timeout(POLL_SECONDS):
                        await suspect.has_new_loss.wait()
        finally:
            del self._suspects[suspect.info.id]

    async def _seek_evidence(
        self, suspect: _SuspectServer, *, has_new_loss: bool
    ) -> CrashEvidence | None:
        """Returns the evidence found that a server has crashed; None if there is none yet.

        Args:
            has_new_loss: whether the server lost a request since its port was last probed.
        """
        info = suspect.info
        listed = self._directory.get(info.id)
        if listed is not None and listed.state is InstanceState.LEAVING:
            return None
        if self._instances_at(info.address) - suspect.initial_instances:
            return CrashEvidence.REPLACED
        if listed is not None and not has_new_loss:
            return None
        state = await self._servers.probe(info, PROBE_SECONDS)
        if state is PortState.DEAD:
            return CrashEvidence.DEAD_PORT
        is_gone = self._directory.get(info.id) is None
        return CrashEvidence.GONE if state is PortState.UNRESPONSIVE and is_gone else None

    def _instances_at(self, address: Address) -> frozenset[InstanceId]:
        """Returns the instances that are listed at an address."""
        return frozenset(info.id for info in self._directory.all() if info.address == address)
