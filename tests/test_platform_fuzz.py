"""Stateful fuzz of a fleet over the platform's contract, against an oracle.

Hypothesis generates the events: batches are submitted and ended; daemons are killed, suspended,
disconnected and added; clients send requests; requests and items crash servers; the store is down,
rejects calls, loses responses, applies writes late and loses its history; engines go down and break
streams; versions are announced; zones are evacuated. Invariants are checked after each step. At the
end everything but one zone's evacuation heals, and every accepted batch must complete, including
one submitted then.
"""

import asyncio
import os

import async_solipsism
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_callers import Caller
from tests.platform_checks import EVACUATE_SECONDS
from tests.platform_fleet import MODEL, ZONES, PlatformFleet, make_batch
from tests.platform_oracle import PlatformOracle
from tests.platform_places import EAST, EAST_ZONES, TWO_REGIONS

EXAMPLES = int(os.environ.get("LARKPOST_PLATFORM_FUZZ_EXAMPLES", "12"))
FRESH = "LARKPOST_FUZZ_FRESH" in os.environ
SHRINK = "LARKPOST_FUZZ_SHRINK" in os.environ
STEPS = 30
GATEWAYS = 3
ENGINES = 4
SCORERS = 2
COLD_TERMS = ColdTerms(overage=0.25, slack=4)
"""Limits low enough that most runs reach them: 6 requests per second."""
NEWS_SECONDS = 2.0
"""Time after which a daemon has learned that an engine is cold, or knows that its view is stale."""
MAX_STARTED = 3
CRASHING_TARGET = b"/s/crashing"
CLIENT_TARGETS = (b"/s/page-1", b"/s/page-2", CRASHING_TARGET)
MOST_CRASHING = 2
SCORER_TROUBLES = ("none", "down", "broken", "unsigned", "failing")
MAX_VERSION_GAP = 1
LAST_ITEMS = 28
"""More than the slots of one zone's engines, for when every daemon knows of the evacuation."""
LIVENESS_SECONDS = 90
"""Time after all faults within which every accepted batch completes."""


class PlatformMachine(RuleBasedStateMachine):
    """The generated events; the oracle records what was accepted and read."""

    @initialize(
        troubles=st.tuples(*[st.sampled_from(SCORER_TROUBLES)] * SCORERS), at_home=st.booleans()
    )
    def begin(self, troubles, at_home):
        """Starts a fleet whose scoring servers may be faulty from the beginning.

        Its daemons and engines may be in two regions, of which only one may serve.
        """
        self.loop = async_solipsism.EventLoop()
        self.dead: set[int] = set()
        self.version = 1
        self.count = 0
        self.started = 0
        self.run(self._begin(at_home))
        for number, trouble in enumerate(troubles):
            self.trouble_scorer(number, trouble)

    async def _begin(self, at_home):
        if at_home:
            self.fleet = PlatformFleet(
                GATEWAYS,
                ENGINES,
                scorers=SCORERS,
                zones=TWO_REGIONS,
                configuration=b"east",
                cold=COLD_TERMS,
            )
        else:
            self.fleet = PlatformFleet(GATEWAYS, ENGINES, scorers=SCORERS, cold=COLD_TERMS)
        self.fleet.engines.crashing.add(CRASHING_TARGET)
        self.caller = Caller(self.fleet)
        self.oracle = PlatformOracle(self.fleet)
        if at_home:
            self.oracle.homes = frozenset({EAST})
        await self.fleet.wait(1.0)

    def run(self, work):
        """Runs a coroutine on the virtual loop."""
        return self.loop.run_until_complete(work)

    def living(self, choice: int):
        """Returns a gateway that is neither dead nor suspended; None if there is none."""
        alive = [
            number
            for number, clock in enumerate(self.fleet.clocks)
            if number not in self.dead and clock.awake.is_set()
        ]
        return self.fleet.gateways[alive[choice % len(alive)]] if alive else None

    @rule(
        choice=st.integers(0, 9),
        items=st.integers(1, 14),
        behind=st.booleans(),
        scored=st.booleans(),
    )
    def submit(self, choice, items, behind, scored):
        """A trainer submits a batch."""
        gateway = self.living(choice)
        if gateway is None:
            return
        self.count += 1
        minimum = max(1, self.version - MAX_VERSION_GAP) if behind else 0
        spec = make_batch(f"batch-{self.count}", items, minimum, scored=scored)
        self.run(self.oracle.submit(gateway, spec))

    @rule(choice=st.integers(0, 9), which=st.integers(0, 9), back=st.integers(0, 3))
    def look(self, choice, which, back):
        """A caller reads a batch at any daemon, from the end or an earlier position."""
        gateway = self.living(choice)
        accepted = sorted(self.oracle.accepted)
        if gateway is None or not accepted:
            return
        batch = accepted[which % len(accepted)]
        position = max(0, len(self.oracle.read.get(batch, ())) - back)
        self.run(self.oracle.look(gateway, batch, position))

    @rule(choice=st.integers(0, 9), which=st.integers(0, 9))
    def end(self, choice, which):
        """A trainer ends a batch."""
        gateway = self.living(choice)
        open_batches = sorted(set(self.oracle.accepted) - self.oracle.ended)
        if gateway is None or len(open_batches) < 2:
            return
        self.run(self.oracle.end(gateway, open_batches[which % len(open_batches)]))

    @rule(choice=st.integers(0, 9), page=st.sampled_from(CLIENT_TARGETS))
    def ask(self, choice, page):
        """A client requests a page, or sends a request that crashes servers."""
        gateway = self.living(choice)
        if gateway is not None:
            number = self.fleet.gateways.index(gateway)
            self.run(self.caller.ask(number, page))

    @rule(choice=st.integers(0, 9))
    def suspend(self, choice):
        """A daemon's machine is suspended, or wakes."""
        clock = self.fleet.clocks[choice % len(self.fleet.clocks)]
        self.run(self._do(clock.suspend if clock.awake.is_set() else clock.wake))

    @rule(number=st.integers(0, 3))
    def crash_engines(self, number):
        """From now on, items with this number crash each engine that runs them."""
        if len(self.fleet.engines.crashing) < MOST_CRASHING:
            self.fleet.engines.crashing.add(f"/r/{number}".encode())

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.5]))
    def advance(self, seconds):
        """Time passes."""
        self.run(self.fleet.wait(seconds))

    @rule(choice=st.integers(0, 9))
    def kill(self, choice):
        """A daemon dies without notice."""
        alive = [n for n in range(len(self.fleet.gateways)) if n not in self.dead]
        if alive:
            number = alive[choice % len(alive)]
            self.dead.add(number)
            self.run(self._do(self.fleet.kill, number))

    @rule()
    def add(self):
        """A daemon starts."""
        if len(self.fleet.gateways) - len(self.dead) < GATEWAYS:
            self.run(self._do(self.fleet.add_gateway, f"daemon-{len(self.fleet.gateways)}"))

    @rule(choice=st.integers(0, 9))
    def cut(self, choice):
        """A daemon loses the store, or reaches it again."""
        client = self.fleet.clients[choice % len(self.fleet.clients)]
        client.cut_off = not client.cut_off

    @rule(
        fault=st.sampled_from(
            [
                StoreFaults(),
                StoreFaults(down=True),
                StoreFaults(refuses=True),
                StoreFaults(lost_answers=0.4),
                StoreFaults(late_writes=0.4),
                StoreFaults(slow_seconds=0.25),
                StoreFaults(parts_down=frozenset({"b0", "b1", "b2", "b3"})),
            ]
        )
    )
    def trouble_store(self, fault):
        """The store becomes faulty, or heals."""
        self.fleet.store.faults = fault

    @rule()
    def forget_history(self):
        """The store loses its change history."""
        self.fleet.store.forget_history()

    @rule(number=st.integers(0, ENGINES - 1), down=st.booleans())
    def trouble_engine(self, number, down):
        """An engine goes down or recovers."""
        engine = InstanceId(f"engine-{number}")
        if engine not in self.fleet.crashed_at:  # a crashed engine is followed by another one
            self.fleet.engines.engines[engine].down = down

    @rule(seconds=st.sampled_from([1.0, 3.0, 10.0]))
    def start_engine(self, seconds):
        """An engine starts, and is cold."""
        if self.started < MAX_STARTED:
            self.started += 1
            name = InstanceId(f"started-{self.started}")
            self.run(self._do(self.fleet.start_cold_engine, name, seconds))

    @rule(number=st.integers(0, ENGINES - 1), seconds=st.sampled_from([3.0, 10.0]))
    def turn_cold(self, number, seconds):
        """An engine turns cold again."""
        engine = InstanceId(f"engine-{number}")
        self.run(self._do(self.fleet.turn_cold, engine, seconds, NEWS_SECONDS))

    @rule(number=st.integers(0, ENGINES - 1), after=st.sampled_from([None, 0, 2]))
    def break_streams(self, number, after):
        """An engine starts or stops breaking its streams."""
        self.fleet.engines.engines[InstanceId(f"engine-{number}")].break_after = after

    @rule(number=st.integers(0, SCORERS - 1), trouble=st.sampled_from(SCORER_TROUBLES))
    def trouble_scorer(self, number, trouble):
        """A server that scores outputs becomes faulty, or heals."""
        scorer = InstanceId(f"scorer-{number}")
        state = self.fleet.engines.engines[scorer]
        state.down = trouble == "down" or scorer in self.fleet.crashed_at
        state.break_after = 0 if trouble == "broken" else None
        state.unsigned = trouble == "unsigned"
        state.status = 500 if trouble == "failing" else None

    @rule()
    def name_version(self):
        """A trainer announces the next version."""
        self.version += 1
        self.run(self._do(self.fleet.put, "operator", MODEL, str(self.version).encode()))

    @rule(zone=st.sampled_from(ZONES), on=st.booleans())
    def evacuate(self, zone, on):
        """The operator evacuates a zone, or ends the evacuation."""
        change = self.fleet.evacuate if on else self.fleet.end_evacuation
        self.run(self._do(change, zone))

    async def _do(self, action, *arguments):
        action(*arguments)

    @invariant()
    def promises_hold(self):
        """Checks the invariants; see the oracle."""
        if hasattr(self, "oracle"):
            self.oracle.check()

    def teardown(self):
        """Heals everything; then every accepted batch must complete."""
        if not hasattr(self, "oracle"):
            return
        try:
            self.run(self._heal())
            self.oracle.check()
        finally:
            pending = asyncio.all_tasks(self.loop)
            for task in pending:
                task.cancel()
            self.loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
            self.loop.close()

    async def _heal(self):
        fleet = self.fleet
        fleet.store.faults = StoreFaults()
        for client, clock in zip(fleet.clients, fleet.clocks, strict=True):
            client.cut_off = False
            clock.wake()
        for engine, state in fleet.engines.engines.items():
            state.down = engine in fleet.crashed_at
            state.break_after = None
            state.unsigned = False
            state.status = None
        if len(fleet.evacuated_zones()) == len(ZONES):
            fleet.end_evacuation(
                ZONES[0]
            )  # the other zone stays evacuated: batches complete without it
        while len(fleet.gateways) - len(self.dead) < GATEWAYS:
            fleet.add_gateway(f"daemon-{len(fleet.gateways)}")
        if self.oracle.homes is not None:
            fleet.add_gateway(
                f"daemon-{len(fleet.gateways)}", EAST_ZONES[0]
            )  # at least one must be alive there
        await self._finish()
        await fleet.wait(EVACUATE_SECONDS)
        last = make_batch("last", LAST_ITEMS, scored=True)
        assert await self.oracle.submit(self.living(0), last), "a sound fleet refuses a batch"
        await self._finish()

    async def _finish(self):
        for _ in range(LIVENESS_SECONDS):
            await self.fleet.wait(1.0)
            if not self.oracle.missing():
                return
        raise AssertionError(f"accepted batches are not whole: {self.oracle.missing()}")


PlatformMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=not FRESH,
    database=None,
    # Shrinking a failure takes minutes, so it is optional.
    phases=(Phase.generate, Phase.shrink) if SHRINK else (Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


PlatformFuzzTest = PlatformMachine.TestCase
