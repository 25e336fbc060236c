"""The rules by which items get engines and runs move, each as a table of cases."""

import unittest

from larkpost.common.distance import Distance
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.rollouts.engine_rules import (
    MIGRATION_RATIO,
    EngineState,
    choose_engine,
    could_migration_pay_off,
    is_fast_enough,
    is_migration_worthwhile,
    is_slower_by,
    migration_service_time_limit,
    migration_source_service_time,
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


FIRST = make_engine("first", service_time=0.04)
FASTER = make_engine("faster", service_time=0.035)
ABOUT_AS_FAST = make_engine("about_as_fast", service_time=0.036)
UNKNOWN = make_engine("unknown")
NEAR = make_engine("near", service_time=0.04, distance=Distance.SAME_ZONE)
NEARER_THAN_FAR = make_engine("nearer", service_time=0.04, distance=Distance.SAME_REGION)
FAR = make_engine("far", service_time=0.04, distance=Distance.OTHER_REGION)
CHOICES = (
    ("no engine", [], None),
    ("the least occupied of equals", [FIRST, make_engine("second", service_time=0.04)], "first"),
    ("a faster one", [FIRST, FASTER], "faster"),
    ("not one about as fast", [FIRST, ABOUT_AS_FAST], "first"),
    ("not one of unknown pace", [FIRST, UNKNOWN], "first"),
    ("one of unknown pace that comes first", [UNKNOWN, FASTER], "unknown"),
    (
        "not one that loads",
        [make_engine("loading", service_time=0.02, is_loading=True), FIRST],
        "first",
    ),
    ("not a cold one", [make_engine("cold", service_time=0.02, is_cold=True), FIRST], "first"),
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
        [FAR, make_engine("near", service_time=0.04, occupied=1, distance=Distance.SAME_ZONE)],
        "near",
    ),
    (
        "not a nearer one that is fuller by two",
        [FAR, make_engine("near", service_time=0.04, occupied=2, distance=Distance.SAME_ZONE)],
        "far",
    ),
    (
        "not a nearer one that is slower",
        [FAR, make_engine("near", service_time=0.045, distance=Distance.SAME_ZONE)],
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
    # case, events made, pace, the other engine's pace, is it worth to move
    ("a long item at an engine slow for good", 30, 0.082, 0.034, True),
    ("a short one there", 20, 0.082, 0.034, False),
    ("a short one at an engine that is ill", 10, 0.25, 0.034, True),
    ("one that has made nothing", 0, 1.0, 0.034, False),
    ("a very long item, engines that differ a little", 500, 0.05, 0.041, False),
    ("a very long item, engines that differ by enough", 500, 0.05, 0.039, True),
    ("the saving is just the cost", 24, 0.1, 0.05, True),
    ("just under it", 23, 0.1, 0.05, False),
    ("the pace is not known", 100, 0.0, 0.04, False),
    ("the other engine's is not known", 100, 0.09, 0.0, False),
)
LEAVES = (
    # case, the engine's lasting pace, its recent one, the pace that counts
    ("slow for good", 0.082, 0.081, 0.081),
    ("slow for good, in a burst", 0.082, 0.2, 0.082),
    ("a burst at a fast engine", 0.034, 0.085, 0.034),
    ("it was ill and is well again", 0.1, 0.034, 0.034),
    ("nothing measured here lately", 0.082, 0.0, 0.082),
    ("nothing known", 0.0, 0.0, 0.0),
)
REQUESTS = (
    # events made, pace, the best pace, the slowest pace for which a place is requested
    (30, 0.09, 0.03, 0.0336),
    (160, 0.0376, 0.03, 0.0376 / (1.25 * 1.05)),
    (160, 0.0374, 0.03, 0.0),
    (19, 0.09, 0.03, 0.0),
    (30, 0.03, 0.03, 0.0),
    (30, 0.09, 0.0, 0.0),
    (30, 0.0, 0.03, 0.0),
)


class EngineRulesTest(unittest.TestCase):
    """Each case of each table."""

    def test_choice(self):
        for case, candidates, expected in CHOICES:
            with self.subTest(case):
                chosen = choose_engine(candidates)
                self.assertEqual(expected, chosen.info.id if chosen is not None else None)

    def test_pace_limit(self):
        for service_time, is_cold, limit, expected in PACES:
            with self.subTest(service_time=service_time, is_cold=is_cold):
                self.assertEqual(expected, is_fast_enough(service_time, is_cold, limit))

    def test_moves(self):
        for case, events, service_time, other, expected in MOVES:
            with self.subTest(case):
                self.assertEqual(expected, is_migration_worthwhile(events, service_time, other))
                self.assertTrue(could_migration_pay_off(events, service_time) or not expected)

    def test_paces_to_leave(self):
        for case, lasting, recent, expected in LEAVES:
            with self.subTest(case):
                self.assertEqual(expected, migration_source_service_time(lasting, recent))

    def test_requests_for_faster_places(self):
        for events, service_time, best, expected in REQUESTS:
            with self.subTest(events=events, service_time=service_time, best=best):
                self.assertAlmostEqual(
                    expected, migration_service_time_limit(events, service_time, best)
                )

    def test_place_that_is_requested_is_one_that_the_run_moves_to(self):
        """Else it would hold the place until its next event, give it up, and request it again."""
        best = 0.03
        for service_time in (0.0376, 0.04, 0.042, 0.0422, 0.09):
            limit = migration_service_time_limit(160, service_time, best)
            self.assertTrue(
                is_fast_enough(best, is_cold=False, service_time_limit=limit), service_time
            )
            for step in range(100):
                other = best * (1 + step / 200)
                if is_fast_enough(other, is_cold=False, service_time_limit=limit):
                    self.assertTrue(
                        is_slower_by(service_time, other * 0.999, MIGRATION_RATIO),
                        (service_time, other),
                    )


if __name__ == "__main__":
    unittest.main()
