"""Finds out whether a server has crashed under the requests that it left without a response.

A connection that closes without a response may have been reset on the way, or by a server that
lives. A server has crashed if its port is dead right afterwards, or if it goes from the directory
without having said that it leaves, and another follows at its address or nothing responds there.

Owns the suspicions; relies on the directory and on probes, and calls a listener with what it finds.
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
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.servers.port import PortState, ServerPort

PROBE_SECONDS = 0.5
"""Longest wait for a new connection to a server: a dead port refuses within the latency of the
network."""
POLL_SECONDS = 0.25
"""Between two checks of the directory while a server is suspect."""
INVESTIGATION_SECONDS = 6.0
"""After this long a server that is still listed has not crashed: an entry goes after three missed
heartbeats of 1.2 s, and news of that take up to two seconds when the store has just come back."""

CrashListener = Callable[[InstanceId, Iterable[ContentDigest], str], None]


class CrashEvidence(StrEnum):
    """How it is known that a server has crashed."""

    DEAD_PORT = "dead_port"  # its port refuses connections
    REPLACED = "replaced"  # another instance is listed at its address
    GONE = "gone"  # its entry went, and nothing listens


@dataclass(slots=True)
class _SuspectServer:
    """A server that left requests without a response, and may have crashed.

    Attributes:
        since: steady time of the last such request.
        neighbours: instances that were listed at its address at the first one.
        contents: of all those requests.
        crashed: how it is known that it has crashed; None if it is not.
        is_fresh: set by each such request, until it is investigated.
    """

    info: InstanceInfo
    since: float
    initial_instances: frozenset[InstanceId]
    contents: set[ContentDigest] = field(default_factory=set)
    crashed: CrashEvidence | None = None
    has_new_loss: asyncio.Event = field(default_factory=asyncio.Event)


class CrashDetector:
    """The servers that left requests of this daemon without a response a moment ago.

    Args:
        listener: called with a server that has crashed, the contents of the requests that it
            left, and how that is known.
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

    def record_lost_connection(self, content: ContentDigest, instance: InstanceInfo) -> None:
        """Records that a server closed the connection of a request without a whole response."""
        suspect = self._suspects.get(instance.id)
        if suspect is None:
            if not self._directory.accepts_work(instance.id):
                return  # it has said that it leaves, or was known to be gone
            suspect = _SuspectServer(
                instance, self._clock.now(), self._instances_at(instance.address)
            )
            self._suspects[instance.id] = suspect
            self._tasks.spawn(self._investigate(suspect), "crash_watch")
        suspect.contents.add(content)
        suspect.since = self._clock.now()
        suspect.has_new_loss.set()
        if suspect.crashed is not None:
            self._listener(instance.id, (content,), suspect.crashed)

    async def _investigate(self, suspect: _SuspectServer) -> None:
        """Seeks evidence for some seconds; what the server left meanwhile counts as well."""
        try:
            while self._clock.now() - suspect.since < INVESTIGATION_SECONDS:
                has_new_loss = suspect.has_new_loss.is_set()
                suspect.has_new_loss.clear()
                if suspect.crashed is None:
                    evidence = await self._seek_evidence(suspect, has_new_loss=has_new_loss)
                    if evidence is not None:
                        suspect.crashed = evidence
                        self._listener(suspect.info.id, suspect.contents, evidence)
                with contextlib.suppress(TimeoutError):  # the directory is checked again
                    async with asyncio.timeout(POLL_SECONDS):
                        await suspect.has_new_loss.wait()
        finally:
            del self._suspects[suspect.info.id]

    async def _seek_evidence(
        self, suspect: _SuspectServer, *, has_new_loss: bool
    ) -> CrashEvidence | None:
        """Returns how it is known by now that a server has crashed; None if it is not.

        Args:
            is_fresh: whether its port was not tried since it last left a request.
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
        return CrashEvidence.GONE if state is PortState.SILENT and is_gone else None

    def _instances_at(self, address: Address) -> frozenset[InstanceId]:
        """Returns the instances that are listed at an address."""
        return frozenset(info.id for info in self._directory.all() if info.address == address)
