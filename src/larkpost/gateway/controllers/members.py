"""Which daemons are alive, by heartbeats in the store.

The cost must not grow with the square of the fleet, and a dead owner of a batch must be found
within a second in any fleet. So there are two kinds of heartbeat, each in a part of its own:

    known    every daemon, seldom: who there is, and where it makes calls for others
    awaited  coordinators and owners of batches, often: they are alive, what they use, who acts

A fixed number of daemons, the coordinators, give orders and claim batches. Each region has its
share of them, as a batch may be bound to one. Each daemon works out from the known ones whether it
is to be one, and tells so with its awaited heartbeat; the others go by that. Coordinators and
owners list the awaited ones often, all others seldom.

Each machine runs one daemon. A new one removes the rows of its predecessors, so that their batches
are claimed without a wait.
"""

import math
from collections.abc import Callable, Iterable

from larkpost.common.clock import Clock
from larkpost.common.hashing import hash64
from larkpost.common.ids import Address, DaemonId, RegionId, ZoneId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.regions import Distance, RegionMap
from larkpost.gateway.controllers.heartbeat import (
    Heartbeat,
    UseSummary,
    encode_heartbeat,
    machine_of,
)
from larkpost.gateway.controllers.heartbeat_list import MISSED_HEARTBEATS, HeartbeatList
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.store.port import Store, Transaction, WriteOutcome

KNOWN_PART = "known"
AWAITED_PART = "awaited"
COORDINATORS = 12
"""Daemons of the whole fleet that give orders and claim batches: enough that not all of them fail
at once, few enough that their heartbeats fit into one part of the store."""
HEARTBEAT_SECONDS = 0.25
"""Interval of awaited heartbeats and their listings: a step has less than a second to spare."""
LISTED_ROWS_PER_SECOND = 200.0
"""Most rows that a coordinator or owner lists a second; with more of them it lists slower."""
IDLE_HEARTBEAT_SECONDS = 2.0
"""Interval of known heartbeats, in a fleet small enough for it."""
IDLE_HEARTBEATS_PER_SECOND = 80.0
"""Most known heartbeats that a fleet writes together: one part takes 200 writes a second."""
IDLE_ROWS_PER_SECOND = 38.0
"""Most known heartbeats that a daemon lists a second: of 180 B each, under the 7 KB/s budget."""
YOUNG_SECONDS = 3.0
"""How long a new daemon lists the known ones often: after an outage all are new."""
YOUNG_ROWS_PER_SECOND = 400.0
"""Most known heartbeats that it lists a second then: two listings a second at 200 daemons."""
JOIN_SECONDS = 0.5
"""How old a daemon must be to coordinate: when all start at once, the first listings show few."""
STAY_SECONDS = 5.0
"""How long a daemon stays awaited after its last reason: the next step's batch is near."""
HEARING_INTERVALS = 3.0
"""Intervals without a listing after which an awaited daemon takes it that it hears nothing; fewer
than those after which others hold it dead."""
DEAD_AFTER_SECONDS = MISSED_HEARTBEATS * HEARTBEAT_SECONDS
"""The time until an awaited daemon is held dead over a quick store."""
MOST_TOLD_CALL_SECONDS = 0.4
"""Most time of a call that a daemon's interval is told longer by: a full link between regions takes
0.3 s. Others wait 3.2 times as long for it, so more would hold up its batches once it is dead."""
TIMER_SLACK_SECONDS = 0.05
FORGET_AFTER_SECONDS = 60.0
MAX_REMOVALS = 40
"""Rows of dead daemons removed at once: a transaction takes a hundred entries."""
WRITE_TIMEOUT_SECONDS = 1.0


class Membership:
    """This daemon's heartbeats and its view of the others.

    Args:
        own: this process's id, unique to one life of the process.
        summary: returns what this daemon tells the others with each awaited heartbeat.
        listener: called with each new summary of another daemon; an empty one when it is gone.
        is_owner: tells whether this daemon owns batches that are not ended.
        address: where this daemon makes calls to the store for others, or None.
        clock_offset: returns the seconds by which this machine's time of day is ahead of the
            store's clock, or None if that is not known.
        regions: where zones lie, this daemon's among them.
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
        clock_offset: Callable[[], float | None] = lambda: None,
        regions: RegionMap | None = None,
    ) -> None:
        self.own = own
        self._clock_offset = clock_offset
        self._regions = regions or RegionMap()
        self._summary = summary
        self._listener = listener
        self._log = log
        self._is_owner = is_owner
        self._address = address
        self._store = store
        self._clock = clock
        self._started_at = clock.now()
        self._leaving = False
        self._known = HeartbeatList(store, clock, log, KNOWN_PART)
        self._awaited = HeartbeatList(store, clock, log, AWAITED_PART, self._take_uses)
        self._known_beat_at: float | None = None
        self._awaited_beat_at: float | None = None
        self._needed_until = float("-inf")
        self._noted: frozenset[DaemonId] = frozenset()
        self._noted_coordinator = False
        self._alive: frozenset[DaemonId] = frozenset({own})
        self._coordinators: tuple[DaemonId, ...] = ()

    @property
    def listed(self) -> bool:
        """Whether the daemons were listed at least once."""
        return self._known.listed_at is not None and self._awaited.listed_at is not None

    def is_hearing(self) -> bool:
        """Tells whether this daemon, if it is awaited, has listed the others a moment ago.

        One that has not may be held dead soon, and another be at its work.
        """
        listed_at = self._awaited.listed_at
        if listed_at is None:
            return False
        return self._clock.now() - listed_at < HEARING_INTERVALS * self._awaited_interval()

    def start(self, tasks: TaskSet) -> None:
        """Starts the heartbeats and the listings."""
        tasks.every(HEARTBEAT_SECONDS, self._beat, "heartbeat")
        tasks.every(HEARTBEAT_SECONDS, self._list, "members")

    def alive(self) -> Iterable[DaemonId]:
        """Returns the daemons held alive; this one too, unless it is leaving."""
        return self._alive

    def peers(self) -> dict[Address, Distance]:
        """Returns where the other daemons held alive make calls for others, and how far that is."""
        return {
            seen.heartbeat.address: self._regions.distance(seen.heartbeat.zone or ZoneId(""))
            for name, seen in self._known.seen.items()
            if seen.heartbeat.address is not None and name in self._alive and name != self.own
        }

    def clock_offsets(self) -> list[float]:
        """Returns by how many seconds the clock of each daemon is ahead of the store's."""
        told = (seen.heartbeat.clock_offset for seen in self._known.seen.values())
        return [offset for offset in told if offset is not None]

    def is_alive(self, daemon: DaemonId) -> bool:
        """Tells whether a daemon is held alive."""
        return daemon in self._alive

    def is_owner_alive(self, owner: DaemonId, since: float) -> bool:
        """Tells whether the owner of a batch is held alive.

        An owner is awaited: from the moment it is known, its heartbeats must come often.

        Args:
            since: steady time at which this daemon learnt that it is the owner.
        """
        if owner == self.own:
            return not self._leaving
        listed_at = self._awaited.listed_at
        if listed_at is None:
            return False
        seen = self._awaited.seen.get(owner)
        if seen is not None and seen.heartbeat.leaving:
            return False
        heard_at = max(seen.changed_at, since) if seen is not None else since
        told = seen.heartbeat.interval if seen is not None else 0.0
        return listed_at - heard_at < self._awaited.patience(max(told, self._awaited_interval()))

    def is_coordinator(self) -> bool:
        """Tells whether this daemon gives orders and claims batches."""
        return self.own in self._coordinators

    def first_choice(self, key: str, regions: frozenset[RegionId] | None = None) -> DaemonId | None:
        """Returns the coordinator that rendezvous hashing names for a key.

        Args:
            regions: it must be in one of these; None for anywhere.
        """
        fitting = [
            name
            for name in self._coordinators
            if regions is None or self.region_of(name) in regions
        ]
        return max(fitting, key=lambda name: hash64(f"{name}\x00{key}"), default=None)

    def region_of(self, daemon: DaemonId) -> RegionId | None:
        """Returns the region of a daemon; None if it is not known."""
        if daemon == self.own:
            return self._regions.own_region
        seen = self._known.seen.get(daemon)
        zone = seen.heartbeat.zone if seen is not None else None
        return self._regions.region_of(zone) if zone is not None else None

    async def look(self) -> None:
        """Learns at once what the awaited daemons use, before this one joins them."""
        if await self._awaited.update(self._awaited_listing_interval()):
            self._judge()

    async def leave(self) -> None:
        """Takes this daemon out, so that others take over without waiting."""
        self._leaving = True
        self._judge()
        await self._write(Transaction(removals=(self._known.row_of(self.own),)))
        if self._awaited_beat_at is not None:
            last = Heartbeat(HEARTBEAT_SECONDS, leaving=True)
            row = self._awaited.row_of(self.own)
            await self._write(Transaction(puts=((row, encode_heartbeat(last)),)))

    def _take_uses(self, daemon: DaemonId, uses: UseSummary) -> None:
        if daemon != self.own:
            self._listener(daemon, uses)

    def _is_awaited(self) -> bool:
        """Tells whether others wait for this daemon, or did a moment ago."""
        now = self._clock.now()
        if self.is_coordinator() or self._is_owner():
            self._needed_until = now + STAY_SECONDS
        return now < self._needed_until

    def _awaited_interval(self) -> float:
        """Returns the seconds between two heartbeats of an awaited daemon."""
        return max(HEARTBEAT_SECONDS, len(self._awaited.seen) / LISTED_ROWS_PER_SECOND)

    def _known_interval(self) -> float:
        """Returns the seconds between two known heartbeats of a daemon."""
        return max(IDLE_HEARTBEAT_SECONDS, len(self._alive) / IDLE_HEARTBEATS_PER_SECOND)

    def _known_listing_interval(self) -> float:
        if self._clock.now() - self._started_at < YOUNG_SECONDS:
            return max(HEARTBEAT_SECONDS, len(self._known.seen) / YOUNG_ROWS_PER_SECOND)
        return max(IDLE_HEARTBEAT_SECONDS, len(self._known.seen) / IDLE_ROWS_PER_SECOND)

    def _awaited_listing_interval(self) -> float:
        return self._awaited_interval() if self._is_awaited() else self._known_listing_interval()

    def _is_due(self, last: float | None, interval: float) -> bool:
        """Tells whether it is time again; ``last`` is the steady time of the last time, or None."""
        return last is None or self._clock.now() - last >= interval - TIMER_SLACK_SECONDS

    async def _beat(self) -> None:
        if self._leaving:
            return
        if self._is_awaited():
            if self._is_due(self._awaited_beat_at, self._awaited_interval()):
                await self._beat_awaited()
        elif self._awaited_beat_at is not None:
            await self._leave_awaited()
        if self._is_due(self._known_beat_at, self._known_interval()):
            self._known_beat_at = self._clock.now()
            heartbeat = Heartbeat(
                self._known_interval(),
                {},
                self._address,
                clock_offset=self._clock_offset(),
                zone=self._regions.own_zone,
            )
            await self._put(self._known, heartbeat)

    async def _beat_awaited(self) -> None:
        self._awaited_beat_at = self._clock.now()
        call = min(self._awaited.usual_call, MOST_TOLD_CALL_SECONDS)
        interval = round(self._awaited_interval() + call, 3)
        heartbeat = Heartbeat(interval, self._summary(), coordinates=self.is_coordinator())
        await self._put(self._awaited, heartbeat)

    async def _leave_awaited(self) -> None:
        """Removes the awaited heartbeat; until that is done it goes on, as others count on it."""
        removal = Transaction(removals=(self._awaited.row_of(self.own),))
        if await self._write(removal) is WriteOutcome.DONE:
            self._awaited_beat_at = None
        else:
            await self._beat_awaited()

    async def _put(self, rows: HeartbeatList, heartbeat: Heartbeat) -> None:
        put = (rows.row_of(self.own), encode_heartbeat(heartbeat))
        await self._write(Transaction(puts=(put,)))

    async def _write(self, transaction: Transaction) -> WriteOutcome:
        return (await self._store.write(transaction, WRITE_TIMEOUT_SECONDS)).outcome

    async def _list(self) -> None:
        is_changed = False
        for rows, interval in (
            (self._awaited, self._awaited_listing_interval()),
            (self._known, self._known_listing_interval()),
        ):
            if self._is_due(rows.listed_at, interval) and await rows.update(interval):
                is_changed = True
                await self._remove_old(rows)
        if is_changed:
            self._judge()
            self._record_changes()

    def _judge(self) -> None:
        """Works out who is alive, and who of them are the coordinators."""
        newest = self._newest_lives()
        names = self._known.seen.keys() | self._awaited.seen.keys()
        alive = {name for name in names if self._is_heard(name, newest)}
        alive.discard(self.own)
        acting = [
            name
            for name in alive
            if name in self._awaited.seen and self._awaited.seen[name].heartbeat.coordinates
        ]
        if not self._leaving:
            alive.add(self.own)
            if self._is_among_first(alive):
                acting.append(self.own)
        self._alive = frozenset(alive)
        self._coordinators = tuple(sorted(acting))

    def _newest_lives(self) -> dict[str, int]:
        """Returns for each machine the version of the newest known heartbeat of its lives."""
        newest: dict[str, int] = {}
        for name, seen in self._known.seen.items():
            machine = machine_of(name)
            newest[machine] = max(seen.version, newest.get(machine, 0))
        return newest

    def _is_heard(self, daemon: DaemonId, newest: dict[str, int]) -> bool:
        """Tells whether a daemon's heartbeats come; those that come often count before others."""
        if daemon in self._awaited.seen:
            return self._awaited.is_heard(daemon)
        is_newest = self._known.seen[daemon].version == newest[machine_of(daemon)]
        return is_newest and self._known.is_heard(daemon)

    def _is_among_first(self, alive: set[DaemonId]) -> bool:
        """Tells whether this daemon is one of those of its region that are to coordinate."""
        if self._clock.now() - self._started_at < JOIN_SECONDS:
            return False
        rank = hash64(f"coordinator\x00{self.own}")
        regions = {name: self.region_of(name) for name in alive}
        neighbours = [name for name in alive if regions[name] == regions[self.own]]
        share = math.ceil(COORDINATORS / len(set(regions.values())))
        before = sum(hash64(f"coordinator\x00{name}") < rank for name in neighbours)
        return before < share

    async def _remove_old(self, rows: HeartbeatList) -> None:
        """Removes the rows of this machine's earlier lives, and those of daemons long dead.

        The latter are removed by one daemon, so that calls are few.
        """
        machine = machine_of(self.own)
        old = {
            rows.row_of(name): seen.version
            for name, seen in rows.seen.items()
            if name != self.own and machine_of(name) == machine
        }
        if self.first_choice("forget") == self.own:
            old |= dict(rows.silent_for(FORGET_AFTER_SECONDS)[:MAX_REMOVALS])
        if old:
            await self._write(Transaction(conditions=tuple(old.items()), removals=tuple(old)))

    def _record_changes(self) -> None:
        """Notes who is newly held alive or dead, and whether this daemon coordinates now."""
        for name in sorted(self._alive ^ self._noted):
            rows = self._awaited if name in self._awaited.seen else self._known
            age = round(rows.silence(name), 3) if name in rows.seen else None
            state = "alive" if name in self._alive else "dead"
            self._log.record(Event.MEMBER, member=name, state=state, heartbeat_age=age)
        self._noted = self._alive
        if self.is_coordinator() != self._noted_coordinator:
            self._noted_coordinator = self.is_coordinator()
            self._log.record(
                Event.COORDINATOR,
                acting=self._noted_coordinator,
                alive=len(self._alive),
                interval=self._awaited_interval(),
            )
