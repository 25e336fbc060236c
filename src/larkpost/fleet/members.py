"""Which daemons are alive, by heartbeats in the store.

Each daemon rewrites its row at an interval and lists the rows of all. A daemon is held dead once
its row has not changed for a time during which this daemon's own listings succeeded: a store that
is down, or a daemon that was frozen, blames nobody.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from larkpost.clock import Clock
from larkpost.eventlog import Event, EventLog
from larkpost.hashing import hash64
from larkpost.ids import DaemonId, EngineId
from larkpost.store.port import (
    RowKey,
    Store,
    StoreUnavailableError,
    Transaction,
    read_all,
)
from larkpost.tasks import TaskSet

MEMBER_TABLE = "members"
MEMBER_PART = "all"
HEARTBEAT_SECONDS = 0.5
DEAD_AFTER_SECONDS = 1.6
SUPERSEDED_SECONDS = 0.45
"""Nearly a heartbeat: a life that missed one which a later life made is over."""
BLIND_SECONDS = 1.1
"""A gap between two successful listings after which all observations start afresh."""
FORGET_AFTER_SECONDS = 60.0
WRITE_TIMEOUT_SECONDS = 1.0

LIFE_SEPARATOR = "/"

UseSummary = dict[EngineId, tuple[int, float]]
"""For each instance in use: requests there, and seconds a unit of work takes (0: unknown)."""


def new_life(machine: str) -> DaemonId:
    """Returns the id of a new life of a machine's daemon."""
    return DaemonId(f"{machine}{LIFE_SEPARATOR}{secrets.token_hex(4)}")


def machine_of(daemon: DaemonId) -> str:
    """Returns the machine that a daemon runs on."""
    return daemon.rpartition(LIFE_SEPARATOR)[0]


@dataclass(slots=True)
class _Observation:
    version: int
    changed_at: float


class Membership:
    """This daemon's heartbeat and its view of the others.

    Args:
        own: this process's id, unique to one life of the process.
        summary: returns what this daemon tells the others with each heartbeat.
        listener: called with each new summary of another daemon.
    """

    def __init__(
        self,
        own: DaemonId,
        store: Store,
        clock: Clock,
        summary: Callable[[], UseSummary],
        listener: Callable[[DaemonId, UseSummary], None],
        log: EventLog,
    ) -> None:
        self.own = own
        self._summary = summary
        self._listener = listener
        self._log = log
        self._noted: set[DaemonId] = set()
        self._store = store
        self._clock = clock
        self._leaving = False
        self._listed_at: float | None = None
        self._seen: dict[DaemonId, _Observation] = {}

    def start(self, tasks: TaskSet) -> None:
        """Starts the heartbeat and the listing."""
        tasks.every(HEARTBEAT_SECONDS, self._beat, "heartbeat")
        tasks.every(HEARTBEAT_SECONDS, self._list, "members")

    def alive(self) -> list[DaemonId]:
        """Returns the daemons held alive; this one too, unless it is leaving."""
        others = [name for name in self._seen if self._is_alive(name) and name != self.own]
        return others if self._leaving else [self.own, *others]

    def is_alive(self, daemon: DaemonId) -> bool:
        """Tells whether a daemon is held alive."""
        if daemon == self.own:
            return not self._leaving
        return self._is_alive(daemon)

    def first_choice(self, key: str) -> DaemonId | None:
        """Returns the daemon that rendezvous hashing names for a key."""
        return max(self.alive(), key=lambda name: hash64(f"{name}\x00{key}"), default=None)

    async def leave(self) -> None:
        """Takes this daemon out, so that others take over without waiting."""
        self._leaving = True
        await self._store.write(Transaction(removals=(self._row(),)), WRITE_TIMEOUT_SECONDS)

    def _is_alive(self, daemon: DaemonId) -> bool:
        seen = self._seen.get(daemon)
        if seen is None or self._listed_at is None:
            return False
        if self._is_superseded(daemon, seen):
            return False
        return self._listed_at - seen.changed_at < DEAD_AFTER_SECONDS

    def _is_superseded(self, daemon: DaemonId, seen: _Observation) -> bool:
        """Tells whether a later life of the same machine beats while this one missed a beat."""
        return any(
            name != daemon
            and machine_of(name) == machine_of(daemon)
            and other.changed_at - seen.changed_at >= SUPERSEDED_SECONDS
            for name, other in self._seen.items()
        )

    def _row(self) -> RowKey:
        return RowKey(MEMBER_TABLE, MEMBER_PART, self.own)

    async def _beat(self) -> None:
        if self._leaving:
            return
        value = orjson.dumps(self._summary())
        put = Transaction(puts=((self._row(), value),))
        await self._store.write(put, WRITE_TIMEOUT_SECONDS)

    async def _list(self) -> None:
        try:
            page = await read_all(self._store, MEMBER_TABLE, MEMBER_PART)
        except StoreUnavailableError:
            return
        now = self._clock.now()
        blind = self._listed_at is None or now - self._listed_at > BLIND_SECONDS
        self._listed_at = now
        listed = {DaemonId(row.key.key): row for row in page.rows}
        for name, row in listed.items():
            seen = self._seen.get(name)
            changed = seen is None or seen.version != row.version
            if changed and name != self.own:
                self._listener(name, orjson.loads(row.value))
            if changed or blind:
                self._seen[name] = _Observation(row.version, now)
        for name in [name for name in self._seen if name not in listed]:
            del self._seen[name]
        self._note_changes(now)
        await self._forget(now)

    def _note_changes(self, now: float) -> None:
        """Notes which daemons are newly held alive or dead."""
        alive = set(self.alive())
        for name in sorted(alive ^ self._noted):
            seen = self._seen.get(name)
            age = round(now - seen.changed_at, 3) if seen is not None else None
            state = "alive" if name in alive else "dead"
            self._log.note(Event.MEMBER, member=name, state=state, heartbeat_age=age)
        self._noted = alive

    async def _forget(self, now: float) -> None:
        """Removes rows of daemons long dead; one daemon does it, so that calls are few."""
        if self.first_choice("forget") != self.own:
            return
        old = [
            (RowKey(MEMBER_TABLE, MEMBER_PART, name), seen.version)
            for name, seen in self._seen.items()
            if now - seen.changed_at > FORGET_AFTER_SECONDS
        ]
        if old:
            removal = Transaction(conditions=tuple(old), removals=tuple(key for key, _ in old))
            await self._store.write(removal, WRITE_TIMEOUT_SECONDS)
