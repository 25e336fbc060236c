"""Tests of a lease time that the settings change while daemons run.

Guard against two holders that act on one subject closer to each other than the settings allow, and
against other reloaded times that go on with the value of the start.
"""

import ast
import unittest
from pathlib import Path

import orjson

import larkpost.gateway
from larkpost.common.clock import LoopClock
from larkpost.common.ids import DaemonId
from larkpost.gateway.assembly.environment import GatewaySettings
from larkpost.gateway.controllers.leases import LEASE_TABLE, Duty, LeaseSubject, LeaseTable
from larkpost.gateway.store.port import RowKey, Transaction
from larkpost.platform.settings_watch import RELOADABLE_TIMES
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient
from tests.platform_fleet import PlatformFleet
from tests.virtual import run

SUBJECT = LeaseSubject(Duty.ENGINE_ORDERS, "engine-0")
SHORT_SECONDS, LONG_SECONDS = 3.0, 6.0
POLL_SECONDS = 0.1
GATEWAY = Path(larkpost.gateway.__file__).parent
SETTINGS_NAMES = {"settings", "_settings"}
READ_ONCE = {("daemon.py", "grace_time")}
"""Times that are handed on as numbers, by module: the stop begins with the value of its moment."""


class LeaseTimeTest(unittest.TestCase):
    """Two holders whose settings change."""

    def begin(self) -> None:
        """Creates two holders of one store, each with settings of its own."""
        clock = LoopClock()
        self.clock, self.store = clock, MemoryStore(clock)
        self.settings = [GatewaySettings(name, lease_time=SHORT_SECONDS) for name in "ab"]
        self.holders = [
            LeaseTable(
                DaemonId(f"{own.machine}/1"),
                StoreClient(self.store),
                clock,
                lambda own=own: own.lease_time,
            )
            for own in self.settings
        ]

    async def seconds_until_second(self) -> float:
        """Returns the time from the end of the first holder's lease until the second gets one."""
        lease = await self.holders[0].take(SUBJECT)
        ended_at = lease.usable_until
        while await self.holders[1].take(SUBJECT) is None:
            await self.clock.sleep(POLL_SECONDS)
        return self.clock.now() - ended_at

    def set_lease_time(self, *seconds: float) -> None:
        """Changes the settings of the holders in place, as a reload does."""
        for own, value in zip(self.settings, seconds, strict=True):
            own.lease_time = value

    def test_longer_time_holds_for_the_next_lease(self):
        async def play():
            self.begin()
            await self.holders[0].take(SUBJECT)
            await self.clock.sleep(20.0)
            self.set_lease_time(LONG_SECONDS, LONG_SECONDS)
            self.assertGreater(await self.seconds_until_second(), LONG_SECONDS)

        run(play())

    def test_longer_time_holds_for_a_lease_that_was_taken_before(self):
        async def play():
            self.begin()
            self.set_lease_time(SHORT_SECONDS, LONG_SECONDS)
            self.assertGreater(await self.seconds_until_second(), LONG_SECONDS)

        run(play())

    def test_shorter_time_does_not_shorten_a_lease_that_was_taken_before(self):
        async def play():
            self.begin()
            self.set_lease_time(LONG_SECONDS, SHORT_SECONDS)
            self.assertGreater(await self.seconds_until_second(), LONG_SECONDS)

        run(play())

    def test_row_of_an_earlier_version_keeps_its_time(self):
        async def play():
            self.begin()
            key = RowKey(LEASE_TABLE, SUBJECT.duty, SUBJECT.name)
            value = orjson.dumps({"holder": "a/1", "free_at": self.clock.now() + 4.0})
            self.store.apply(Transaction(puts=((key, value),)))
            await self.clock.sleep(3.9)
            self.assertIsNone(await self.holders[1].take(SUBJECT))
            await self.clock.sleep(0.2)
            self.assertIsNotNone(await self.holders[1].take(SUBJECT))

        run(play())

    def test_daemon_takes_a_longer_time_from_its_settings(self):
        async def play():
            fleet = PlatformFleet(gateways=2, engines=1)
            await fleet.wait(1.0)
            first, second = (gateway.leased_controllers.leases for gateway in fleet.gateways)
            for gateway in fleet.gateways:
                gateway.settings.lease_time = LONG_SECONDS
            lease = await first.take(LeaseSubject(Duty.SCALING, "x"))
            while await second.take(LeaseSubject(Duty.SCALING, "x")) is None:
                await fleet.wait(POLL_SECONDS)
            self.assertGreater(fleet.clock.now() - lease.usable_until, LONG_SECONDS)

        run(play())


class ReloadedTimesTest(unittest.TestCase):
    """How the gateway reads the times that a reload changes."""

    def test_reloaded_times_are_read_at_each_use(self):
        """Each of them is returned by a function; a number that is handed on stays as it was."""
        found = set()
        for path in sorted(GATEWAY.rglob("*.py")):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            returned = {
                id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Return)
            } | {id(node.body) for node in ast.walk(tree) if isinstance(node, ast.Lambda)}
            for node in ast.walk(tree):
                if self._is_reloaded(node) and id(node) not in returned:
                    found.add((path.name, node.attr))
        self.assertEqual(READ_ONCE, found)

    @staticmethod
    def _is_reloaded(node: ast.AST) -> bool:
        if not isinstance(node, ast.Attribute) or node.attr not in RELOADABLE_TIMES:
            return False
        owner = node.value
        name = owner.attr if isinstance(owner, ast.Attribute) else getattr(owner, "id", "")
        return name in SETTINGS_NAMES


if __name__ == "__main__":
    unittest.main()
