"""The order of candidates, as a table with one deciding criterion per case."""

import unittest
from dataclasses import replace

from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.proxy.ranking import (
    MAX_SERVICE_TIME_RATIO,
    NEW_CONNECTION_FACTOR,
    Candidate,
    connection_factor,
    expected_response_time,
    rank,
)

SLOTS = 8
SERVICE_TIME = 0.04
PLAIN = Candidate(
    InstanceInfo(
        InstanceId("plain"),
        ServiceName("pages"),
        Address("10.0.0.1:1"),
        ZoneId("z"),
        SLOTS,
        InstanceState.READY,
        {},
        1,
    ),
    is_avoided=False,
    is_cold=False,
    occupied=2,
    service_time=SERVICE_TIME,
    latency_factor=1.0,
    connection_factor=1.0,
    tie_break=0.5,
)


def candidate(name: str, **changes) -> Candidate:
    """Returns a candidate with changes to the plain one."""
    info = replace(PLAIN.instance, id=InstanceId(name), slots=changes.pop("slots", SLOTS))
    return replace(PLAIN, instance=info, **changes)


ORDERS = {
    "a slow one before one that failed a moment ago": (
        {"service_time": 5 * SERVICE_TIME, "occupied": 8},
        {"is_avoided": True, "occupied": 0},
    ),
    "a full one before a cold one": ({"occupied": 8}, {"is_cold": True, "occupied": 0}),
    "a cold one before one that failed": ({"is_cold": True}, {"is_avoided": True}),
    "one that failed before one that failed and is cold": (
        {"is_avoided": True},
        {"is_avoided": True, "is_cold": True},
    ),
    "fewer requests first": ({"occupied": 1, "tie_break": 0.9}, {"occupied": 2}),
    "more slots first": ({"slots": 16, "tie_break": 0.9}, {"slots": 8}),
    "the faster first": (
        {"service_time": SERVICE_TIME, "tie_break": 0.9},
        {"service_time": 1.1 * SERVICE_TIME},
    ),
    "an unknown service time counts as the best": (
        {"service_time": 0.0, "tie_break": 0.9},
        {"service_time": 1.1 * SERVICE_TIME},
    ),
    "a slow one with no request before a fast one with six": (
        {"service_time": 3 * SERVICE_TIME, "occupied": 0},
        {"occupied": 6},
    ),
    "the nearer first": ({"tie_break": 0.9}, {"latency_factor": 1.05}),
    "the farther if the nearer has one request more": (
        {"latency_factor": 1.05, "tie_break": 0.9},
        {"occupied": 3},
    ),
    "a kept connection first": ({"tie_break": 0.9}, {"connection_factor": NEW_CONNECTION_FACTOR}),
    "a new connection if the other has one request more": (
        {"connection_factor": NEW_CONNECTION_FACTOR, "tie_break": 0.9},
        {"occupied": 3},
    ),
    "the smaller number among equals": ({"tie_break": 0.1}, {"tie_break": 0.2}),
}
"""By description: how the first and the second differ from the plain candidate."""


class RankTest(unittest.TestCase):
    """Pairs of candidates."""

    def test_each_criterion_decides_where_those_before_it_are_equal(self):
        for name, (first, second) in ORDERS.items():
            better, worse = candidate("first", **first), candidate("second", **second)
            for order in ((better, worse), (worse, better)):
                with self.subTest(name):
                    self.assertEqual(
                        ["first", "second"], [info.id for info in rank(order, SERVICE_TIME)]
                    )

    def test_expected_wait_depends_on_requests_slots_and_service_time(self):
        for expected, best_service_time, changes in (
            (3 / 8, SERVICE_TIME, {}),
            (3 / 8, 0.0, {}),  # no service time is known
            (3 / 8, SERVICE_TIME, {"service_time": 0.0}),
            (2 * 3 / 8, SERVICE_TIME, {"service_time": 2 * SERVICE_TIME}),
            (MAX_SERVICE_TIME_RATIO * 3 / 8, SERVICE_TIME, {"service_time": 100 * SERVICE_TIME}),
            (3.0, SERVICE_TIME, {"slots": 0}),
        ):
            with self.subTest(changes=changes, best_service_time=best_service_time):
                self.assertAlmostEqual(
                    expected, expected_response_time(candidate("one", **changes), best_service_time)
                )

    def test_connection_factor(self):
        self.assertEqual(1.0, connection_factor(is_connected=True))
        self.assertEqual(NEW_CONNECTION_FACTOR, connection_factor(is_connected=False))
