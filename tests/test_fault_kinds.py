"""Tests of faults without a test module of their own: clock steps, size, changing fleets."""

import re
import time
import unittest
from pathlib import Path
from unittest import mock

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ConfigurationState,
    Route,
    RouteKind,
    ServiceName,
    ServiceShare,
)
from tests.platform_fleet import MODEL, PlatformFleet, check_results, make_batch
from tests.scripted_engines import ScriptedEngine
from tests.virtual import run

SOURCE = Path(__file__).resolve().parent.parent / "src" / "larkpost"
DECIDING_PACKAGES = ("gateway", "platform")
TIME_OF_DAY = re.compile(
    r"\btime\.time(_ns)?\(|\bdatetime\b|\btime\.localtime\(|\bCLOCK_REALTIME\b"
)
ROUTES = 3000


class ClockStepTest(unittest.TestCase):
    """The time of day jumps by seconds, forward or backward."""

    def test_no_deciding_module_reads_the_time_of_day(self):
        for package in DECIDING_PACKAGES:
            for path in sorted((SOURCE / package).rglob("*.py")):
                if "stand_in" not in path.parts:
                    self.assertIsNone(TIME_OF_DAY.search(path.read_text(encoding="utf-8")), path)

    def test_batch_is_run_while_the_time_of_day_jumps(self):
        async def play():
            jumps = iter(range(10**6))

            def jumping() -> float:
                return 1_700_000_000.0 + (-1) ** next(jumps) * 5000.0

            fleet = PlatformFleet(3, 3)
            await fleet.wait(1.0)
            with mock.patch.object(time, "time", jumping):
                spec = make_batch("batch", 24)
                await fleet.gateways[0].batches.submit(spec)
                fleet.put("operator", MODEL, b"2")
                results = await fleet.read_all(fleet.gateways[1], "batch")
                await fleet.wait(6.0)
            check_results(self, spec, results)
            for gateway in fleet.gateways:
                self.assertEqual(3, len(list(gateway.membership.alive())))
            for state in fleet.engines.engines.values():
                self.assertEqual(2, state.versions[MODEL])

        run(play())


class LargeConfigurationTest(unittest.TestCase):
    """A configuration with thousands of routes."""

    def configuration(self, version: int, service: str) -> Configuration:
        """Returns a configuration whose routes all go to one service."""
        shares = (ServiceShare(ServiceName(service), 1.0),)
        routes = tuple(
            Route(f"r{n}", f"h{n % 50}", f"/p{n}/".encode(), RouteKind.IDEMPOTENT, shares, 2.0, 0.2)
            for n in range(ROUTES)
        )
        nested = Route("n", "h0", b"/p0/inner/", RouteKind.IDEMPOTENT, (), 2.0, 0.2)
        return Configuration(version, (*routes, nested), {})

    def test_each_route_is_found_and_the_longest_prefix_wins(self):
        current = self.configuration(1, "a")
        for number in range(0, ROUTES, 7):
            found = current.match(f"h{number % 50}", f"/p{number}/x".encode())
            self.assertEqual(f"r{number}", found.name)
        self.assertEqual("n", current.match("h0", b"/p0/inner/x").name)
        self.assertIsNone(current.match("h1", b"/p0/x"))
        self.assertIsNone(current.match("h0", b"/p0"))

    def test_late_older_configuration_is_ignored(self):
        state = ConfigurationState()
        self.assertTrue(state.update(self.configuration(9, "new")))
        self.assertFalse(state.update(self.configuration(4, "old")))
        self.assertEqual("new", state.current.match("h1", b"/p1/").shares[0].service)


class ChangingFleetTest(unittest.TestCase):
    """Daemons and engines join and leave while a batch runs."""

    def test_new_engines_are_used_soon(self):
        async def play():
            fleet = PlatformFleet(2, 1)
            await fleet.wait(1.0)
            spec = make_batch("batch", 60)
            await fleet.gateways[0].batches.submit(spec)
            await fleet.wait(0.2)
            for number in range(3):
                name = InstanceId(f"late-{number}")
                fleet.engines.engines[name] = ScriptedEngine(versions={MODEL: 1})
                fleet.add_engine(name)
            results = await fleet.read_all(fleet.gateways[0], "batch")
            check_results(self, spec, results)
            for number in range(3):
                self.assertTrue(fleet.engines.engines[InstanceId(f"late-{number}")].runs)

        run(play())

    def test_new_daemon_is_ready_and_runs_what_it_accepts(self):
        async def play():
            fleet = PlatformFleet(2, 3)
            await fleet.wait(3.0)
            late = fleet.add_gateway("late")
            await fleet.wait(1.0)
            self.assertTrue(late.lifecycle.ready)
            spec = make_batch("batch", 12)
            await late.batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[0], "batch"))
            self.assertEqual(late.id, fleet.gateways[0].batch_manager.head("batch").owner)

        run(play())

    def test_engines_that_fail_in_turn_delay_no_item(self):
        async def play():
            fleet = PlatformFleet(2, 3)
            await fleet.wait(1.0)
            spec = make_batch("batch", 40)
            await fleet.gateways[0].batches.submit(spec)
            states = list(fleet.engines.engines.values())
            began = fleet.clock.now()
            for turn in range(12):
                states[turn % 2].down = True
                await fleet.wait(0.15)
                states[turn % 2].down = False
            results = await fleet.read_all(fleet.gateways[1], "batch")
            check_results(self, spec, results)
            self.assertLess(fleet.clock.now() - began, 6.0)

        run(play())

    def test_unresponsive_engine_is_replaced_by_another(self):
        """The link breaks: the engine accepts the request and then sends nothing."""

        async def play():
            fleet = PlatformFleet(1, 2)
            await fleet.wait(1.0)
            silent = next(iter(fleet.engines.engines.values()))
            silent.event_seconds = 1000.0
            spec = make_batch("batch", 16)
            await fleet.gateways[0].batches.submit(spec)
            began = fleet.clock.now()
            results = await fleet.read_all(fleet.gateways[0], "batch")
            check_results(self, spec, results)
            self.assertLess(fleet.clock.now() - began, 8.0)

        run(play())


if __name__ == "__main__":
    unittest.main()
