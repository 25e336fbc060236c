"""Tests of requests that crash each server, and are retried at any daemon under new ids."""

import asyncio
import itertools
import unittest

from larkpost.gateway.blackboard.request_content import ContentDigest, digest_content
from larkpost.gateway.quarantine.trial_claims import TRIAL_DELAYS_SECONDS
from larkpost.gateway.rollouts.model import ITEM_METHOD, BatchSpec, Item, ResultState
from larkpost.gateway.rollouts.retry_rules import MAX_LOST_PAUSE_SECONDS
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_callers import Caller
from tests.platform_checks import CONTACT_SECONDS
from tests.platform_fleet import ROUTE, SCORER_HOST, PlatformFleet, make_batch
from tests.platform_oracle import PlatformOracle
from tests.virtual import run

CRASHING = b"/s/crashing"
CONTENT = digest_content(None, "POST", SCORER_HOST.encode(), CRASHING, b"")
SERVERS = 3
REPEATS = 6
PAUSE_SECONDS = 4.0
"""Time between two retries, after which crashed servers are back."""
BATCH_SECONDS = 25.0
IDLE_SECONDS = 5.0
"""The users' bound: an item may be at no server for this long, in steady state."""
PACED_ARRIVALS = 9
"""Runs of what crashes its servers, from which the pause between two has its upper bound."""
SAVED_SECONDS = 0.1
"""Time after which a crash is in the store."""
OUTAGE_SECONDS = 6.0


async def begin(gateways: int = 3) -> tuple[PlatformFleet, Caller]:
    """Starts a fleet whose servers crash under one request, and returns it with a client."""
    fleet = PlatformFleet(gateways, engines=0, scorers=SERVERS)
    fleet.engines.crashing.add(CRASHING)
    await fleet.wait(1.0)
    return fleet, Caller(fleet)


def content_of(spec: BatchSpec, item: Item) -> ContentDigest:
    """Returns the content of an item."""
    return digest_content(
        spec.tenant, ITEM_METHOD, spec.host.encode(), item.path.encode(), item.body
    )


class RepeatedCrashesTest(unittest.TestCase):
    """A fleet, its servers, and requests that crash them."""

    def test_client_request_retried_at_other_daemons(self):
        async def play():
            fleet, caller = await begin()
            for repeat in range(REPEATS):
                self.assertNotEqual(200, await caller.ask_twice(repeat, CRASHING))
                await fleet.wait(PAUSE_SECONDS)
            PlatformOracle(fleet).check_crashes()
            self.assertEqual(200, await caller.ask(0, b"/s/another"))

        run(play())

    def test_daemon_that_starts_later_knows(self):
        async def play():
            fleet, caller = await begin(gateways=2)
            await caller.ask_twice(0, CRASHING)
            await fleet.wait(SAVED_SECONDS)
            fleet.kill(0)
            fleet.kill(1)
            fleet.add_gateway("daemon-2")
            await fleet.wait(PAUSE_SECONDS)
            before = len(fleet.sends)
            self.assertEqual(503, await caller.ask(2, CRASHING))
            self.assertEqual(before, len(fleet.sends))
            self.assertEqual(200, await caller.ask(2, b"/s/another"))

        run(play())

    def test_crashes_during_a_store_outage_are_shared_afterwards(self):
        async def play():
            fleet, caller = await begin()
            fleet.store.faults = StoreFaults(down=True)
            await caller.ask_twice(0, CRASHING)
            await fleet.wait(OUTAGE_SECONDS)
            fleet.store.faults = StoreFaults()
            await fleet.wait(CONTACT_SECONDS)
            self.assertEqual(
                [3, 3, 3], [g.blackboard.crashes.count(CONTENT) for g in fleet.gateways]
            )
            before = len(fleet.arrivals)
            self.assertEqual({502, 503}, await self.ask_all(caller))
            self.assertEqual(before + 1, len(fleet.arrivals))  # exactly one trial is due by now
            self.assertEqual({503}, await self.ask_all(caller))
            self.assertEqual(before + 1, len(fleet.arrivals))

        run(play())

    def test_requests_that_ran_alongside_are_still_served(self):
        async def play():
            fleet, caller = await begin()
            for repeat in range(REPEATS):
                crashing = f"/s/crashing-{repeat}".encode()
                fleet.engines.crashing.add(crashing)
                for scorer in fleet.scorers():
                    scorer.event_seconds = 0.2  # so that it runs at the servers when they crash
                beside = [caller.ask_twice(repeat + n, b"/s/beside") for n in range(2)]
                await asyncio.gather(caller.ask_twice(repeat, crashing), *beside)
                await fleet.wait(TRIAL_DELAYS_SECONDS[0] + SAVED_SECONDS)
                self.assertEqual(200, await caller.ask(repeat, b"/s/beside"))
            PlatformOracle(fleet).check_crashes()

        run(play())

    def test_quarantined_request_gets_two_trials_in_the_whole_fleet(self):
        async def play():
            fleet, caller = await begin()
            await caller.ask_twice(0, CRASHING)
            for pause in TRIAL_DELAYS_SECONDS:
                before = len(fleet.arrivals)
                await fleet.wait(pause - 1.0)
                self.assertEqual({503}, await self.ask_all(caller))
                self.assertEqual(before, len(fleet.arrivals))
                await fleet.wait(1.0 + SAVED_SECONDS)
                self.assertEqual({502, 503}, await self.ask_all(caller))
                self.assertEqual(before + 1, len(fleet.arrivals))
            await fleet.wait(20.0)
            self.assertEqual({503}, await self.ask_all(caller))
            PlatformOracle(fleet).check_crashes()

        run(play())

    async def ask_all(self, caller: Caller) -> set[int]:
        """Sends the crashing request to all daemons at once, and returns their responses."""
        return set(await asyncio.gather(*(caller.ask(n, CRASHING) for n in range(3))))

    def test_no_trial_is_made_without_the_store(self):
        async def play():
            fleet, caller = await begin()
            await caller.ask_twice(0, CRASHING)
            fleet.store.faults = StoreFaults(down=True)
            await fleet.wait(TRIAL_DELAYS_SECONDS[0] + SAVED_SECONDS)
            before = len(fleet.arrivals)
            self.assertEqual({503}, await self.ask_all(caller))
            self.assertEqual(before, len(fleet.arrivals))

        run(play())

    def check_paced(self, fleet: PlatformFleet, target: bytes, since: float = 0.0) -> None:
        """Checks that what crashes its servers is tried more and more rarely, and never given up.

        Users allow an item to be at no server for 5 s.

        Args:
            since: time from which its owner counts the crashes.
        """
        arrivals = [
            arrival.at
            for arrival in fleet.arrivals
            if arrival.target == target and arrival.at >= since
        ]
        gaps = [later - earlier for earlier, later in itertools.pairwise(arrivals)]
        self.assertGreaterEqual(min(gaps[PACED_ARRIVALS:]), MAX_LOST_PAUSE_SECONDS)
        self.assertLess(max(gaps), IDLE_SECONDS)
        self.assertLess(fleet.now() - arrivals[-1], IDLE_SECONDS)

    def test_next_owner_of_a_batch_runs_all_harmless_items(self):
        async def play():
            fleet = PlatformFleet(gateways=3, engines=6)
            fleet.engines.crashing.add(b"/r/5")
            await fleet.wait(1.0)
            owner = await fleet.submit(make_batch(items=12))
            await fleet.wait(1.0)
            fleet.kill(owner)
            await fleet.wait(BATCH_SECONDS)
            self.check_paced(fleet, b"/r/5", since=2.0)
            self.assertEqual(11, len(fleet.stored_results("batch")))

        run(play())

    def test_item_that_crashes_engines_fails_after_its_lifetime(self):
        async def play():
            fleet = PlatformFleet(gateways=2, engines=6)
            fleet.engines.crashing.add(b"/r/5")
            await fleet.wait(1.0)
            await fleet.submit(make_batch(items=12))
            await fleet.wait(ROUTE.queue_lifetime - 2.0)
            self.assertEqual(11, len(fleet.stored_results("batch")))
            await fleet.wait(4.0)
            dead = [r.item for r in fleet.stored_results("batch") if r.state is ResultState.DEAD]
            self.assertEqual(["batch-5"], dead)

        run(play())

    def test_item_that_crashes_engines_is_tried_more_and_more_rarely(self):
        async def play():
            fleet = PlatformFleet(gateways=3, engines=6)
            fleet.engines.crashing.add(b"/r/5")
            await fleet.wait(1.0)
            spec = make_batch(items=12)
            await fleet.submit(spec)
            await fleet.wait(BATCH_SECONDS)
            self.check_paced(fleet, b"/r/5")
            listed = {result.item for result in fleet.stored_results("batch")}
            self.assertEqual({item.id for item in spec.items} - {"batch-5"}, listed)

        run(play())

    def test_items_alongside_two_crashing_ones_are_listed(self):
        async def play():
            fleet = PlatformFleet(gateways=2, engines=2)
            fleet.engines.crashing |= {b"/r/0", b"/r/1"}
            await fleet.wait(1.0)
            spec = make_batch(items=28)
            await fleet.submit(spec)
            await fleet.wait(ROUTE.queue_lifetime - 9.0 - fleet.now())
            PlatformOracle.of_batch(fleet, spec).check()
            listed = {result.item for result in fleet.stored_results("batch")}
            self.assertEqual({item.id for item in spec.items} - {"batch-0", "batch-1"}, listed)

        run(play())

    def test_reward_call_that_crashes_servers_is_tried_more_and_more_rarely(self):
        async def play():
            fleet = PlatformFleet(gateways=3, engines=3, scorers=SERVERS)
            fleet.engines.crashing.add(b"/s/batch-5")
            await fleet.wait(1.0)
            spec = make_batch(items=12, scored=True)
            await fleet.submit(spec)
            await fleet.wait(BATCH_SECONDS)
            self.check_paced(fleet, b"/s/batch-5")
            listed = {result.item for result in fleet.stored_results("batch")}
            self.assertEqual({item.id for item in spec.items} - {"batch-5"}, listed)

        run(play())
