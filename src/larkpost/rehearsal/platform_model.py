"""A stand-in platform: table service, object store, weight store, machine list, and faults."""

import asyncio
from dataclasses import dataclass, field, replace

from larkpost.common.ids import EngineId, PolicyId, ZoneId
from larkpost.standalone.table_service.ports import MachineEntry, Row


class PlatformDownError(Exception):
    """The platform is down."""


class ResponseLostError(Exception):
    """The operation took effect, but its response was lost."""


class RateLimitedError(Exception):
    """The service's rate limit is exceeded; the operation had no effect."""


class RateLimit:
    """Token bucket of ``rate`` operations per second, with a burst of one second."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._at: float | None = None

    def take(self, now: float) -> None:
        """Takes one operation from the bucket.

        Raises:
            RateLimitedError: the bucket is empty.
        """
        if self._at is not None:
            self._tokens = min(self._rate, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < 1:
            raise RateLimitedError
        self._tokens -= 1


@dataclass(slots=True)
class PlatformFaults:
    """Fault switches, all off by default."""

    down: bool = False
    slow_seconds: float = 0.0
    lost_answers: int = 0
    """Number of writes that still take effect without a response."""


@dataclass(slots=True)
class PlatformLimits:
    """Rate limits in operations per second."""

    table: float = 200.0
    objects: float = 100.0
    weights: float = 20.0
    machines: float = 100.0


@dataclass(slots=True)
class _ListedMachine:
    entry: MachineEntry
    visible_at: float


@dataclass(slots=True)
class PlatformModel:
    """State of the platform. Times are those of the running event loop."""

    limits: PlatformLimits = field(default_factory=PlatformLimits)
    machine_lag: float = 1.0
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    rows: dict[str, Row] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    newest_versions: dict[PolicyId, int] = field(default_factory=dict)
    _machines: dict[EngineId, list[_ListedMachine]] = field(default_factory=dict)
    _rates: dict[str, RateLimit] = field(default_factory=dict)

    async def read(self, key: str) -> Row | None:
        """Reads a row."""
        await self._apply_faults_and_limits("table")
        return self.rows.get(key)

    async def compare_and_set(self, key: str, expected_version: int, value: bytes) -> bool:
        """Writes a row if its version is the expected one."""
        await self._apply_faults_and_limits("table")
        row = self.rows.get(key)
        version = row.version if row is not None else 0
        written = version == expected_version
        if written:
            self.rows[key] = Row(version + 1, value)
        self._drop_response()
        return written

    async def put_object(self, key: str, value: bytes) -> None:
        """Stores an object."""
        await self._apply_faults_and_limits("objects")
        self.objects[key] = value
        self._drop_response()

    async def get_object(self, key: str) -> bytes | None:
        """Reads an object."""
        await self._apply_faults_and_limits("objects")
        return self.objects.get(key)

    async def fetch_weights(self, policy: PolicyId, version: int) -> bool:
        """Returns whether that weight version was published."""
        await self._apply_faults_and_limits("weights")
        return version <= self.newest_versions.get(policy, 0)

    def publish_weights(self, policy: PolicyId, version: int) -> None:
        """Publishes a weight version of a policy."""
        self.newest_versions[policy] = max(self.newest_versions.get(policy, 0), version)

    async def machines(self, zone: ZoneId | None = None) -> list[MachineEntry]:
        """Lists the machines of a zone, or of all zones, as visible after their lag."""
        await self._apply_faults_and_limits("machines")
        now = _now()
        visible = []
        for history in self._machines.values():
            seen = [listed.entry for listed in history if listed.visible_at <= now]
            visible += seen[-1:]
        return [entry for entry in visible if zone is None or entry.zone == zone]

    def list_machine(self, entry: MachineEntry, lag: float | None = None) -> None:
        """Adds or updates a machine; the change becomes visible after ``lag`` seconds.

        Args:
            lag: None stands for ``machine_lag``.
        """
        history = self._machines.setdefault(entry.engine, [])
        entry = replace(entry, revision=len(history) + 1)
        lag = self.machine_lag if lag is None else lag
        history.append(_ListedMachine(entry, _now() + lag))

    def mark_leaving(self, engine: EngineId) -> None:
        """Marks a machine as leaving."""
        last = self._machines[engine][-1].entry
        self.list_machine(replace(last, leaving=True))

    async def _apply_faults_and_limits(self, service: str) -> None:
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        if self.faults.down:
            raise PlatformDownError
        rate = self._rates.setdefault(service, RateLimit(getattr(self.limits, service)))
        rate.take(_now())

    def _drop_response(self) -> None:
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise ResponseLostError


def _now() -> float:
    return asyncio.get_running_loop().time()
