"""Several models share one pool of engines; some are short of time, others have time to spare.

Guards against lending engines to the wrong models, flapping loans, and needless loads.
"""

import unittest

from larkpost.common.hashing import hash64
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ModelName, Service, ServiceName
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.weight_targets import (
    DeadlineForecast,
    Demands,
    ModelDemand,
    WeightTarget,
    WeightTargets,
)
from larkpost.gateway.controllers.due_loads import LoadInputs, due_loads
from larkpost.gateway.controllers.lending import (
    MAX_LENT_FRACTION,
    TRAINER_BLOCKED_SECONDS,
    TRAINER_SLACK_SECONDS,
    Lending,
    LendingRole,
    lending_role,
    plan_lending,
    yielding_models,
)
from larkpost.gateway.controllers.model_assignment import (
    MIN_ENGINES_PER_MODEL,
    Assignment,
    assign_models,
)
from tests.server_parts import make_directory

SHORT, LONG, LONGEST = ModelName("short"), ModelName("long"), ModelName("longest")
THREE = Service(ServiceName("s"), 100, slots=8, models=(SHORT, LONG, LONGEST))
ENGINES = 22
WORKS = {SHORT: 960, LONG: 1848, LONGEST: 1848}
"""Events per step of each model: items of 12 events on average, and of 21."""


def demand(model: ModelName, submit_delay: float | None, **others) -> ModelDemand:
    """Returns the demand of a model whose batches arrive this long after their versions."""
    return ModelDemand(
        WORKS[model],
        open=True,
        submit_delay=submit_delay,
        min_submit_delay=submit_delay,
        **others,
    )


def all_with_slack() -> dict[ModelName, ModelDemand]:
    """Returns the demands while all trainers have time to spare."""
    return {model: demand(model, TRAINER_SLACK_SECONDS + 1) for model in THREE.models}


def two_blocked() -> dict[ModelName, ModelDemand]:
    """Returns the demands while the trainers of two models wait for their versions."""
    return all_with_slack() | {model: demand(model, 0.02) for model in (LONG, LONGEST)}


class LendingRoleTest(unittest.TestCase):
    """Which models lend and which borrow."""

    def test_lending_roles(self):
        spare, waits = TRAINER_SLACK_SECONDS + 0.1, TRAINER_BLOCKED_SECONDS - 0.1
        cases = (
            ("nothing is known", ModelDemand(), LendingRole.NONE),
            ("its trainer waits", demand(LONG, waits), LendingRole.BORROWER),
            ("its trainer has time", demand(LONG, spare), LendingRole.LENDER),
            ("neither waits nor has time", demand(LONG, 1.0), LendingRole.NONE),
            (
                "had none a step ago",
                ModelDemand(9, open=True, submit_delay=spare, min_submit_delay=0.1),
                LendingRole.NONE,
            ),
            (
                "tight for a moment: it gets places, no engines",
                demand(LONG, spare, deadline_forecast=DeadlineForecast.TIGHT, waiting=1),
                LendingRole.LENDER,
            ),
            (
                "in time",
                demand(LONG, spare, deadline_forecast=DeadlineForecast.TO_SPARE),
                LendingRole.LENDER,
            ),
            (
                "in time, but its trainer waits",
                demand(LONG, waits, deadline_forecast=DeadlineForecast.TO_SPARE),
                LendingRole.BORROWER,
            ),
            (
                "can't be in time any more",
                demand(LONG, waits, deadline_forecast=DeadlineForecast.INFEASIBLE),
                LendingRole.LENDER,
            ),
        )
        for name, asked, expected in cases:
            with self.subTest(name):
                self.assertIs(expected, lending_role(asked))

    def test_yielding_models(self):
        waiting = two_blocked() | {LONG: demand(LONG, 0.02, waiting=5)}
        easy = all_with_slack() | {SHORT: demand(SHORT, 9.0, waiting=5)}
        hopeless = waiting | {
            LONGEST: demand(LONGEST, 0.02, deadline_forecast=DeadlineForecast.INFEASIBLE)
        }
        tight = demand(LONG, 9.0, deadline_forecast=DeadlineForecast.TIGHT, waiting=5)
        cases = (
            ("a tight batch waits", all_with_slack() | {LONG: tight}, {SHORT, LONGEST}),
            (
                "one with time to spare is tight itself",
                waiting | {SHORT: demand(SHORT, 9.0, deadline_forecast=DeadlineForecast.TIGHT)},
                set(),
            ),
            (
                "the one that waits is less urgent",
                waiting | {LONG: demand(LONG, 0.02, waiting=5, priority=1)},
                set(),
            ),
            ("nobody waits", two_blocked(), set()),
            ("a batch short of time waits", waiting, {SHORT}),
            ("only one with time to spare waits", easy, set()),
            ("one can't be in time any more", hopeless, {SHORT, LONGEST}),
            ("nothing is known", {}, set()),
        )
        for name, demands, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, yielding_models(THREE.models, demands))


class LendingTest(unittest.TestCase):
    """Which engines are lent to which models."""

    def setUp(self):
        self.directory = make_directory(ENGINES, THREE.name, slots=8)
        for engine in self.directory.of_service(THREE.name):
            for model in THREE.models:
                self.directory.observe_version(engine.id, model, 1)

    def assign(self, demands: Demands) -> tuple[Assignment, Lending]:
        """Returns the assignment by work, and the lending."""
        engines = self.directory.of_service(THREE.name)
        assignment = assign_models(THREE, engines, self.directory, demands)
        return assignment, plan_lending(assignment, demands, self.directory.version_of)

    def preferred_engines(self, demands: Demands) -> dict[ModelName, set[InstanceId]]:
        """Returns the engines at which each model has the first claim on slots."""
        assignment, lending = self.assign(demands)
        return {model: set(names) for model, names in lending.preferred_engines(assignment).items()}

    def load_all(self, demands: Demands, version: int) -> int:
        """Loads a version of each model wherever it is due; returns how many engines load."""
        targets = WeightTargets()
        for model in THREE.models:
            targets.update(WeightTarget(model, version), 0.0)
        count = 0
        for now in range(1, 30):
            inputs = LoadInputs(self.directory, targets, demands)
            for engine, target in due_loads(THREE, inputs, float(now)):
                self.directory.observe_version(engine, target.model, target.version)
                count += 1
        return count

    def test_all_have_time_to_spare(self):
        assignment, lending = self.assign(all_with_slack())
        self.assertEqual(Lending(), lending)
        self.assertEqual(assignment, lending.preferred_engines(assignment))
        self.assertEqual(assignment, lending.loading_engines(assignment))

    def test_one_with_time_to_spare_lends_to_two_that_lack_it(self):
        assignment, _ = self.assign(two_blocked())
        first = self.preferred_engines(two_blocked())
        lent = set(assignment[SHORT]) - first[SHORT]
        self.assertEqual(int(len(assignment[SHORT]) * MAX_LENT_FRACTION), len(lent))
        self.assertGreater(len(lent), 0)
        self.assertGreaterEqual(len(first[SHORT]), MIN_ENGINES_PER_MODEL)
        for model in (LONG, LONGEST):
            self.assertLessEqual(set(assignment[model]), first[model])
            lent -= first[model]
        self.assertEqual(set(), lent)
        self.assertEqual(ENGINES, sum(len(engines) for engines in first.values()))

    def test_lent_engines_load_both_models(self):
        assignment, lending = self.assign(two_blocked())
        loading_engines = lending.loading_engines(assignment)
        self.assertEqual(assignment[SHORT], loading_engines[SHORT])
        for model, engines in lending.lent.items():
            self.assertLessEqual(set(engines), set(loading_engines[model]))
            self.assertEqual(sorted(loading_engines[model], key=hash64), loading_engines[model])

    def test_infeasible_model_lends_to_a_feasible_one(self):
        demands = {
            SHORT: demand(SHORT, 1.0),
            LONG: demand(LONG, 0.02, deadline_forecast=DeadlineForecast.INFEASIBLE),
            LONGEST: demand(LONGEST, 0.02, deadline_forecast=DeadlineForecast.TIGHT),
        }
        assignment, lending = self.assign(demands)
        self.assertEqual({LONGEST}, set(lending.lent))
        self.assertLess(set(lending.lent[LONGEST]), set(assignment[LONG]))

    def test_nobody_lends_to_a_lower_priority(self):
        demands = two_blocked() | {LONGEST: demand(LONGEST, 0.02, priority=1)}
        _, lending = self.assign(demands)
        self.assertEqual({LONG}, set(lending.lent))

    def test_loan_is_stable_while_the_borrower_gets_slots(self):
        lent = self.assign(two_blocked())[1]
        for waiting in (40, 7, 0, 3, 0):
            deadline_forecast = DeadlineForecast.TIGHT if waiting else DeadlineForecast.TO_SPARE
            demands = two_blocked() | {
                LONG: demand(LONG, 0.02, waiting=waiting, deadline_forecast=deadline_forecast),
                SHORT: demand(SHORT, 9.0, waiting=waiting, deadline_forecast=deadline_forecast),
            }
            self.assertEqual(lent, self.assign(demands)[1])

    def test_each_engine_is_asked_for_its_version_once_by_each_borrower(self):
        asked = []

        def version_of(engine: InstanceId, model: ModelName) -> int:
            asked.append((engine, model))
            return 1

        names = [InstanceId(f"e{number}") for number in range(3000)]
        assignment = {SHORT: names[:1000], LONG: names[1000:2000], LONGEST: names[2000:]}
        lending = plan_lending(assignment, two_blocked(), version_of)
        count = sum(len(engines) for engines in lending.lent.values())
        self.assertEqual(int(1000 * MAX_LENT_FRACTION), count)
        self.assertEqual(len(lending.lent) * count, len(asked))

    def test_engine_that_is_due_two_versions_loads_the_borrowers_first(self):
        self.load_all(two_blocked(), 2)
        targets = WeightTargets()
        for model in THREE.models:
            targets.update(WeightTarget(model, 4), 0.0)
        inputs = LoadInputs(self.directory, targets, two_blocked())
        due = due_loads(THREE, inputs, 9.0)
        lent = {name for names in self.assign(two_blocked())[1].lent.values() for name in names}
        first = {}
        for engine, target in due:
            first.setdefault(engine, target.model)
        self.assertTrue(lent & first.keys())
        for engine in lent & first.keys():
            self.assertNotEqual(SHORT, first[engine])

    def test_nobody_can_lend(self):
        for demands in (
            {model: demand(model, 0.02) for model in THREE.models},
            {model: demand(model, 0.02) for model in (LONG, LONGEST)},
            {},
        ):
            self.assertEqual(Lending(), self.assign(demands)[1])

    def test_one_model_lends_nothing(self):
        one = Service(THREE.name, 100, slots=8, models=(LONG,))
        engines = self.directory.of_service(THREE.name)
        demands = {LONG: demand(LONG, 0.02)}
        assignment = assign_models(one, engines, self.directory, demands)
        self.assertEqual(Lending(), plan_lending(assignment, demands, self.directory.version_of))

    def test_few_engines_of_several_models_are_not_lent(self):
        self.directory = make_directory(3, THREE.name, slots=8)
        assignment, lending = self.assign(two_blocked())
        self.assertEqual(Lending(), lending)
        self.assertGreater(sum(len(engines) for engines in assignment.values()), 3)

    def test_lends_and_gets_back_without_loads_for_it(self):
        assignment, _ = self.assign(all_with_slack())
        for version in (2, 3, 4):
            self.load_all(two_blocked(), version)
        self.assertEqual(assignment[SHORT], self.assign(all_with_slack())[0][SHORT])
        back = self.preferred_engines(all_with_slack())
        self.assertEqual({model: set(names) for model, names in assignment.items()}, back)
        for engine in back[SHORT]:
            self.assertEqual(4, self.directory.version_of(engine, SHORT))

    def test_no_flapping_while_a_trainer_alternates(self):
        assignment, _ = self.assign(all_with_slack())
        lent = {engine for names in self.assign(two_blocked())[1].lent.values() for engine in names}
        loads = 0
        for version in range(2, 12):
            demands = two_blocked() if version % 2 else all_with_slack()
            loads += self.load_all(demands, version)
            with self.subTest(version):
                self.assertEqual(assignment, self.assign(demands)[0])
                again = self.assign(two_blocked())[1].lent.values()
                self.assertEqual(lent, {engine for names in again for engine in names})
        steady = 10 * ENGINES
        self.assertLessEqual(loads, steady + 5 * len(lent))

    def test_engines_are_lost(self):
        lent = [name for names in self.assign(two_blocked())[1].lent.values() for name in names]
        for engine in lent:
            self.directory.remove(engine, store_healthy=True)
        first = self.preferred_engines(two_blocked())
        self.assertEqual(ENGINES - len(lent), sum(len(engines) for engines in first.values()))
        for engines in first.values():
            self.assertGreaterEqual(len(engines), MIN_ENGINES_PER_MODEL)

    def test_daemons_with_the_same_state_agree(self):
        other = InstanceDirectory()
        for info in reversed(self.directory.of_service(THREE.name)):
            other.update(info)
        here = self.preferred_engines(two_blocked())
        self.directory = other
        self.assertEqual(here, self.preferred_engines(dict(reversed(two_blocked().items()))))

    def test_daemon_with_an_older_state_uses_engines_that_have_the_version(self):
        for version in (2, 3):
            self.load_all(two_blocked(), version)
        older, newer = (
            self.preferred_engines(all_with_slack()),
            self.preferred_engines(two_blocked()),
        )
        for model in THREE.models:
            for engine in older[model] | newer[model]:
                self.assertGreaterEqual(self.directory.version_of(engine, model), 3)


if __name__ == "__main__":
    unittest.main()
