"""A suspended machine: CLOCK_MONOTONIC stops, so no deadline may rely on it."""

import ast
import asyncio
import time
import unittest
from unittest import mock

from larkpost.common import steady_time
from larkpost.common.clock import LoopClock
from larkpost.common.steady_time import SteadyLoop, run_on_steady_loop
from larkpost.gateway.controllers.leases import Duty, LeaseSubject
from tests.platform_checks import LEASE_SECONDS
from tests.platform_fleet import MODEL, PlatformFleet
from tests.platform_oracle import PlatformOracle
from tests.test_swallowed_errors import MODULES, PACKAGES, SOURCES
from tests.virtual import run

SUSPENDED_SECONDS = 10.0
PLAIN_CLOCKS = {"monotonic", "monotonic_ns", "perf_counter", "CLOCK_MONOTONIC"}


class Suspension:
    """The machine's clocks under test control; suspended time counts only on CLOCK_BOOTTIME."""

    def __init__(self) -> None:
        self.suspended = 0.0
        self._gettime = time.clock_gettime

    def clock_gettime(self, clock: int) -> float:
        """Returns a clock's seconds."""
        seconds = self._gettime(clock)
        return seconds + self.suspended if clock == time.CLOCK_BOOTTIME else seconds


class SteadyLoopTest(unittest.TestCase):
    """A daemon's event loop on a machine that is suspended."""

    def play(self, work) -> None:
        """Runs a coroutine on such a loop."""
        self.machine = Suspension()
        with mock.patch.object(steady_time.time, "clock_gettime", self.machine.clock_gettime):
            run_on_steady_loop(work())

    def test_clock_counts_suspended_time(self):
        async def work():
            self.assertIsInstance(asyncio.get_running_loop(), SteadyLoop)
            before = LoopClock().now()
            self.machine.suspended += SUSPENDED_SECONDS
            self.assertGreaterEqual(LoopClock().now() - before, SUSPENDED_SECONDS)

        self.play(work)

    def test_timeout_that_passed_while_suspended_fires_at_once(self):
        async def work():
            began = time.monotonic()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(SUSPENDED_SECONDS / 2):
                    await asyncio.sleep(0.01)
                    self.machine.suspended += SUSPENDED_SECONDS
                    await asyncio.sleep(0.01)
                    await asyncio.sleep(0.01)
            self.assertLess(time.monotonic() - began, 1.0)

        self.play(work)

    def test_nothing_in_use_reads_the_plain_clock(self):
        paths = [path for name in PACKAGES for path in sorted((SOURCES / name).rglob("*.py"))]
        paths += [SOURCES / name for name in MODULES]
        found = [
            f"{path.relative_to(SOURCES)}:{node.lineno}"
            for path in paths
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
            if _reads_plain_clock(node)
        ]
        self.assertEqual([], found)


def _reads_plain_clock(node: ast.AST) -> bool:
    if isinstance(node, ast.Attribute):
        return node.attr in PLAIN_CLOCKS and isinstance(node.ctx, ast.Load)
    if isinstance(node, ast.ImportFrom):
        return node.module == "time" and any(name.name in PLAIN_CLOCKS for name in node.names)
    return False


class SuspendedDaemonTest(unittest.TestCase):
    """A fleet with a suspended daemon."""

    def test_lease_taken_before_suspension_has_expired(self):
        async def play():
            fleet = PlatformFleet(gateways=1, engines=1)
            await fleet.wait(1.0)
            leases = fleet.gateways[0].leased_controllers.leases
            clock = fleet.clocks[0]
            lease = await leases.take(LeaseSubject(Duty.ENGINE_ORDERS, "engine-0"))
            clock.suspend()
            await fleet.wait(SUSPENDED_SECONDS)
            clock.wake()
            self.assertLess(lease.usable_until, clock.now())

        run(play())

    def test_orders_of_suspended_daemons_never_overlap(self):
        async def play():
            fleet = PlatformFleet(gateways=3, engines=4)
            oracle = PlatformOracle(fleet)
            await fleet.wait(1.0)
            for version in range(2, 14):
                fleet.put("operator", MODEL, str(version).encode())
                clock = fleet.clocks[version % 3]
                await fleet.wait(0.02 * version)  # at a different point of its orders each time
                clock.suspend()
                await fleet.wait(LEASE_SECONDS + 1.5)
                clock.wake()
                await fleet.wait(0.5)
                oracle.check()
            await fleet.wait(LEASE_SECONDS + 3.0)
            oracle.check()
            self.assertEqual({13}, {state.versions[MODEL] for state in fleet.model_engines()})

        run(play())
