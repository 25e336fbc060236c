"""Tables of cases for the rules of engine selection and migration."""

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
    """Returns the state of an engine with some values set."""
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
    ("not one of unknown service time", [FIRST, UNKNOWN], "first"),
    ("one of unknown service time that comes first", [UNKNOWN, FASTER], "unknown"),
    (
        "not a loading one",
        [make_engine("loading", service_time=0.02, is_loading=True), FIRST],
        "first",
    ),
    ("not a cold one", [make_engine("cold", service_time=0.02, is_cold=True), FIRST], "first"),
    (
        "a cold one before a loading one",
        [make_engine("loading", is_loading=True), make_engine("cold", is_cold=True)],
        "cold",
    ),
    (
        "a warm one of the loading ones",
        [make_engine("cold", is_loading=True, is_cold=True), make_engine("a", is_loading=True)],
        "a",
    ),
    ("a loading one if all load", [make_engine("loading", is_loading=True)], "loading"),
    ("the nearest of equivalent ones", [FAR, NEARER_THAN_FAR, NEAR], "near"),
    (
        "a nearer one with one more request",
        [FAR, make_engine("near", service_time=0.04, occupied=1, distance=Distance.SAME_ZONE)],
        "near",
    ),
    (
        "not a nearer one with two more requests",
        [FAR, make_engine("near", service_time=0.04, occupied=2, distance=Distance.SAME_ZONE)],
        "far",
    ),
    (
        "not a nearer one that is slower",
        [FAR, make_engine("near", service_time=0.045, distance=Distance.SAME_ZONE)],
        "far",
    ),
    (
        "not a nearer one of unknown service time",
        [FAR, make_engine("near", distance=Distance.SAME_ZONE)],
        "far",
    ),
    (
        "a nearer one if both service times are unknown",
        [make_engine("far", distance=Distance.OTHER_REGION), UNKNOWN],
        "unknown",
    ),
)
SPEEDS = (
    # service time, is cold, limit, is fast enough
    (0.04, False, 0.04, True),
    (0.0419, False, 0.04, True),
    (0.0421, False, 0.04, False),
    (0.02, False, 0.04, True),
    (0.02, True, 0.04, False),
    (0.0, False, 0.04, False),
)
MIGRATIONS = (
    # case, events produced, service time, that of the other engine, is migrating worthwhile
    ("a long item at a slow engine", 30, 0.082, 0.034, True),
    ("a short item at a slow engine", 20, 0.082, 0.034, False),
    ("a short item at a degraded engine", 10, 0.25, 0.034, True),
    ("an item without events", 0, 1.0, 0.034, False),
    ("a very long item, engines of similar speed", 500, 0.05, 0.041, False),
    ("a very long item, engines that differ enough", 500, 0.05, 0.039, True),
    ("the saving equals the cost", 24, 0.1, 0.05, True),
    ("the saving is just below the cost", 23, 0.1, 0.05, False),
    ("the service time is unknown", 100, 0.0, 0.04, False),
    ("that of the other engine is unknown", 100, 0.09, 0.0, False),
)
SOURCES = (
    # case, sustained service time, recent service time, the one that counts
    ("slow for long", 0.082, 0.081, 0.081),
    ("slow for long, in a burst", 0.082, 0.2, 0.082),
    ("a burst at a fast engine", 0.034, 0.085, 0.034),
    ("degraded before, but recovered", 0.1, 0.034, 0.034),
    ("no recent events", 0.082, 0.0, 0.082),
    ("nothing is known", 0.0, 0.0, 0.0),
)
REQUESTS = (
    # events produced, service time, best service time, longest one for which a slot is requested
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

    def test_engine_selection(self):
        for case, candidates, expected in CHOICES:
            with self.subTest(case):
                chosen = choose_engine(candidates)
                self.assertEqual(expected, chosen.info.id if chosen is not None else None)

    def test_service_time_limit(self):
        for service_time, is_cold, limit, expected in SPEEDS:
            with self.subTest(service_time=service_time, is_cold=is_cold):
                self.assertEqual(expected, is_fast_enough(service_time, is_cold, limit))

    def test_migrations(self):
        for case, events, service_time, other, expected in MIGRATIONS:
            with self.subTest(case):
                self.assertEqual(expected, is_migration_worthwhile(events, service_time, other))
                self.assertTrue(could_migration_pay_off(events, service_time) or not expected)

    def test_service_times_of_source_engines(self):
        for case, lasting, recent, expected in SOURCES:
            with self.subTest(case):
                self.assertEqual(expected, migration_source_service_time(lasting, recent))

    def test_requests_for_faster_engines(self):
        for events, service_time, best, expected in REQUESTS:
            with self.subTest(events=events, service_time=service_time, best=best):
                self.assertAlmostEqual(
                    expected, migration_service_time_limit(events, service_time, best)
                )

    def test_requested_slot_always_leads_to_a_migration(self):
        """Otherwise a run would hold a slot until its next event, release it and request again."""
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
