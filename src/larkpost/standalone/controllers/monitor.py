"""Load reports: an owner polls its engines and pushes load summaries to subscribed daemons.

A daemon watches a bounded subset of each pool, so its cost does not grow with the fleet. In its own
zone the subset consists of all engines of some owners, chosen by rendezvous hashing: each datagram
then carries many engines, and different daemons watch different owners, which spreads the load.
"""

import asyncio
from dataclasses import replace
from heapq import nlargest

from larkpost.common.ids import DaemonId, EngineId, PoolId
from larkpost.standalone.blackboard.engines import EngineInfo, EngineLoad
from larkpost.standalone.controllers.gossip import Gossip
from larkpost.standalone.controllers.ownership import Ownership, load_from_report
from larkpost.standalone.engines.port import EngineError, EnginePort
from larkpost.standalone.rendezvous import score
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.wire import larkpost_pb2 as pb

SUBSCRIPTION_LIFETIME = 10.0
"""Seconds until a subscription expires; longer than two renewals, as one may be lost."""
SUBSCRIBE_INTERVAL = 4.0
"""Seconds between renewals of the subscriptions."""
LOADS_PER_DATAGRAM = 24
"""Maximum number of engine loads in one datagram."""


class Monitor:
    """Polls owned engines and receives the loads of other watched engines."""

    def __init__(
        self,
        runtime: Runtime,
        engines: EnginePort,
        gossip: Gossip,
        ownership: Ownership,
    ) -> None:
        self._board = runtime.board
        self._engines = engines
        self._gossip = gossip
        self._ownership = ownership
        self._clock = runtime.clock
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.engines
        self._subscribers: dict[tuple[DaemonId, PoolId], float] = {}
        self._watched: dict[PoolId, list[EngineId]] = {}
        self._remote_cache: dict[PoolId, tuple[tuple[int, int, int], list[EngineId]]] = {}
        self._watched_key: tuple[int, int, int] = (-1, -1, -1)
        gossip.register_handler("subscribe", self._on_subscribe)
        gossip.register_handler("load", self._on_load)

    def watched_engines(self, pool: PoolId) -> list[EngineId]:
        """Returns the engines of a pool from which this daemon selects."""
        board = self._board
        key = (board.configuration.epoch, board.engines.revision, board.members.revision)
        if key != self._watched_key:
            self._watched.clear()
            self._watched_key = key
        if pool not in self._watched:
            self._watched[pool] = self._choose_watched(pool)
        return self._watched[pool]

    async def poll_owned_engines(self) -> None:
        """Requests a report from every owned engine."""
        owned = [self._board.engines.directory[engine] for engine in self._board.owned]
        await asyncio.gather(*(self.poll_engine(info) for info in owned))

    async def poll_swapping_engines(self) -> None:
        """Requests a report from each swapping engine, to use it soon after its swap ends."""
        loads = self._board.engines.loads
        swapping = [
            self._board.engines.directory[engine]
            for engine in self._board.owned
            if engine in loads and loads[engine].swapping
        ]
        if swapping:
            await asyncio.gather(*(self.poll_engine(info) for info in swapping))

    async def poll_engine(self, info: EngineInfo) -> EngineLoad | None:
        """Requests an engine's report; None if it does not answer or names another engine."""
        try:
            report = await self._engines.report(info.address, self._settings.report_timeout)
        except EngineError:
            self._telemetry.log_state(f"engine.{info.id}.report", "unreachable")
            return None
        if report.engine != info.id:
            return None
        self._telemetry.log_state(f"engine.{info.id}.report", "reachable")
        load = load_from_report(report, self._clock.now())
        known = self._board.engines.loads.get(info.id)
        self._board.engines.record_load(load)
        self._ownership.check_report(report)
        if info.id in self._board.owned and known is not None and known.version != load.version:
            self._push_load(info.id)
        return load

    async def push_summaries(self) -> None:
        """Sends the loads of owned engines to the subscribers of their pools."""
        now = self._clock.now()
        self._subscribers = {k: end for k, end in self._subscribers.items() if end > now}
        for daemon, pool in self._subscribers:
            self._send_loads(daemon, self._loads_of(pool))

    def record_swapping(self, engine: EngineId) -> None:
        """Marks an owned engine as swapping and notifies the subscribers of its pool."""
        load = self._board.engines.loads[engine]
        self._board.engines.loads[engine] = replace(load, swapping=True)
        self._push_load(engine)

    def _push_load(self, engine: EngineId) -> None:
        """Sends an engine's load to the subscribers of its pool at once."""
        load = _load_message(self._board.engines.loads[engine], self._clock.now())
        for daemon, pool in self._subscribers:
            if self._board.engine_pool(engine) == pool:
                self._send_loads(daemon, [load])

    def _send_loads(self, daemon: DaemonId, loads: list[pb.EngineLoad]) -> None:
        member = self._board.members.get(daemon)
        if member is None or not member.usable:
            return
        for start in range(0, len(loads), LOADS_PER_DATAGRAM):
            summary = pb.LoadSummary(engines=loads[start : start + LOADS_PER_DATAGRAM])
            self._gossip.send(member, pb.Envelope(load=summary))

    async def subscribe(self) -> None:
        """Renews the subscriptions with the owners of the watched engines."""
        own = self._board.members.own.id
        subscriptions: set[tuple[str, PoolId]] = set()
        for pool in self._pools():
            for engine in self.watched_engines(pool):
                owner = self._ownership.owner_of(self._board.engines.directory[engine])
                if owner is not None and owner != own:
                    subscriptions.add((owner, pool))
        ttl = int(SUBSCRIPTION_LIFETIME * 1000)
        for owner, pool in sorted(subscriptions):
            member = self._board.members.get(DaemonId(owner))
            if member is not None:
                body = pb.Subscribe(pool=pool, ttl_ms=ttl)
                self._gossip.send(member, pb.Envelope(subscribe=body))

    def _pools(self) -> list[PoolId]:
        return [pool.name for pool in self._board.configuration.intent.pools]

    def _choose_watched(self, pool: PoolId) -> list[EngineId]:
        own = self._board.members.own
        engines = self._board.pool_engines(pool)
        directory = self._board.engines.directory
        local = [engine for engine in engines if directory[engine].zone == own.zone]
        remote = [engine for engine in engines if directory[engine].zone != own.zone]
        local = self._engines_of_best_owners(local, self._settings.watched_per_pool)
        missing = self._settings.watched_per_pool - len(local)
        count = max(missing, self._settings.watched_remote)
        return local + self._best_remote(pool, remote, count)

    def _best_remote(self, pool: PoolId, engines: list[EngineId], count: int) -> list[EngineId]:
        """Returns the best-scoring engines of other zones, cached until the directory changes."""
        key = (self._board.configuration.epoch, self._board.engines.revision, count)
        if self._remote_cache.get(pool, (None, []))[0] != key:
            own = self._board.members.own.id
            best = nlargest(count, engines, key=lambda engine: score(own, engine))
            self._remote_cache[pool] = (key, best)
        return self._remote_cache[pool][1]

    def _engines_of_best_owners(self, engines: list[EngineId], count: int) -> list[EngineId]:
        """Returns all engines of the best-scoring owners, until there are at least ``count``."""
        by_owner: dict[str, list[EngineId]] = {}
        for engine in engines:
            owner = self._ownership.owner_of(self._board.engines.directory[engine])
            by_owner.setdefault(owner or "", []).append(engine)
        own = self._board.members.own.id
        chosen: list[EngineId] = []
        for owner in sorted(by_owner, key=lambda name: score(own, name), reverse=True):
            if len(chosen) >= count:
                break
            chosen += by_owner[owner]
        return chosen

    def _loads_of(self, pool: PoolId) -> list[pb.EngineLoad]:
        now = self._clock.now()
        loads = []
        for engine in self._board.owned:
            load = self._board.engines.loads.get(engine)
            if load is None or now - load.at > self._settings.report_lifetime:
                continue
            if self._board.engine_pool(engine) == pool:
                loads.append(_load_message(load, now))
        return loads

    def _on_subscribe(self, envelope: pb.Envelope) -> None:
        key = (DaemonId(envelope.sender.id), PoolId(envelope.subscribe.pool))
        self._subscribers[key] = self._clock.now() + envelope.subscribe.ttl_ms / 1000

    def _on_load(self, envelope: pb.Envelope) -> None:
        now = self._clock.now()
        for message in envelope.load.engines:
            self._board.engines.record_load(_load_from_message(message, now))


def _load_message(load: EngineLoad, now: float) -> pb.EngineLoad:
    return pb.EngineLoad(
        engine=load.engine,
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        version=load.version,
        leaving=load.leaving,
        age_ms=int((now - load.at) * 1000),
        token=load.token,
        swapping=load.swapping,
    )


def _load_from_message(message: pb.EngineLoad, now: float) -> EngineLoad:
    return EngineLoad(
        engine=EngineId(message.engine),
        running=message.running,
        waiting=message.waiting,
        slots=message.slots,
        version=message.version,
        leaving=message.leaving,
        token=message.token,
        swapping=message.swapping,
        at=now - message.age_ms / 1000,
    )
