"""The rules by which items get engines and runs move, each as a table of cases."""

import unittest

from larkpost.common.distance import Distance
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.rollouts.engine_rules import (
    EngineState,
    choose_engine,
    is_fast_enough,
    is_outpaced_by,
    move_ratio,
    pace_to_move_to,
)


def make_engine(name: str, **known) -> EngineState:
    """Returns an engine of which some things are known."""
    info = InstanceInfo(
        InstanceId(name),
        ServiceName("engines"),
        Address("10.0.0.1:1"),
        ZoneId("z"),
        6,
        InstanceState.READY,
    )
    return EngineState(info, **known)


FIRST = make_engine("first", pace=0.04)
FASTER = make_engine("faster", pace=0.035)
ABOUT_AS_FAST = make_engine("about_as_fast", pace=0.036)
UNKNOWN = make_engine("unknown")
NEAR = make_engine("near", pace=0.04, distance=Distance.SAME_ZONE)
NEARER_THAN_FAR = make_engine("nearer", pace=0.04, distance=Distance.SAME_REGION)
FAR = make_engine("far", pace=0.04, distance=Distance.OTHER_REGION)
CHOICES = (
    ("no engine", [], None),
    ("the least occupied of equals", [FIRST, make_engine("second", pace=0.04)], "first"),
    ("a faster one", [FIRST, FASTER], "faster"),
    ("not one about as fast", [FIRST, ABOUT_AS_FAST], "first"),
    ("not one of unknown pace", [FIRST, UNKNOWN], "first"),
    ("one of unknown pace that comes first", [UNKNOWN, FASTER], "unknown"),
    ("not one that loads", [make_engine("loading", pace=0.02, is_loading=True), FIRST], "first"),
    ("not a cold one", [make_engine("cold", pace=0.02, is_cold=True), FIRST], "first"),
    (
        "a cold one before one that loads",
        [make_engine("loading", is_loading=True), make_engine("cold", is_cold=True)],
        "cold",
    ),
    (
        "a warm one of those that load",
        [make_engine("cold", is_loading=True, is_cold=True), make_engine("a", is_loading=True)],
        "a",
    ),
    ("a loading one if all load", [make_engine("loading", is_loading=True)], "loading"),
    ("the nearest of its like", [FAR, NEARER_THAN_FAR, NEAR], "near"),
    (
        "a nearer one that is fuller by one",
        [FAR, make_engine("near", pace=0.04, occupied=1, distance=Distance.SAME_ZONE)],
        "near",
    ),
    (
        "not a nearer one that is fuller by two",
        [FAR, make_engine("near", pace=0.04, occupied=2, distance=Distance.SAME_ZONE)],
        "far",
    ),
    (
        "not a nearer one that is slower",
        [FAR, make_engine("near", pace=0.045, distance=Distance.SAME_ZONE)],
        "far",
    ),
    (
        "not a nearer one of unknown pace",
        [FAR, make_engine("near", distance=Distance.SAME_ZONE)],
        "far",
    ),
    (
        "a nearer one if both paces are unknown",
        [make_engine("far", distance=Distance.OTHER_REGION), UNKNOWN],
        "unknown",
    ),
)
PACES = (
    # pace, is cold, limit, is fast enough
    (0.04, False, 0.04, True),
    (0.0419, False, 0.04, True),
    (0.0421, False, 0.04, False),
    (0.02, False, 0.04, True),
    (0.02, True, 0.04, False),
    (0.0, False, 0.04, False),
)
MOVES = (
    # pace, another engine's, is the item long, does the run move
    (0.0671, 0.04, False, False),
    (0.0681, 0.04, False, True),
    (0.0499, 0.04, True, False),
    (0.0501, 0.04, True, True),
    (0.0, 0.04, True, False),
)
REQUESTS = (
    # pace, the best pace, the slowest pace for which a place is requested
    (0.09, 0.03, 0.0336),
    (0.0376, 0.03, 0.0336),
    (0.0374, 0.03, 0.0),
    (0.03, 0.03, 0.0),
    (0.09, 0.0, 0.0),
    (0.0, 0.03, 0.0),
)


class EngineRulesTest(unittest.TestCase):
    """Each case of each table."""

    def test_choice(self):
        for case, candidates, expected in CHOICES:
            with self.subTest(case):
                chosen = choose_engine(candidates)
                self.assertEqual(expected, chosen.info.id if chosen is not None else None)

    def test_pace_limit(self):
        for pace, is_cold, limit, expected in PACES:
            with self.subTest(pace=pace, is_cold=is_cold):
                self.assertEqual(expected, is_fast_enough(pace, is_cold, limit))

    def test_moves_to_free_places(self):
        for pace, other, is_long, expected in MOVES:
            with self.subTest(pace=pace, other=other, is_long=is_long):
                self.assertEqual(expected, is_outpaced_by(pace, other, move_ratio(is_long)))

    def test_requests_for_faster_places(self):
        for pace, best, expected in REQUESTS:
            with self.subTest(pace=pace, best=best):
                self.assertAlmostEqual(expected, pace_to_move_to(pace, best))


if __name__ == "__main__":
    unittest.main()
