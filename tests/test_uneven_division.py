"""Tests the assignment of four models to engines of which some are 2.4 times as slow.

A model with only slow engines would be late with every step.
"""

import random
import unittest

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ModelName, Service, ServiceName
from larkpost.gateway.blackboard.weight_targets import ModelDemand
from larkpost.gateway.controllers.engine_speeds import relative_speed, slowdown_steps
from larkpost.gateway.controllers.model_assignment import assign_models
from tests.server_parts import make_directory

FAST, USUAL, SLOW = 0.033, 0.047, 0.08
"""Seconds per event at engines with 0.7, 1.0 and 1.7 times the usual service time."""
MODELS = tuple(ModelName(name) for name in ("a", "b", "c", "d"))
FOUR = Service(ServiceName("s"), 100, slots=8, models=MODELS)
WORKS = dict(zip(MODELS, (1512, 1512, 792, 1680), strict=True))
"""Events per step of each model."""
DEMANDS = {model: ModelDemand(work) for model, work in WORKS.items()}
ENGINES = 24


class SpeedTest(unittest.TestCase):
    """Speed classes."""

    def test_steps(self):
        cases = (
            ("all alike", (0.047, 0.05, 0.052), (0, 0, 0)),
            ("half fast, half slow", (FAST, FAST, SLOW, SLOW), (0, 0, 1, 1)),
            ("most are fast", (FAST, FAST, FAST, SLOW), (0, 0, 0, 1)),
            ("most are slow", (FAST, SLOW, SLOW, SLOW), (-1, 0, 0, 0)),
            ("one is not known", (0.0, USUAL, USUAL), (0, 0, 0)),
            ("none is known", (0.0, 0.0), (0, 0)),
            ("no engines", (), ()),
        )
        for name, paces, expected in cases:
            with self.subTest(name):
                steps = slowdown_steps({InstanceId(str(i)): pace for i, pace in enumerate(paces)})
                self.assertEqual(expected, tuple(steps.values()))

    def test_slower_engines_get_less_work(self):
        self.assertEqual(1.0, relative_speed(0))
        self.assertLess(relative_speed(1), 1.0)
        self.assertGreater(relative_speed(-1), 1.0)


class UnevenDivisionTest(unittest.TestCase):
    """Assignment of engines with different speeds."""

    def setUp(self):
        self.directory = make_directory(ENGINES, FOUR.name, slots=8)
        rng = random.Random(5)
        names = [info.id for info in self.directory.of_service(FOUR.name)]
        rng.shuffle(names)
        half = ENGINES // 2
        self.paces = dict.fromkeys(names[:half], FAST) | dict.fromkeys(names[half:], SLOW)

    def divide(self) -> dict[ModelName, list[InstanceId]]:
        """Returns the assignment by work and service time."""
        engines = self.directory.of_service(FOUR.name)
        return assign_models(FOUR, engines, self.directory, DEMANDS, self.paces.__getitem__)

    def test_every_model_gets_fast_engines_by_its_work(self):
        assignment = self.divide()
        fast = {
            model: sum(self.paces[name] == FAST for name in names)
            for model, names in assignment.items()
        }
        self.assertEqual(ENGINES // 2, sum(fast.values()))
        for model, count in fast.items():
            share = ENGINES / 2 * WORKS[model] / sum(WORKS.values())
            self.assertAlmostEqual(share, count, delta=1.0)

    def test_assignment_is_stable_under_new_measurements(self):
        before = self.divide()
        for model, names in before.items():
            for name in names:
                self.directory.observe_version(name, model, 5)
        rng = random.Random(6)
        for _ in range(20):
            self.paces = {
                name: (FAST if name in self._fast() else SLOW) * rng.uniform(0.9, 1.1)
                for name in self.paces
            }
            self.assertEqual(before, self.divide())

    def test_assignment_is_stable_when_a_loaded_engine_turns_out_slow(self):
        before = self.divide()
        for model, names in before.items():
            for name in names:
                self.directory.observe_version(name, model, 5)
        self.paces = dict.fromkeys(self.paces, FAST)
        after = self.divide()
        moved = sum(len(set(after[model]) - set(before[model])) for model in MODELS)
        self.assertLessEqual(moved, 2)

    def test_equally_fast_engines_are_assigned_as_if_no_speed_were_known(self):
        engines = self.directory.of_service(FOUR.name)
        unknown = assign_models(FOUR, engines, self.directory, DEMANDS)
        self.paces = dict.fromkeys(self.paces, USUAL)
        self.assertEqual(unknown, self.divide())

    def _fast(self) -> set[InstanceId]:
        return {name for name, pace in self.paces.items() if pace < USUAL}


if __name__ == "__main__":
    unittest.main()
