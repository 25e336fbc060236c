"""Stateful fuzzing of a simulated fleet with the real daemon code, checked by the oracle.

Hypothesis chooses all faults and schedules. ``make fuzz`` uses fresh seeds and more examples.
"""

import os

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from larkpost.rehearsal.simulation.records import LeavingSource
from larkpost.standalone.config.intent import Intent
from tests.simulated_fleet import INTENT, MACHINES, SERVICES, ZONES, SimulatedFleet

EXAMPLES = int(os.environ.get("LARKPOST_FUZZ_EXAMPLES", "40"))
STEPS = int(os.environ.get("LARKPOST_FUZZ_STEPS", "40"))
FRESH = os.environ.get("LARKPOST_FUZZ_FRESH") == "1"
SHRINK = os.environ.get("LARKPOST_FUZZ_SHRINK") == "1"
"""Off by default: shrinking takes minutes, so failing examples are reported unshrunk."""
STEP_SECONDS = 0.4
MAX_LEAVING = 3

daemon_numbers = st.integers(0, 4)
engine_numbers = st.integers(0, len(MACHINES) - 1)
zone_numbers = st.integers(0, len(ZONES) - 1)
short_times = st.floats(0.01, 2.0)
long_times = st.floats(0.5, 15.0)
freeze_times = st.floats(0.5, 30.0)


class FleetMachine(RuleBasedStateMachine):
    """Operations and faults; the oracle checks the records after each example."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet: SimulatedFleet | None = None
        self.plans = []
        self.keys: list[str] = []
        self.asking = []
        self.leaving: set[str] = set()

    @initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed):
        self.fleet = SimulatedFleet(seed, trainers=True)
        self.world = self.fleet.world

    def teardown(self):
        if self.fleet is None:
            return
        try:
            wrong = self.fleet.settle()
            assert not wrong, "\n".join(wrong[:8])
        finally:
            self.fleet.close()

    @invariant()
    def configuration_never_reverts(self):
        """Advances time after each operation, whichever rules hypothesis chooses."""
        if self.fleet is not None:
            self.fleet.advance(STEP_SECONDS)
            wrong = self.fleet.act(self.fleet.oracle.check_configuration)
            assert not wrong, wrong

    # Load

    @rule(seconds=short_times)
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @rule(seconds=long_times)
    def wait_long(self, seconds):
        self.fleet.advance(seconds)

    @rule(
        daemon=daemon_numbers,
        zone=zone_numbers,
        service=st.sampled_from(SERVICES),
        run_once=st.booleans(),
        count=st.integers(1, 4),
    )
    def ask(self, daemon, zone, service, run_once, count):
        for _ in range(count):
            work = self.fleet.clients[service].ask(
                self._daemon_name(daemon), ZONES[zone], run_once=run_once
            )
            self.asking.append(self.fleet.spawn(work))

    @rule(daemon=daemon_numbers, zone=zone_numbers, ticket=st.booleans())
    def ask_with_new_key(self, daemon, zone, ticket):
        name = self._daemon_name(daemon)
        node = self.world.daemons.get(name)
        if node is None:
            return
        key = f"key-{len(self.keys)}"
        if ticket:
            key = node.daemon.run_once.issue().encode()
        self.keys.append(key)
        self._ask_with_key(name, zone, key)

    @precondition(lambda self: self.keys)
    @rule(daemon=daemon_numbers, zone=zone_numbers, which=st.integers(0, 3))
    def ask_again_elsewhere(self, daemon, zone, which):
        key = self.keys[-1 - which % len(self.keys)]
        self._ask_with_key(self._daemon_name(daemon), zone, key)

    @rule(which=st.integers(0, 10))
    def caller_leaves(self, which):
        asking = [task for task in self.asking if not task.done()]
        if asking:
            asking[which % len(asking)].cancel()

    @rule(trainer=st.integers(0, 1))
    def pull_twice(self, trainer):
        self.fleet.trainers[trainer].endpoint.duplicate_next_pull = True

    # Daemons

    @rule(daemon=daemon_numbers)
    def kill_daemon(self, daemon):
        name = self._daemon_name(daemon)
        if name in self.world.daemons:
            self.fleet.act(self.world.kill_daemon, name)

    @rule(daemon=daemon_numbers)
    def start_daemon(self, daemon):
        name = self._daemon_name(daemon)
        if name not in self.world.daemons:
            self.fleet.act(self.world.start_daemon, name)

    @rule(daemon=daemon_numbers, seconds=freeze_times)
    def freeze_daemon(self, daemon, seconds):
        name = self._daemon_name(daemon)
        if name in self.world.daemons:
            self.fleet.act(self.world.freeze_daemon, name, seconds)

    @rule(daemon=daemon_numbers)
    def stop_daemon(self, daemon):
        name = self._daemon_name(daemon)
        if name in self.world.daemons:
            self.fleet.spawn(self.world.stop_daemon(name))

    # Engines

    @rule(engine=engine_numbers)
    def kill_engine(self, engine):
        name = MACHINES[engine].engine
        if name in self.world.engines:
            self.fleet.act(self.world.kill_engine, name)

    @rule(engine=engine_numbers)
    def start_engine(self, engine):
        name = MACHINES[engine].engine
        if name not in self.world.engines and name not in self.leaving:
            self.fleet.act(self.world.restart_engine, name)

    @rule(engine=engine_numbers, seconds=long_times)
    def freeze_engine(self, engine, seconds):
        name = MACHINES[engine].engine
        if name in self.world.engines:
            self.fleet.act(self.world.freeze_engine, name, seconds)

    @rule(
        engine=engine_numbers,
        fault=st.sampled_from(["crossed_chunks", "doubled_chunks", "cut_streams", "failing_swaps"]),
        count=st.integers(1, 4),
    )
    def disturb_engine(self, engine, fault, count):
        node = self.world.engines.get(MACHINES[engine].engine)
        if node is not None:
            setattr(node.model.faults, fault, count)

    @rule(engine=engine_numbers, late=st.floats(0.0, 8.0), slow=st.floats(1.0, 10.0))
    def slow_engine(self, engine, late, slow):
        node = self.world.engines.get(MACHINES[engine].engine)
        if node is not None:
            node.model.faults.late_seconds = late
            node.model.faults.slow_factor = slow

    @rule(
        engine=engine_numbers,
        how=st.sampled_from(["list", "operator", "stop"]),
        daemon=daemon_numbers,
    )
    def engine_leaves(self, engine, how, daemon):
        name = MACHINES[engine].engine
        if name not in self.world.engines or not self._may_leave(engine):
            return
        if how == "list":
            self.fleet.act(self.world.mark_leaving, name, LeavingSource.LIST)
        elif how == "stop":
            self.fleet.spawn(self.world.stop_engine(name))
        elif self._daemon_name(daemon) in self.world.daemons:
            self.fleet.spawn(self.fleet.operators.drain_engine(self._daemon_name(daemon), name))

    # Network and platform

    @rule(first=zone_numbers, second=zone_numbers, one_way=st.booleans())
    def cut_zones(self, first, second, one_way):
        if first != second:
            self.fleet.act(self.world.cut_zones, ZONES[first], ZONES[second], one_way)

    @rule(zone=zone_numbers)
    def cut_zone_from_platform(self, zone):
        self.fleet.act(self.world.cut_zones, ZONES[zone], self.world.platform_host.zone)

    @rule(daemon=daemon_numbers, engine=engine_numbers, towards=st.booleans())
    def cut_link(self, daemon, engine, towards):
        node = self.world.daemons.get(self._daemon_name(daemon))
        other = self.world.engines.get(MACHINES[engine].engine)
        if node is not None and other is not None:
            pair = (node.host, other.host) if towards else (other.host, node.host)
            self.fleet.act(self.world.cut_link, *pair)

    @rule(loss=st.floats(0, 0.5), repeat=st.floats(0, 0.5), late=st.floats(0, 0.2))
    def disturb_network(self, loss, repeat, late):
        conditions = self.world.network.conditions
        conditions.datagram_loss = loss
        conditions.datagram_repeat = repeat
        conditions.late_share = late

    @rule()
    def heal(self):
        self.fleet.act(self.world.heal)

    @rule(down=st.booleans())
    def platform_down(self, down):
        self.fleet.act(self.world.set_platform_down, down)

    @rule(seconds=st.sampled_from([0.0, 0.5, 1.5, 4.0]))
    def platform_slow(self, seconds):
        self.fleet.act(self.world.set_platform_slow, seconds)

    @rule(count=st.integers(1, 3))
    def lose_platform_answers(self, count):
        self.world.platform.faults.lost_answers = count

    # Operators

    @rule(daemon=daemon_numbers, reserve=st.integers(0, 3))
    def make_plan(self, daemon, reserve):
        name = self._daemon_name(daemon)
        if self.world.is_ready(name):
            self.plans.append(self.fleet.operators.plan(name, _intent_with_reserve(reserve)))

    @precondition(lambda self: self.plans)
    @rule(daemon=daemon_numbers, which=st.integers(0, 2))
    def confirm(self, daemon, which):
        plan = self.plans[-1 - which % len(self.plans)]
        name = self._daemon_name(daemon)
        if self.world.is_ready(name):
            self.fleet.spawn(self.fleet.operators.confirm(name, plan))

    @rule(first=daemon_numbers, second=daemon_numbers)
    def race_two_plans(self, first, second):
        for number, daemon in enumerate((first, second)):
            name = self._daemon_name(daemon)
            if self.world.is_ready(name):
                plan = self.fleet.operators.plan(name, _intent_with_reserve(number + 1))
                self.plans.append(plan)
                self.fleet.spawn(self.fleet.operators.confirm(name, plan))

    def _daemon_name(self, number):
        return list(self.world.daemon_zones)[number]

    def _ask_with_key(self, daemon, zone, key):
        work = self.fleet.clients["assistant"].ask(daemon, ZONES[zone], run_once=True, key=key)
        self.asking.append(self.fleet.spawn(work))

    def _may_leave(self, engine):
        """Lets at most three engines leave, and keeps two of each pool."""
        machine = MACHINES[engine]
        left = [m for m in MACHINES if m.engine in self.leaving]
        pool = [m for m in MACHINES if m.pool == machine.pool]
        remaining = [m for m in pool if m.engine not in self.leaving]
        if machine.engine in self.leaving or len(left) >= MAX_LEAVING or len(remaining) <= 2:
            return False
        self.leaving.add(machine.engine)
        return True


def _intent_with_reserve(reserve: int) -> Intent:
    first, *rest = INTENT.pools
    changed = first.model_copy(update={"client_reserve": reserve})
    return INTENT.model_copy(update={"pools": (changed, *rest)})


FleetTest = FleetMachine.TestCase
FleetTest.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=not FRESH,
    database=None,
    print_blob=True,
    phases=(Phase.explicit, Phase.generate, Phase.shrink) if SHRINK else (Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
