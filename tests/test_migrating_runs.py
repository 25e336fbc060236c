"""Tests of runs that move to a faster engine while their item's route changes or their batch ends.

Guard against a daemon that hangs, or loses a slot for good, once a slot is reserved for a run that
cannot go on.
"""

import asyncio
import unittest
from collections import Counter
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

from larkpost.gateway.blackboard.configuration import Service, ServiceName, ServiceShare
from larkpost.gateway.blackboard.directory import InstanceState
from larkpost.gateway.rollouts.faster_engine import MigrateRunError
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.item_runner import ItemRunner
from larkpost.gateway.rollouts.model import ResultState
from larkpost.gateway.rollouts.retry_rules import RunOutcome
from tests.platform_fleet import CONFIGURATION, CONFIGURATIONS, ROUTE, PlatformFleet, make_batch
from tests.scripted_engines import ScriptedEngines
from tests.virtual import run

OTHER = ServiceName("other-engines")
EVENTS, FAST_SECONDS, SLOW_SECONDS = 60, 0.03, 0.09
SLOTS = 8
"""Slots of an engine of the fleet."""
MAX_ROUNDS = 1_000
"""Rounds at one moment of virtual time from which a loop counts as endless."""
CLOSED = replace(CONFIGURATION, version=2, routes=CONFIGURATION.routes[1:])
REOPENED = replace(CONFIGURATION, version=3)
SERVED_ELSEWHERE = replace(
    CONFIGURATION,
    version=2,
    routes=(replace(ROUTE, shares=(ServiceShare(OTHER, 1.0),)), *CONFIGURATION.routes[1:]),
    services=CONFIGURATION.services | {OTHER: Service(OTHER, 100)},
)
EXPIRED = replace(
    CONFIGURATION,
    version=2,
    routes=(replace(ROUTE, queue_lifetime=0.5), *CONFIGURATION.routes[1:]),
)
ZERO_LIMITS = replace(
    CONFIGURATION,
    version=2,
    routes=(
        replace(ROUTE, max_attempts=0, time_limit=0.0, objective=0.0, due=0.0, queue_lifetime=0.0),
        *CONFIGURATION.routes[1:],
    ),
)
NAMES = {
    b"zero": ZERO_LIMITS,
    b"closed": CLOSED,
    b"reopened": REOPENED,
    b"elsewhere": SERVED_ELSEWHERE,
    b"expired": EXPIRED,
}


class MigratingRunsTest(unittest.TestCase):
    """Items at a slow engine; those at a fast one have just ended, so the others move there."""

    def setUp(self) -> None:
        """Counts the rounds of the items' loops at each moment of virtual time."""
        self.rounds: Counter[float] = Counter()
        route_of = ItemRoutes.route_of

        def count_round(routes: ItemRoutes, item):
            now = asyncio.get_running_loop().time()
            self.rounds[now] += 1
            if self.rounds[now] > MAX_ROUNDS:
                raise RuntimeError("the loop goes round without waiting")
            return route_of(routes, item)

        for patch in (
            mock.patch.object(ItemRoutes, "route_of", count_round),
            mock.patch.dict(CONFIGURATIONS, NAMES),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    async def begin(self) -> None:
        """Runs a batch until the first run is about to move; all slots were taken before."""
        self.fleet = PlatformFleet(gateways=1, engines=2)
        self.fleet.engines.output_events = EVENTS
        fast, slow = self.fleet.model_engines()
        fast.event_seconds, slow.event_seconds = FAST_SECONDS, SLOW_SECONDS
        self.gateway = self.fleet.gateways[0]
        await self.fleet.wait(1.0)
        await self.run_batch("warm")
        self.spec = make_batch("batch", 2 * SLOTS)
        await self.fleet.submit(self.spec)

    async def run_batch(self, name: str) -> None:
        """Runs a batch to its end, by which the daemon learns the speeds of the engines."""
        spec = make_batch(name, 2 * SLOTS)
        await self.fleet.submit(spec)
        await self.fleet.read_all(self.gateway, spec.id)
        await self.gateway.batches.end(spec.id)

    async def change_as_a_run_moves(self, change: Callable[[], None]) -> None:
        """Makes a change at the moment at which a run ends to go on at the fast engine."""
        moved = asyncio.Event()
        run_at = ItemRunner._run_at

        async def change_after(runner, item_run):
            outcome = await run_at(runner, item_run)
            is_reserved = item_run.item.id in runner._slot_queue.reservations
            if outcome is RunOutcome.RETRY and is_reserved and not moved.is_set():
                change()
                moved.set()
            return outcome

        with mock.patch.object(ItemRunner, "_run_at", change_after):
            async with asyncio.timeout(EVENTS * SLOW_SECONDS):
                await moved.wait()

    def configure(self, name: bytes) -> None:
        """Has the daemon take a configuration now."""
        self.gateway.blackboard.configuration.update(NAMES[name])

    async def check_slots(self) -> None:
        """Checks that the daemon counts no slot as taken once no engine runs anything."""
        await self.fleet.wait(EVENTS * SLOW_SECONDS + 1.0)
        for name, engine in self.fleet.engines.engines.items():
            taken = self.gateway.balancer.use(name).outstanding
            self.assertEqual((0, 0), (engine.running, taken), name)
        self.assertLess(max(self.rounds.values()), MAX_ROUNDS)

    def states(self) -> set[ResultState]:
        """Returns the states of all results, which must be listed."""
        results = self.fleet.stored_results(self.spec.id)
        self.assertEqual(len(self.spec.items), len(results))
        return {result.state for result in results}

    def test_route_is_removed_as_a_run_moves(self):
        async def play():
            await self.begin()
            await self.change_as_a_run_moves(lambda: self.configure(b"closed"))
            await self.check_slots()

        run(play())

    def test_route_is_removed_before_slots_are_free_at_the_fast_engine(self):
        async def play():
            await self.begin()
            await self.fleet.wait(EVENTS * FAST_SECONDS / 2)
            self.fleet.put("operator", "configuration", b"closed")
            await self.check_slots()
            self.assertEqual({ResultState.DONE}, self.states())  # the runs go on where they are

        run(play())

    def test_items_go_on_once_their_route_is_back(self):
        async def play():
            await self.begin()
            await self.change_as_a_run_moves(lambda: self.configure(b"closed"))
            await self.fleet.wait(1.0)
            self.configure(b"reopened")
            await self.check_slots()
            self.assertEqual({ResultState.DONE}, self.states())

        run(play())

    def test_route_leads_to_another_service(self):
        async def play():
            await self.begin()
            before = len(self.fleet.arrivals)
            await self.change_as_a_run_moves(lambda: self.configure(b"elsewhere"))
            await self.check_slots()
            moved = [arrival.instance for arrival in self.fleet.arrivals[before + 2 * SLOTS :]]
            self.assertEqual([], moved)

        run(play())

    def test_limits_of_the_route_become_zero(self):
        async def play():
            await self.begin()
            await self.change_as_a_run_moves(lambda: self.configure(b"zero"))
            await self.check_slots()
            self.assertEqual({ResultState.DONE}, self.states())

        run(play())

    def test_trainer_ends_the_batch(self):
        async def play():
            await self.begin()
            end = self.gateway.batches.end
            ending = []
            await self.change_as_a_run_moves(
                lambda: ending.append(asyncio.create_task(end(self.spec.id)))
            )
            await self.check_slots()

        run(play())

    def test_items_expire(self):
        async def play():
            await self.begin()
            await self.change_as_a_run_moves(lambda: self.configure(b"expired"))
            await self.check_slots()
            self.assertIn(ResultState.DEAD, self.states())

        run(play())

    def test_batch_is_cancelled(self):
        async def play():
            await self.begin()
            owned = self.gateway.batch_manager._owned[self.spec.id]
            await self.change_as_a_run_moves(owned.stop)
            await self.check_slots()

        run(play())

    def test_batch_is_cancelled_while_the_connection_of_the_run_closes(self):
        async def play():
            await self.begin()
            closes = asyncio.Event()
            send = ScriptedEngines.send

            @asynccontextmanager
            async def close_slowly(servers, instance, request):
                async with send(servers, instance, request) as response:
                    try:
                        yield response
                    except MigrateRunError:
                        closes.set()
                        await self.fleet.wait(0.1)
                        raise

            await self.gateway.batches.end(self.spec.id)
            with mock.patch.object(ScriptedEngines, "send", close_slowly):
                self.spec = make_batch("second", 2 * SLOTS)
                await self.fleet.submit(self.spec)
                owned = self.gateway.batch_manager._owned[self.spec.id]
                async with asyncio.timeout(EVENTS * SLOW_SECONDS):
                    await closes.wait()
                owned.stop()
                await self.check_slots()

        run(play())

    def test_fast_engine_leaves(self):
        async def play():
            await self.begin()
            fast = next(iter(self.fleet.engines.engines))
            leave = self.fleet.add_engine
            await self.change_as_a_run_moves(lambda: leave(fast, InstanceState.LEAVING))
            await self.check_slots()
            self.assertEqual({ResultState.DONE}, self.states())

        run(play())

    def test_fast_engine_is_gone(self):
        async def play():
            await self.begin()
            fast = next(iter(self.fleet.engines.engines))
            directory = self.gateway.blackboard.directory

            def remove():
                self.fleet.engines.engines[fast].down = True
                directory.remove(
                    self.gateway.blackboard.directory.get(fast).name, store_healthy=True
                )

            await self.change_as_a_run_moves(remove)
            await self.check_slots()
            self.assertEqual({ResultState.DONE}, self.states())

        run(play())


if __name__ == "__main__":
    unittest.main()
