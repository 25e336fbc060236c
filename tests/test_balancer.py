"""Tests of the balancer: preference for open connections, and usage reported by other daemons."""

import asyncio
import random
import unittest

from larkpost.common.clock import LoopClock
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo, InstanceState
from larkpost.gateway.proxy.balancer import Balancer, BalancerDependencies
from tests import switched_off
from tests.platform_fleet import (
    ENGINES,
)
from tests.virtual import run


class ConnectedInstanceTest(unittest.TestCase):
    """Choice between instances with and without an open connection."""

    def begin(self) -> Balancer:
        """Returns a balancer for four instances, connected only to the first."""
        directory = InstanceDirectory()
        for number in range(4):
            state = InstanceState.READY
            address = Address("10.0.0.1:1")
            name = InstanceId(f"e{number}")
            directory.update(InstanceInfo(name, ENGINES, address, ZoneId("z"), 6, state))
        rng = random.Random(0)
        sources = BalancerDependencies(is_connected=lambda info: info.id == "e0")
        return Balancer(directory, LoopClock(), rng, sources)

    def first_choices(self, balancer: Balancer) -> set[InstanceId]:
        """Returns the first choices of several rankings."""
        choices = [balancer.candidates(ENGINES, for_client=True)[0] for _ in range(20)]
        return {info.id for info in choices}

    def test_connected_instance_comes_first_among_equals(self):
        async def play():
            self.assertEqual({"e0"}, self.first_choices(self.begin()))
            with switched_off.kept_connections_first():
                self.assertEqual(4, len(self.first_choices(self.begin())))

        run(play())

    def test_items_of_batches_are_spread_whatever_is_connected(self):
        async def play():
            balancer = self.begin()
            first = {balancer.candidates(ENGINES)[0].id for _ in range(30)}
            self.assertEqual(4, len(first))

        run(play())

    def test_higher_load_or_service_time_outweighs_the_connection(self):
        async def play():
            balancer = self.begin()
            balancer.occupy(InstanceId("e0"))
            self.assertNotIn("e0", self.first_choices(balancer))
            balancer.release(InstanceId("e0"))
            balancer.record_service_time(InstanceId("e0"), 0.05)
            for number in (1, 2, 3):
                balancer.record_service_time(InstanceId(f"e{number}"), 0.04)
            self.assertNotIn("e0", self.first_choices(balancer))

        run(play())


class PaceTest(unittest.TestCase):
    """Service times of instances reported by other daemons."""

    def test_unknown_service_time_of_a_peer_does_not_hide_a_reported_one(self):
        async def play():
            balancer = Balancer(InstanceDirectory(), LoopClock(), random.Random(0))
            engine = InstanceId("e0")
            balancer.record_peer_summary("first", {engine: (1, 0.04)})
            await asyncio.sleep(0.1)
            balancer.record_peer_summary("second", {engine: (2, 0.0)})
            self.assertEqual(0.04, balancer.service_time(engine))

        run(play())


class PeerUseTest(unittest.TestCase):
    """Usage of instances reported by other daemons."""

    def test_requests_of_a_peer_end_with_its_next_summary(self):
        async def play():
            clock = LoopClock()
            balancer = Balancer(InstanceDirectory(), clock, None)
            info = type("Info", (), {"id": "engine"})()
            balancer.record_peer_summary("a", {"engine": (3, 0.05)})
            balancer.record_peer_summary("b", {"engine": (2, 0.0)})
            self.assertEqual(5, balancer.occupied(info))
            balancer.record_peer_summary("a", {})
            self.assertEqual(2, balancer.occupied(info))
            await asyncio.sleep(1.5)
            self.assertEqual(0, balancer.occupied(info))

        run(play())

    def test_removed_instances_and_daemons_are_forgotten(self):
        """Both return under new names, so stale state would accumulate."""

        async def play():
            balancer = Balancer(InstanceDirectory(), LoopClock(), None)
            for number in range(100):
                instance = f"engine-{number}"
                balancer.record_peer_summary(f"daemon-{number}", {instance: (1, 0.05)})
                balancer.record_peer_summary(f"daemon-{number}", {})
                with balancer.count_request(instance):
                    balancer.record_service_time(instance, 0.05)
                await asyncio.sleep(10.0)
            self.assertLess(len(balancer._own), 25)
            self.assertLess(len(balancer._peers), 25)

        run(play())

    def test_instance_with_an_open_request_is_kept_without_its_entry(self):
        async def play():
            balancer = Balancer(InstanceDirectory(), LoopClock(), None)
            with balancer.count_request("engine"):
                for _ in range(5):
                    await asyncio.sleep(60.0)
                    balancer.record_peer_summary("a", {})
                self.assertEqual(1, balancer.use("engine").outstanding)
            self.assertEqual(0, balancer.use("engine").outstanding)

        run(play())
