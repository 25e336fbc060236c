"""Tests of harmless items under which many servers crashed by themselves; then all is calm.

Guard against an item that is never placed again: it was handed in for later, and is still owed.
"""

import unittest

import orjson

from larkpost.gateway.blackboard.request_content import ContentDigest, digest_content
from larkpost.gateway.rollouts.model import ITEM_METHOD, BatchSpec, ResultState
from larkpost.gateway.rollouts.retry_rules import MAX_LOST_PAUSE_SECONDS
from larkpost.gateway.store.batch_tables import CRASH_PART, HEAD_TABLE
from larkpost.gateway.store.port import RowKey, Transaction
from larkpost.platform.stand_in.engine_state import expected_output
from tests.platform_checks import CONTACT_SECONDS
from tests.platform_fleet import SCORER_HOST, PlatformFleet, make_batch
from tests.test_quarantine_fleet import content_of
from tests.virtual import run

DOWN_SECONDS = 0.5
"""Time from a crash until the server is back."""
CRASH_AFTER_SECONDS = 0.1
"""Time from the arrival of an item at a server to the server's crash."""
EVENTS, EVENT_SECONDS = 20, 0.05
RUN_SECONDS = EVENTS * EVENT_SECONDS
CRASHES = 9
"""Crashes under each item; far more than the servers of the fleet."""
REFUSED_SECONDS = MAX_LOST_PAUSE_SECONDS + RUN_SECONDS
"""Time after the last crash for which the servers refuse all work, as while they load weights; it
ends soon after the longest pause of an item."""
IDLE_SECONDS = 5.0
"""The users' bound: an item may be at no server for this long, in steady state."""
PLACED_SECONDS = CONTACT_SECONDS + IDLE_SECONDS
"""Time after the last crash by which an item that keeps to that bound is at a server."""


class CrashingServers:
    """Servers that crash shortly after each of their next arrivals, for a number of times.

    Args:
        left: number of crashes.
        prefix: of the names of the servers that crash.
        event_seconds: time that engines take for an event of an item meanwhile.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        left: int,
        prefix: str = "engine",
        event_seconds: float = EVENT_SECONDS,
    ) -> None:
        self._fleet = fleet
        self._prefix = prefix
        self._event_seconds = event_seconds
        self.left = left
        self.crashed_at = fleet.now()

    async def run(self) -> None:
        """Crashes the server of each new arrival until none is left, or nothing arrives."""
        seen = len(self._fleet.arrivals)
        while self.left > 0 and self._fleet.now() - self.crashed_at < PLACED_SECONDS:
            for scorer in self._fleet.scorers():
                scorer.event_seconds = RUN_SECONDS / 2
            for engine in self._fleet.model_engines():
                engine.event_seconds = self._event_seconds
            await self._fleet.wait(CRASH_AFTER_SECONDS)
            arrivals = self._fleet.arrivals[seen:]
            seen = len(self._fleet.arrivals)
            names = {arrival.instance for arrival in arrivals}
            for instance in {name for name in names if name.startswith(self._prefix)}:
                self._fleet.engines.crash(instance)
                self.left -= 1
                self.crashed_at = self._fleet.now()


class OwedItemsTest(unittest.TestCase):
    """Fleets whose servers crashed under the same items again and again."""

    async def begin(self, scorers: int = 0) -> PlatformFleet:
        """Starts a fleet whose servers run a request for longer than until their crash."""
        fleet = PlatformFleet(gateways=2, engines=3, scorers=scorers)
        fleet.restart_seconds = DOWN_SECONDS
        fleet.engines.output_events = EVENTS
        for scorer in fleet.scorers():
            scorer.event_seconds = RUN_SECONDS / 2
        await fleet.wait(1.0)
        return fleet

    def check_listed(self, fleet: PlatformFleet, spec: BatchSpec) -> None:
        """Checks that all items are listed with their whole outputs."""
        results = fleet.stored_results(spec.id)
        expected = {item.id: len(expected_output(item.id, EVENTS)) for item in spec.items}
        self.assertEqual({ResultState.DONE}, {result.state for result in results})
        self.assertEqual(
            expected, {result.item: len(result.text.split("\n")) for result in results}
        )

    def check_placed(self, fleet: PlatformFleet, since: float) -> None:
        """Checks that a server got an item within the users' bound after a steady state began."""
        placed = [arrival.at for arrival in fleet.arrivals if arrival.at > since]
        self.assertTrue(placed, "nothing was placed again")
        self.assertLess(min(placed) - since, PLACED_SECONDS)

    def test_item_is_placed_again_however_many_servers_crashed_under_it(self):
        run(self.play("engine"))

    def test_reward_call_is_placed_again_however_many_servers_crashed_under_it(self):
        run(self.play("scorer"))

    # The next two guard against a refusal that begins the long pause after lost runs anew.
    def test_refusals_after_crashes_do_not_hold_an_item(self):
        run(self.play("engine", refuses=True))

    def test_refusals_after_crashes_do_not_hold_a_reward_call(self):
        run(self.play("scorer", refuses=True))

    async def play(self, servers: str, *, refuses: bool = False) -> None:
        """Plays servers that crash under one request, and checks that it is served afterwards.

        Args:
            servers: what the names of the servers that crash begin with.
            refuses: whether no output comes before a crash, so that the pause between two runs
                grows, and the servers refuse the request for a while after the last crash.
        """
        is_scored = servers == "scorer"
        fleet = await self.begin(scorers=3 if is_scored else 0)
        spec = make_batch(items=1, scored=is_scored)
        await fleet.submit(spec)
        event_seconds = 2 * CRASH_AFTER_SECONDS if refuses else EVENT_SECONDS
        crashing = CrashingServers(fleet, CRASHES, servers, event_seconds)
        await crashing.run()
        self.assertLessEqual(crashing.left, 0)
        if refuses:
            await fleet.wait(2 * DOWN_SECONDS)
            for state in fleet.engines.engines.values():
                state.loading_until = crashing.crashed_at + REFUSED_SECONDS
        await fleet.wait(PLACED_SECONDS + 2 * RUN_SECONDS)
        self.check_placed(fleet, crashing.crashed_at)
        self.check_listed(fleet, spec)

    def test_rows_of_earlier_crashes_hold_no_item(self):
        async def play():
            fleet = await self.begin(scorers=2)
            spec = make_batch(items=4, scored=True)
            for item in spec.items:
                self.store_crashes(fleet, content_of(spec, item))
                path = f"/s/{item.id}".encode()
                host = SCORER_HOST.encode()
                self.store_crashes(
                    fleet, digest_content(None, ITEM_METHOD, host, path, b"score it")
                )
            await fleet.wait(1.0)
            await fleet.submit(spec)
            await fleet.wait(IDLE_SECONDS)
            self.check_listed(fleet, spec)

        run(play())

    def store_crashes(self, fleet: PlatformFleet, content: ContentDigest) -> None:
        """Stores crashes and both trials of a content, as a daemon of the version before did."""
        names = [f"i{number}" for number in range(CRASHES)] + ["trial-1", "trial-2"]
        value = orjson.dumps({"at": fleet.now()})
        keys = [RowKey(HEAD_TABLE, CRASH_PART, f"{content}/{name}") for name in names]
        fleet.store.apply(Transaction(puts=tuple((key, value) for key in keys)))

    def test_carried_item_is_placed_in_a_later_batch(self):
        async def play():
            fleet = await self.begin()
            crashing = CrashingServers(fleet, CRASHES)
            first = make_batch(items=1)
            await fleet.submit(first)
            await crashing.run()
            self.assertLessEqual(crashing.left, 0)
            await fleet.gateways[0].batches.end(first.id)
            await fleet.wait(CONTACT_SECONDS)
            second: BatchSpec = make_batch("again", items=1)
            since = fleet.now()
            await fleet.submit(second, 1)
            await fleet.wait(IDLE_SECONDS + RUN_SECONDS)
            self.check_placed(fleet, since)
            self.check_listed(fleet, second)

        run(play())
