"""A simulated fleet of `larkpost serve` for synchronous tests, on a virtual-time event loop."""

import asyncio
import random
from collections.abc import Callable, Coroutine

import async_solipsism

from larkpost.common.ids import EngineId, PolicyId, PoolId, TrainerId, ZoneId
from larkpost.rehearsal.simulation.callers import SimulatedClients, SimulatedTrainer
from larkpost.rehearsal.simulation.oracle import Oracle
from larkpost.rehearsal.simulation.world import WorldShape
from larkpost.rehearsal.sites import Machine
from larkpost.rehearsal.workload import TrainerShape
from larkpost.standalone.config.intent import Intent, PoolIntent, ServiceIntent, TrainerIntent
from tests.disturbed_world import DisturbedWorld

ZONES = (ZoneId("zone-a"), ZoneId("zone-b"), ZoneId("zone-c"))
ROLLOUT_POOLS = (PoolId("language"), PoolId("drafts"))
CLIENT_POOL = PoolId("feed")
SERVICES = ("quotes", "assistant")
REQUESTS_PER_SECOND = 2.0
LIVENESS_SECONDS = 150.0
"""Virtual seconds after the last fault within which all work ends and state is consistent."""


def _machine(pool: PoolId, number: int) -> Machine:
    return Machine(EngineId(f"{pool}-{number}"), ZONES[number % len(ZONES)], pool)


MACHINES = (
    *(_machine(ROLLOUT_POOLS[0], i) for i in range(3)),
    *(_machine(ROLLOUT_POOLS[1], i) for i in range(2)),
    *(_machine(CLIENT_POOL, i) for i in range(3)),
)


def _trainer(number: int, staleness_bound: int, ahead: int) -> TrainerShape:
    return TrainerShape(
        TrainerId(f"trainer-{number}"),
        ROLLOUT_POOLS[number],
        PolicyId(f"policy-{number}"),
        prompts=3,
        samples_per_prompt=2,
        max_tokens=48,
        staleness_bound=staleness_bound,
        train_seconds=1.0,
        ahead=ahead,
    )


# The first trainer accepts only its own version; the second one opens its batches so early that
# their first samples are too stale when it pulls them.
TRAINERS = (_trainer(0, staleness_bound=0, ahead=0), _trainer(1, staleness_bound=1, ahead=2))
INTENT = Intent(
    pools=(
        *(PoolIntent(name=shape.pool, policy=shape.policy, client_reserve=2) for shape in TRAINERS),
        PoolIntent(name=CLIENT_POOL),
    ),
    services=(
        ServiceIntent(name="quotes", pool=CLIENT_POOL),
        ServiceIntent(name="assistant", pool=ROLLOUT_POOLS[0], priority=8),
    ),
    trainers=tuple(
        TrainerIntent(name=shape.name, pools=(shape.pool,), staleness_bound=2) for shape in TRAINERS
    ),
)
# Shorter than the defaults, so that a freeze can outlast them within an example.
CONFIGURATION = {"validity_time": 4.0, "lost_grace": 9.0}
WORLD_SHAPE = WorldShape(
    ZONES, (2, 2, 1), MACHINES, INTENT, settings={"configuration": CONFIGURATION}
)


class SimulatedFleet:
    """A started world with clients and optional trainers."""

    def __init__(self, seed: int, shape: WorldShape = WORLD_SHAPE, trainers: bool = False) -> None:
        self.loop = async_solipsism.EventLoop()
        self.loop.set_exception_handler(lambda _loop, _context: None)
        asyncio.set_event_loop(self.loop)
        rng = random.Random(seed)
        self.world = DisturbedWorld(shape, rng)
        self.oracle = Oracle(self.world)
        self.operators = self.world.make_operators()
        self.run(self.world.start())
        self.clients = {name: SimulatedClients(self.world, name) for name in SERVICES}
        self.settling = False
        self.trainers: list[SimulatedTrainer] = []
        self.tasks: list[asyncio.Task] = []
        if trainers:
            self.start_trainers(rng)
            self.start_traffic(rng)

    def start_trainers(self, rng: random.Random) -> None:
        """Starts both trainers."""
        for shape, zone in zip(TRAINERS, ZONES, strict=False):
            trainer = SimulatedTrainer(self.world, shape, zone, random.Random(rng.random()))
            self.trainers.append(trainer)
            self.spawn(trainer.run())

    def start_traffic(self, rng: random.Random) -> None:
        """Starts a steady stream of requests, so that faults hit requests in flight."""
        for service in SERVICES:
            self.spawn(self._ask_steadily(service, random.Random(rng.random())))

    async def _ask_steadily(self, service: str, rng: random.Random) -> None:
        names = list(self.world.daemon_zones)
        pending = []
        while not self.settling:
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
            run_once = rng.random() < 0.6
            ask = self.clients[service].ask(rng.choice(names), rng.choice(ZONES), run_once)
            pending.append(self.loop.create_task(ask))
        await asyncio.gather(*pending)

    def run(self, work: Coroutine):
        """Runs a coroutine to completion and returns its result."""
        return self.loop.run_until_complete(work)

    def act(self, operation: Callable, *arguments):
        """Calls a function while the loop is running and returns its result."""

        async def call():
            return operation(*arguments)

        return self.run(call())

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a background task, which runs while virtual time advances."""
        task = self.loop.create_task(work)
        self.tasks.append(task)
        return task

    def advance(self, seconds: float) -> None:
        """Advances virtual time."""
        self.run(asyncio.sleep(seconds))

    def settle(self) -> list[str]:
        """Ends all faults, waits for all work, and returns the violations found."""
        self.settling = True
        self.act(self.world.heal)
        self.act(self.world.restart_all)
        for node in self.world.daemons.values():
            node.host.frozen_until = 0.0
        for node in self.world.engines.values():
            node.model.faults = type(node.model.faults)()
        for trainer in self.trainers:
            trainer.stop()
        wrong = self._wait_for_tasks()
        self.advance(10.0)
        self.act(self.world.restart_all)
        self.advance(30.0)
        checks = (self.oracle.check, self._check_in_force, self._check_owners)
        return wrong + [text for check in checks for text in self.act(check)]

    def close(self) -> None:
        """Cancels all tasks and closes the loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.advance(0.0)
        self.loop.close()
        asyncio.set_event_loop(None)

    def _check_in_force(self) -> list[str]:
        """Point 9, after the faults: every daemon has the newest epoch."""
        newest = max((c.epoch for c in self.world.records.confirmed), default=0)
        return [
            f"{name} is at epoch {node.daemon.board.configuration.epoch}, not {newest}"
            for name, node in self.world.daemons.items()
            if node.daemon.board.configuration.epoch < newest
        ]

    def _check_owners(self) -> list[str]:
        """Liveness: every running engine has exactly one owner, which holds its fencing token."""
        wrong = []
        for engine, node in self.world.engines.items():
            owners = [
                name
                for name, daemon in self.world.daemons.items()
                if daemon.daemon.board.owned.get(engine) == node.model.token
            ]
            if len(owners) != 1 or owners[0] != node.model.owner:
                wrong.append(f"{engine} has owners {owners}; it names {node.model.owner}")
        return wrong

    def _wait_for_tasks(self) -> list[str]:
        if not self.tasks:
            return []
        waiting = asyncio.wait(self.tasks, timeout=LIVENESS_SECONDS)
        done, late = self.run(waiting)
        for task in done:
            if not task.cancelled():
                task.result()
        return [f"liveness: {task.get_coro().__qualname__} did not end" for task in late]
