"""Runs a scenario once, with one policy and one seed, on virtual time with the real daemon code."""

import asyncio
import random
from dataclasses import dataclass, replace

import async_solipsism
from hdrh.histogram import HdrHistogram

from larkpost.rehearsal.engine_types import EngineShape
from larkpost.rehearsal.experiment.policies import Policy
from larkpost.rehearsal.experiment.scenario import Fault, FaultKind, Scenario
from larkpost.rehearsal.simulation.callers import SimulatedClients, SimulatedTrainer
from larkpost.rehearsal.simulation.oracle import Oracle
from larkpost.rehearsal.simulation.records import CallOutcome, ClientCall
from larkpost.rehearsal.simulation.world import World, WorldShape
from larkpost.rehearsal.sites import Site
from larkpost.rehearsal.tokens import answer_length, answer_seed
from larkpost.rehearsal.workload import TrainerShape
from larkpost.standalone.batches.ledger import BatchSpec
from larkpost.standalone.config.intent import Intent

ENGINE = EngineShape(tokens_per_step=4, step_base=0.008, step_per_sequence=0.0004)
MAX_ATTEMPTS = 5
MICROSECONDS = 1_000_000
FINISH_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """The metrics of one run. Latencies in milliseconds, shares as fractions."""

    policy: str
    seed: int
    steps: int
    idle_fraction: float
    idle_over_bound: float
    step_wait_median: float
    staleness_mean: float
    staleness_max: int
    stale_dropped: int
    tokens_wasted: int
    tokens_delivered: int
    client_requests: int
    client_unanswered: int
    client_p50_ms: float
    client_p99_ms: float
    amplification: float
    broken_promises: int


def run_once(scenario: Scenario, policy: Policy, seed: int) -> RunResult:
    """Runs a scenario with one policy and one seed."""
    loop = async_solipsism.EventLoop()
    loop.set_exception_handler(lambda _loop, _context: None)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_Run(scenario, policy, seed).run())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class _Run:
    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self._scenario = scenario
        self._policy = policy
        self._seed = seed
        self._rng = random.Random(seed)
        self._site = scenario.find_site()
        shape = WorldShape(
            self._site.zones,
            (scenario.daemons_per_zone,) * len(self._site.zones),
            self._site.machines,
            _intent_for_policy(self._site, scenario, policy),
            ENGINE,
            {"batches": policy.batches},
        )
        self._world = World(shape, random.Random(seed))
        self._latency = HdrHistogram(1, 600 * MICROSECONDS, 3)
        self._unanswered = 0
        self._requests = 0

    async def run(self) -> RunResult:
        """Applies load and faults, waits for open batches, and returns the metrics."""
        await self._world.start()
        trainer = self._make_trainer()
        work = [self._run_clients(service) for service in self._site.services]
        work.append(self._inject_faults())
        training = asyncio.ensure_future(trainer.run()) if trainer is not None else None
        await asyncio.gather(*work)
        if training is not None:
            trainer.stop()
            await asyncio.wait_for(training, FINISH_SECONDS)
        return self._measure(trainer)

    def _make_trainer(self) -> SimulatedTrainer | None:
        load = self._scenario.trainer
        if load is None:
            return None
        shape = TrainerShape(
            self._site.trainer,
            self._site.trainer_pool,
            self._site.policy,
            prompts=load.prompts,
            samples_per_prompt=load.samples_per_prompt,
            max_tokens=load.max_tokens,
            staleness_bound=load.staleness_bound,
            train_seconds=load.train_seconds,
            ahead=load.ahead,
        )
        # Prompts and length hints depend only on the seed, so every policy gets the same work.
        return SimulatedTrainer(self._world, shape, self._site.zones[0], random.Random(self._seed))

    async def _run_clients(self, service: str) -> None:
        load = self._scenario.clients
        if load.peak_rate == 0:
            await asyncio.sleep(self._scenario.seconds)
            return
        clients = SimulatedClients(self._world, service, load.max_tokens)
        rng = random.Random(f"{self._seed}/{service}")
        started = self._world.now
        pending = []
        while (elapsed := self._world.now - started) < self._scenario.seconds:
            position = elapsed / self._scenario.seconds
            rate = load.peak_rate * _interpolate(load.curve, position)
            await asyncio.sleep(rng.expovariate(max(rate, 0.01)))
            pending.append(asyncio.ensure_future(self._request(clients, rng)))
        await asyncio.gather(*pending)

    async def _request(self, clients: SimulatedClients, rng: random.Random) -> None:
        """Sends a request with retries, each attempt to a random daemon."""
        self._requests += 1
        started = self._world.now
        for attempt in range(MAX_ATTEMPTS):
            daemons = list(self._world.daemons)
            if daemons:
                call = await clients.ask(rng.choice(daemons), rng.choice(self._site.zones))
                if self._record_latency(call, started):
                    return
            await asyncio.sleep(rng.uniform(0.2, 0.4) * (attempt + 1))
        self._unanswered += 1

    def _record_latency(self, call: ClientCall, started: float) -> bool:
        if call.outcome != CallOutcome.ANSWER:
            return False
        elapsed = self._world.now - started
        self._latency.record_value(max(1, round(elapsed * MICROSECONDS)))
        return True

    async def _inject_faults(self) -> None:
        started = self._world.now
        for fault in sorted(self._scenario.faults, key=lambda f: f.at):
            await asyncio.sleep(max(0.0, fault.at - (self._world.now - started)))
            self._apply(fault)

    def _apply(self, fault: Fault) -> None:
        world = self._world
        match fault.kind:
            case FaultKind.KILL_ENGINE:
                world.kill_engine(fault.target)
            case FaultKind.SLOW_ENGINE:
                world.engines[fault.target].model.faults.slow_factor = fault.factor
            case FaultKind.START_ENGINE:
                world.restart_engine(fault.target)
            case FaultKind.KILL_DAEMON:
                world.kill_daemon(fault.target)
            case FaultKind.START_DAEMON:
                world.start_daemon(fault.target)
            case FaultKind.LOSE_ZONE:
                world.lose_zone(fault.target)
            case FaultKind.CUT_ZONES:
                world.cut_zones(fault.target, fault.other)
            case FaultKind.PLATFORM_DOWN:
                world.set_platform_down(True)
            case FaultKind.HEAL:
                world.heal()
                world.restart_all()

    def _measure(self, trainer: SimulatedTrainer | None) -> RunResult:
        records = self._world.records
        ages = [d.trainer_version - d.sample.oldest_version for d in records.deliveries]
        idle = sum(records.idle_seconds.values())
        trained = sum(records.train_seconds.values())
        waits = sorted(trainer.step_waits) if trainer is not None else [0.0]
        dispatches = self._count("dispatches", "client")
        return RunResult(
            policy=self._policy.name,
            seed=self._seed,
            steps=trainer.steps if trainer is not None else 0,
            idle_fraction=idle / max(idle + trained, 1e-9),
            idle_over_bound=idle / max(self._idle_bound(), 1e-9),
            step_wait_median=waits[len(waits) // 2],
            staleness_mean=sum(ages) / max(len(ages), 1),
            staleness_max=max(ages, default=0),
            stale_dropped=round(self._count("samples_stale")),
            tokens_wasted=round(self._count("tokens_wasted")),
            tokens_delivered=sum(len(d.sample.tokens) for d in records.deliveries),
            client_requests=self._requests,
            client_unanswered=self._unanswered,
            client_p50_ms=self._latency.get_value_at_percentile(50) / 1000,
            client_p99_ms=self._latency.get_value_at_percentile(99) / 1000,
            amplification=dispatches / max(self._count("client_requests"), 1),
            broken_promises=len(Oracle(self._world).check()),
        )

    def _count(self, counter: str, kind: str = "") -> float:
        nodes = [*self._world.daemons.values(), *self._world.stopped_daemons]
        return sum(node.daemon.telemetry.value(counter, kind) for node in nodes)

    def _idle_bound(self) -> float:
        """Returns a lower bound of the idle time in seconds, from the sample lengths."""
        load = self._scenario.trainer
        if load is None:
            return 0.0
        engines = sum(m.pool == self._site.trainer_pool for m in self._site.machines)
        whole = self._world.records.completed_batches
        specs = [s for s in self._world.records.batches_opened if s.id in whole]
        overlap = load.train_seconds if load.ahead > 0 else 0.0
        return sum(max(_batch_bound(spec, engines) - overlap, 0.0) for spec in specs)


def _batch_bound(spec: BatchSpec, engines: int) -> float:
    """Returns a lower bound of a batch's time in seconds.

    It is the larger of total work over capacity, and the longest sample running alone.
    """
    lengths = []
    for slot in range(spec.slot_count):
        prompt = spec.prompts[spec.prompt_index(slot)]
        seed = answer_seed(f"{spec.id}/{slot}", prompt)
        lengths.append(answer_length(seed, spec.max_tokens))
    full_step = ENGINE.step_base + ENGINE.step_per_sequence * ENGINE.slots
    capacity = engines * ENGINE.slots / full_step
    alone = ENGINE.step_base + ENGINE.step_per_sequence
    return max(sum(lengths) / capacity, max(lengths) * alone)


def _intent_for_policy(site: Site, scenario: Scenario, policy: Policy) -> Intent:
    intent = site.intent
    if policy.client_reserve is not None:
        pools = [
            pool.model_copy(update={"client_reserve": policy.client_reserve})
            for pool in intent.pools
        ]
        intent = intent.model_copy(update={"pools": tuple(pools)})
    load = scenario.trainer
    if load is not None and load.staleness_weight is not None:
        trainers = [
            trainer.model_copy(update={"staleness_weight": load.staleness_weight})
            for trainer in intent.trainers
        ]
        intent = intent.model_copy(update={"trainers": tuple(trainers)})
    return intent


def _interpolate(curve: tuple[float, ...], position: float) -> float:
    """Interpolates the curve linearly at a position between 0 and 1."""
    if len(curve) == 1:
        return curve[0]
    scaled = min(max(position, 0.0), 1.0) * (len(curve) - 1)
    index = min(int(scaled), len(curve) - 2)
    share = scaled - index
    return curve[index] * (1 - share) + curve[index + 1] * share


def with_staleness_weight(scenario: Scenario, weight: float) -> Scenario:
    """Returns the scenario with another weight between idle time and staleness."""
    trainer = scenario.trainer.model_copy(update={"staleness_weight": weight})
    return scenario.model_copy(update={"trainer": trainer})


def without_trainer(scenario: Scenario) -> Scenario:
    """Returns the scenario without its trainer."""
    return scenario.model_copy(update={"trainer": None})


def with_policy_name(result: RunResult, policy: str) -> RunResult:
    """Returns the result with another policy name."""
    return replace(result, policy=policy)
