"""Which daemons are alive, by heartbeats in the store.

Each daemon rewrites its row at an interval and lists the rows of all. A daemon is held dead once
its row has not changed for a time during which this daemon's own listings succeeded: a store that
is down, or a daemon that was frozen, blames nobody.

The cost must not grow with the square of the fleet. A fixed number of daemons, the coordinators,
give orders and claim batches; they and the owners of batches beat and list often, all others
seldom. Each row tells its interval, so that nobody is blamed for beating seldom.
"""

import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import orjson

from larkpost.clock import Clock
from larkpost.eventlog import Event, EventLog
from larkpost.hashing import hash64
from larkpost.ids import Address, DaemonId, EngineId
from larkpost.policy import DEFAULT_POLICY, Policy
from larkpost.store.port import (
    Row,
    RowKey,
    Store,
    StoreUnavailableError,
    Transaction,
    read_all,
)
from larkpost.tasks import TaskSet

MEMBER_TABLE = "members"
MEMBER_PART = "all"
HEARTBEAT_SECONDS = 0.25
"""Interval of a coordinator, of an owner of batches, and of a daemon that was restarted."""
LISTED_ROWS_PER_SECOND = 200.0
"""Most rows that such a daemon lists a second; in a larger fleet it beats and lists slower."""
IDLE_HEARTBEAT_SECONDS = 2.0
"""Interval of all other daemons, in a fleet small enough for it."""
IDLE_HEARTBEATS_PER_SECOND = 80.0
"""Most heartbeats that the idle daemons of a fleet write together; a larger fleet beats slower."""
RESTARTED_SECONDS = 3.0
"""How long a restarted daemon beats often: its earlier life is to be found dead soon."""
MISSED_HEARTBEATS = 3.2
"""A daemon is held dead once this many of its intervals have gone by without a heartbeat."""
DEAD_AFTER_SECONDS = MISSED_HEARTBEATS * HEARTBEAT_SECONDS
"""The time until a daemon that beats often is held dead, in a small fleet over a quick store."""
STORE_CALLS_ALLOWED = 4.0
"""Calls to the store, as they take now, that are added to the time until a daemon is held dead."""
STORE_CALL_WEIGHT = 0.3
"""Weight of the newest call in the usual time of one."""
SUPERSEDED_HEARTBEATS = 0.9
"""A life that missed a heartbeat which a later life of its machine made is over."""
BLIND_HEARTBEATS = 2.2
"""Intervals between two successful listings after which all observations start afresh."""
TIMER_SLACK_SECONDS = 0.05
FORGET_AFTER_SECONDS = 60.0
MAX_REMOVALS = 40
"""Rows of dead daemons removed at once: a transaction takes a hundred entries."""
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


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a daemon writes into its row.

    Attributes:
        interval: seconds until it will write again.
        uses: what it tells the others of its use of instances.
        address: where it makes calls to the store for daemons that the store turns away, or None.
    """

    interval: float
    uses: UseSummary
    address: Address | None = None


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Returns a heartbeat as a row's value."""
    fields = {
        "interval": heartbeat.interval,
        "uses": heartbeat.uses,
        "address": heartbeat.address,
    }
    return orjson.dumps(fields)


def decode_heartbeat(value: bytes) -> Heartbeat:
    """Reads a row's value.

    Raises:
        ValueError: it is no heartbeat.
    """
    try:
        document = orjson.loads(value)
        address = document.get("address")
        return Heartbeat(
            float(document["interval"]),
            dict(document["uses"]),
            Address(address) if address else None,
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"no heartbeat: {error!r}") from None


@dataclass(slots=True)
class _Observation:
    version: int
    changed_at: float
    interval: float
    address: Address | None


class Membership:
    """This daemon's heartbeat and its view of the others.

    Args:
        own: this process's id, unique to one life of the process.
        summary: returns what this daemon tells the others with each heartbeat.
        listener: called with each new summary of another daemon; an empty one when it is gone.
        is_owner: tells whether this daemon owns batches.
        address: where this daemon makes calls to the store for others, or None.
    """

    def __init__(
        self,
        own: DaemonId,
        store: Store,
        clock: Clock,
        summary: Callable[[], UseSummary],
        listener: Callable[[DaemonId, UseSummary], None],
        log: EventLog,
        is_owner: Callable[[], bool] = lambda: False,
        address: Address | None = None,
        policy: Policy = DEFAULT_POLICY,
    ) -> None:
        self._policy = policy
        self.own = own
        self._summary = summary
        self._listener = listener
        self._log = log
        self._is_owner = is_owner
        self._address = address
        self._noted: set[DaemonId] = set()
        self._noted_coordinator = False
        self._store = store
        self._clock = clock
        self._started_at = clock.now()
        self._leaving = False
        self._beat_at: float | None = None
        self._promised_interval = HEARTBEAT_SECONDS
        self._listed_at: float | None = None
        self._usual_call = 0.0
        self._seen: dict[DaemonId, _Observation] = {}
        self._newest_of_machine: dict[str, float] = {}
        self._alive: frozenset[DaemonId] = frozenset({own})
        self._coordinators: tuple[DaemonId, ...] = (own,)

    @property
    def listed(self) -> bool:
        """Whether the daemons were listed at least once."""
        return self._listed_at is not None

    def start(self, tasks: TaskSet) -> None:
        """Starts the heartbeat and the listing."""
        tasks.every(HEARTBEAT_SECONDS, self._beat, "heartbeat")
        tasks.every(HEARTBEAT_SECONDS, self._list, "members")

    def alive(self) -> Iterable[DaemonId]:
        """Returns the daemons held alive; this one too, unless it is leaving."""
        return self._alive

    def peer_addresses(self) -> list[Address]:
        """Returns where the other daemons held alive make calls to the store for others."""
        return [
            seen.address
            for name, seen in self._seen.items()
            if seen.address is not None and name in self._alive and name != self.own
        ]

    def is_alive(self, daemon: DaemonId) -> bool:
        """Tells whether a daemon is held alive."""
        return daemon in self._alive

    def is_owner_alive(self, owner: DaemonId, since: float) -> bool:
        """Tells whether the owner of a batch is held alive.

        An owner beats often, whatever its last heartbeat said.

        Args:
            since: steady time at which this daemon learnt that it is the owner.
        """
        if owner == self.own:
            return not self._leaving
        if self._listed_at is None:
            return False
        if owner not in self._seen:
            return self._listed_at - since < self._active_interval()  # it may have just started
        if owner not in self._alive:
            return False
        silent_for = self._listed_at - max(self._seen[owner].changed_at, since)
        return silent_for < self._patience(self._active_interval())

    def is_coordinator(self) -> bool:
        """Tells whether this daemon gives orders and claims batches."""
        return self.own in self._coordinators

    def first_choice(self, key: str) -> DaemonId | None:
        """Returns the coordinator that rendezvous hashing names for a key."""
        return max(self._coordinators, key=lambda name: hash64(f"{name}\x00{key}"), default=None)

    async def leave(self) -> None:
        """Takes this daemon out, so that others take over without waiting."""
        self._leaving = True
        self._judge()
        await self._store.write(Transaction(removals=(self._row(),)), WRITE_TIMEOUT_SECONDS)

    def _interval(self) -> float:
        """Returns the seconds between two heartbeats, and between two listings, of this daemon."""
        is_awaited = self.is_coordinator() or self._is_owner() or self._was_restarted()
        if is_awaited or not self._policy.idle_intervals:
            return self._active_interval()
        return max(IDLE_HEARTBEAT_SECONDS, len(self._alive) / IDLE_HEARTBEATS_PER_SECOND)

    def _active_interval(self) -> float:
        """Returns the interval of daemons that others wait for, in a fleet of this size."""
        return max(HEARTBEAT_SECONDS, len(self._seen) / LISTED_ROWS_PER_SECOND)

    def _patience(self, interval: float) -> float:
        """Returns the silence after which a daemon with this interval is held dead.

        A slow store delays the heartbeat, its listing and what lies between, and blames nobody.
        """
        return MISSED_HEARTBEATS * interval + STORE_CALLS_ALLOWED * self._usual_call

    def _was_restarted(self) -> bool:
        """Tells whether this life is young and an earlier one of its machine is still listed."""
        if self._clock.now() - self._started_at >= RESTARTED_SECONDS:
            return False
        machine = machine_of(self.own)
        return any(machine_of(name) == machine for name in self._seen if name != self.own)

    def _judge(self) -> None:
        """Works out who is alive, and who of them are the coordinators."""
        self._newest_of_machine = {}
        for name, seen in self._seen.items():
            machine = machine_of(name)
            newest = self._newest_of_machine.get(machine, seen.changed_at)
            self._newest_of_machine[machine] = max(newest, seen.changed_at)
        alive = {name for name, seen in self._seen.items() if self._beats(name, seen)}
        alive.discard(self.own)
        if not self._leaving:
            alive.add(self.own)
        self._alive = frozenset(alive)
        ranked = sorted(alive, key=lambda name: hash64(f"coordinator\x00{name}"))
        self._coordinators = tuple(ranked[: self._policy.coordinators])

    def _beats(self, daemon: DaemonId, seen: _Observation) -> bool:
        """Tells whether another daemon has missed neither its heartbeats nor a later life."""
        if self._listed_at is None:
            return False
        later = self._newest_of_machine[machine_of(daemon)]
        if later - seen.changed_at >= SUPERSEDED_HEARTBEATS * self._active_interval():
            return False
        return self._listed_at - seen.changed_at < self._patience(seen.interval)

    def _row(self) -> RowKey:
        return RowKey(MEMBER_TABLE, MEMBER_PART, self.own)

    def _is_due(self, last: float | None, promised: float = float("inf")) -> bool:
        """Tells whether it is time again.

        Args:
            last: steady time of the last time; None if there was none.
            promised: interval that the others were told and count on, though it be longer by now.
        """
        if last is None:
            return True
        interval = min(promised, self._interval())
        return self._clock.now() - last >= interval - TIMER_SLACK_SECONDS

    async def _beat(self) -> None:
        if self._leaving or not self._is_due(self._beat_at, self._promised_interval):
            return
        self._beat_at = self._clock.now()
        self._promised_interval = self._interval()
        heartbeat = Heartbeat(self._promised_interval, self._summary(), self._address)
        value = encode_heartbeat(heartbeat)
        put = Transaction(puts=((self._row(), value),))
        await self._store.write(put, WRITE_TIMEOUT_SECONDS)

    async def _list(self) -> None:
        if not self._is_due(self._listed_at):
            return
        interval = self._interval()
        asked_at = self._clock.now()
        try:
            page = await read_all(self._store, MEMBER_TABLE, MEMBER_PART)
        except StoreUnavailableError:
            return
        now = self._clock.now()
        self._usual_call += STORE_CALL_WEIGHT * (now - asked_at - self._usual_call)
        gap = now - self._listed_at if self._listed_at is not None else float("inf")
        self._listed_at = now
        usual_gap = interval + STORE_CALLS_ALLOWED * self._usual_call
        self._take(page.rows, now, blind=gap > BLIND_HEARTBEATS * usual_gap)
        self._judge()
        self._note_changes(now)
        await self._forget(now)

    def _take(self, rows: tuple[Row, ...], now: float, *, blind: bool) -> None:
        """Takes the rows of all daemons; if ``blind``, none is blamed for the time before."""
        for row in rows:
            name = DaemonId(row.key.key)
            seen = self._seen.get(name)
            changed = seen is None or seen.version != row.version
            if changed:
                heartbeat = self._read(name, row)
                if name != self.own:
                    self._listener(name, heartbeat.uses)
                self._seen[name] = _Observation(
                    row.version, now, heartbeat.interval, heartbeat.address
                )
            elif blind:
                seen.changed_at = now
        for name in self._seen.keys() - {row.key.key for row in rows}:
            del self._seen[name]
            self._listener(name, {})

    def _read(self, name: DaemonId, row: Row) -> Heartbeat:
        try:
            return decode_heartbeat(row.value)
        except ValueError as error:
            self._log.note(Event.UNREADABLE, row=name, error=str(error))
            return Heartbeat(HEARTBEAT_SECONDS, {})

    def _note_changes(self, now: float) -> None:
        """Notes who is newly held alive or dead, and whether this daemon coordinates now."""
        alive = set(self._alive)
        for name in sorted(alive ^ self._noted):
            seen = self._seen.get(name)
            age = round(now - seen.changed_at, 3) if seen is not None else None
            state = "alive" if name in alive else "dead"
            self._log.note(Event.MEMBER, member=name, state=state, heartbeat_age=age)
        self._noted = alive
        if self.is_coordinator() != self._noted_coordinator:
            self._noted_coordinator = self.is_coordinator()
            self._log.note(
                Event.COORDINATOR,
                acting=self._noted_coordinator,
                alive=len(alive),
                interval=self._interval(),
            )

    async def _forget(self, now: float) -> None:
        """Removes rows of daemons long dead; one daemon does it, so that calls are few."""
        if self.first_choice("forget") != self.own:
            return
        old = [
            (RowKey(MEMBER_TABLE, MEMBER_PART, name), seen.version)
            for name, seen in self._seen.items()
            if now - seen.changed_at > FORGET_AFTER_SECONDS
        ][:MAX_REMOVALS]
        if old:
            removal = Transaction(conditions=tuple(old), removals=tuple(key for key, _ in old))
            await self._store.write(removal, WRITE_TIMEOUT_SECONDS)
