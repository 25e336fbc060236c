"""Weight versions: assignment of engines, load groups, orders under leases with fencing tokens."""

import unittest

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.weight_targets import ModelDemand, WeightTarget, WeightTargets
from larkpost.gateway.controllers.due_loads import (
    BUSY_LOAD_DELAY_SECONDS,
    GROUP_TURN_SECONDS,
    IDLE_LOAD_DELAY_SECONDS,
    LoadInputs,
    ModelLoadState,
    due_loads,
    engines_to_load,
)
from larkpost.gateway.controllers.model_assignment import assign_models
from larkpost.gateway.controllers.weight_loader import seconds_until_next_check
from larkpost.gateway.servers.port import OrderOutcome
from tests.platform_fleet import MODEL, PlatformFleet, check_results, make_batch
from tests.server_parts import FIRST, SECOND, TWO_MODELS, make_directory
from tests.virtual import run


class AssignmentTest(unittest.TestCase):
    """How engines are assigned to models and when they load."""

    def test_every_engine_has_a_model_and_every_model_enough_engines(self):
        for count in range(1, 9):
            directory = make_directory(count, TWO_MODELS.name, slots=8)
            engines = directory.of_service(TWO_MODELS.name)
            chosen = assign_models(TWO_MODELS, engines, directory, {})
            self.assertEqual(
                {info.id for info in engines}, set(chosen[FIRST]) | set(chosen[SECOND])
            )
            for engine_ids in chosen.values():
                self.assertGreaterEqual(len(engine_ids), min(2, count))
            if count >= 4:
                self.assertFalse(set(chosen[FIRST]) & set(chosen[SECOND]))

    def test_assignment_is_stable_when_versions_rise(self):
        directory = make_directory(5, TWO_MODELS.name, slots=8)
        engines = directory.of_service(TWO_MODELS.name)
        before = assign_models(TWO_MODELS, engines, directory, {})
        for model, engine_ids in before.items():
            for engine in engine_ids:
                directory.observe_version(engine, model, 7)
        self.assertEqual(before, assign_models(TWO_MODELS, engines, directory, {}))

    def due(self, directory, targets, now, open_batch=False):
        """Returns the engines that should load now."""
        demands = {FIRST: ModelDemand(100, open_batch)}
        return [
            name for name, _ in due_loads(TWO_MODELS, LoadInputs(directory, targets, demands), now)
        ]

    def test_second_group_waits_for_the_first_but_not_for_ever(self):
        directory = make_directory(4, TWO_MODELS.name, slots=8)
        targets = WeightTargets()
        targets.update(WeightTarget(FIRST, 2), now=10.0)
        engines = directory.of_service(TWO_MODELS.name)
        demands = {FIRST: ModelDemand(100, False)}
        first, second = assign_models(TWO_MODELS, engines, directory, demands)[FIRST]
        start = 10.0 + IDLE_LOAD_DELAY_SECONDS
        self.assertEqual([], self.due(directory, targets, start - 0.1))
        self.assertEqual([first], self.due(directory, targets, start + 0.1))
        self.assertEqual([second], self.due(directory, targets, start + GROUP_TURN_SECONDS + 0.1))
        again = start + 2 * GROUP_TURN_SECONDS + 0.1
        self.assertEqual([first], self.due(directory, targets, again))
        directory.observe_version(first, FIRST, 2)
        self.assertEqual([second], self.due(directory, targets, start + 0.1))

    def test_first_group_waits_while_a_batch_gets_slots(self):
        directory = make_directory(4, TWO_MODELS.name, slots=8)
        targets = WeightTargets()
        targets.update(WeightTarget(FIRST, 2), now=10.0)
        before = 10.0 + BUSY_LOAD_DELAY_SECONDS - 0.1
        self.assertEqual([], self.due(directory, targets, before, open_batch=True))
        self.assertEqual(1, len(self.due(directory, targets, before + 0.2, open_batch=True)))

    def test_engine_two_versions_behind_loads_at_once(self):
        directory = make_directory(4, TWO_MODELS.name, slots=8)
        targets = WeightTargets()
        targets.update(WeightTarget(FIRST, 3), now=10.0)
        self.assertEqual(2, len(self.due(directory, targets, 10.0, open_batch=True)))

    def test_model_with_more_work_gets_more_engines(self):
        directory = make_directory(6, TWO_MODELS.name, slots=8)
        engines = directory.of_service(TWO_MODELS.name)
        demands = {FIRST: ModelDemand(100), SECOND: ModelDemand(210)}
        chosen = assign_models(TWO_MODELS, engines, directory, demands)
        self.assertEqual((2, 4), (len(chosen[FIRST]), len(chosen[SECOND])))

    def test_named_version_never_goes_back(self):
        targets = WeightTargets()
        self.assertTrue(targets.update(WeightTarget(FIRST, 4), 0.0))
        self.assertFalse(targets.update(WeightTarget(FIRST, 3), 1.0))
        self.assertEqual(4, targets.version(FIRST))


class RuleTest(unittest.TestCase):
    """The rules of loads and orders, as tables of cases."""

    def test_engines_to_load(self):
        """Engines a, b, c serve, d is evacuated; the version is 5, each group is one engine."""
        cases = (
            ("too early", -0.1, (4, 4, 4), 4, ""),
            ("too early, one two versions behind", -0.1, (4, 3, 4), 4, "b"),
            ("first turn", 0.0, (4, 4, 4), 4, "a"),
            ("first turn, one two versions behind", 0.0, (4, 4, 3), 4, "ca"),
            ("second turn", 1.0, (4, 4, 4), 4, "b"),
            ("first is done", 0.5, (5, 4, 4), 4, "b"),
            ("third turn, third is done", 2.5, (4, 4, 5), 4, "a"),
            ("all that serve are done", 0.5, (5, 5, 5), 4, "d"),
            ("all are done", 0.5, (5, 5, 5), 5, ""),
            ("first could not load in its turn", 3.1, (4, 5, 5), 4, "ad"),
            ("an evacuated one is far behind", 0.5, (4, 4, 4), 1, "a"),
            ("ahead of the version", 0.5, (6, 6, 6), 6, ""),
        )
        for name, elapsed, versions, evacuated_engines, expected in cases:
            with self.subTest(name):
                serving = dict(zip("abc", versions, strict=True))
                state = ModelLoadState(5, elapsed, serving, {"d": evacuated_engines})
                self.assertEqual(list(expected), engines_to_load(state))

    def test_seconds_until_the_next_check(self):
        cases = dict.fromkeys(OrderOutcome, 0.4)
        cases |= {OrderOutcome.TAKEN: 2.5, OrderOutcome.UNKNOWN: 0.6}
        for outcome, seconds in cases.items():
            with self.subTest(outcome):
                self.assertEqual(seconds, seconds_until_next_check(outcome))


class OrderTest(unittest.TestCase):
    """Orders in a small fleet on virtual time."""

    def check_orders(self, fleet: PlatformFleet) -> None:
        """Checks that holders never alternate within a lease, and that tokens increase."""
        for state in fleet.engines.engines.values():
            for before, after in zip(state.orders, state.orders[1:], strict=False):
                self.assertLess(before[1], after[1])
                if before[0] != after[0]:
                    self.assertGreaterEqual(after[4] - before[4], 3.0)

    def test_all_engines_load_the_named_version(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            fleet.put("operator", MODEL, b"2")
            await fleet.wait(6.0)
            for state in fleet.engines.engines.values():
                self.assertEqual(2, state.versions[MODEL])
                self.assertEqual(1, state.orders_accepted)
            self.check_orders(fleet)

        run(play())

    def test_batch_waits_for_a_version_that_is_new_enough(self):
        async def play():
            fleet = PlatformFleet()
            await fleet.wait(1.0)
            spec = make_batch(minimum_version=2)
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(1.0)
            self.assertEqual([], fleet.stored_results(spec.id))
            fleet.put("operator", MODEL, b"2")
            results = await fleet.read_all(fleet.gateways[1], spec.id)
            check_results(self, spec, results)
            for result in results:
                self.assertGreaterEqual(min(result.versions), 2)

        run(play())

    def test_dead_engine_does_not_block_the_others(self):
        async def play():
            fleet = PlatformFleet(engines=2)
            await fleet.wait(1.0)
            first = min(fleet.engines.engines, key=lambda name: _rank(fleet, name))
            fleet.engines.engines[first].down = True
            fleet.put("operator", MODEL, b"2")
            await fleet.wait(6.0)
            versions = {name: s.versions[MODEL] for name, s in fleet.engines.engines.items()}
            self.assertEqual(2, max(versions.values()), versions)

        run(play())

    def test_orders_continue_when_a_daemon_dies_or_is_cut_off(self):
        async def play():
            fleet = PlatformFleet(gateways=4)
            await fleet.wait(1.0)
            for version in range(2, 8):
                fleet.put("operator", MODEL, str(version).encode())
                await fleet.wait(1.2)
                if version == 3:
                    fleet.kill(0)
                if version == 4:
                    fleet.clients[1].cut_off = True
                if version == 6:
                    fleet.clients[1].cut_off = False
            await fleet.wait(12.0)
            for state in fleet.engines.engines.values():
                self.assertEqual(7, state.versions[MODEL])
            self.check_orders(fleet)

        run(play())


def _rank(fleet: PlatformFleet, name: InstanceId) -> int:
    from larkpost.common.hashing import hash64

    return hash64(name)
