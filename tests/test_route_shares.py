"""Tests of the traffic split of a route among its services."""

import random
import unittest
from dataclasses import replace

from larkpost.gateway.blackboard.configuration import ServiceShare
from larkpost.gateway.proxy.service_selection import ServiceSelector
from tests.platform_fleet import (
    ENGINES,
    PAGES,
    SCORER_ROUTE,
)


class ShareTest(unittest.TestCase):
    """Weights of a route's services, across many daemons with few requests each."""

    def test_few_requests_at_many_daemons_keep_the_weights(self):
        shares = (ServiceShare(ENGINES, 0.7), ServiceShare(PAGES, 0.3))
        route = replace(SCORER_ROUTE, shares=shares)
        chosen = []
        for daemon in range(40):
            chooser = ServiceSelector(random.Random(daemon))
            chosen.extend(chooser.choose(route) for _ in range(2))
        self.assertAlmostEqual(0.7, chosen.count(ENGINES) / len(chosen), delta=0.1)
