"""Tests that a fleet keeps the request limit of cold servers, and still makes progress."""

import asyncio
import unittest

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.cold_views import (
    ENGINE,
    LONG_SECONDS,
    NEW_ENGINE,
    OTHER_ENGINE,
)
from tests.platform_checks import SECOND
from tests.platform_fleet import (
    COLD_SECONDS,
    COLD_TERMS,
    PlatformFleet,
    check_results,
    make_batch,
)
from tests.platform_oracle import PlatformOracle
from tests.virtual import run


class FleetTest(unittest.TestCase):
    """Three concurrent batch owners."""

    def play(self, work, engines: int = 0, cold: ColdTerms | None = COLD_TERMS) -> None:
        """Runs a test with a fleet in virtual time."""

        async def begin() -> None:
            self.fleet = PlatformFleet(gateways=3, engines=engines, cold=cold)
            self.oracle = PlatformOracle(self.fleet)
            await self.fleet.wait(4.0)
            await work()
            self.oracle.check()

        run(begin())

    def submit_everywhere(self, items: int = 24) -> list:
        """Submits a batch to each daemon at the same time."""
        self.specs = [make_batch(f"batch-{number}", items) for number in range(3)]
        return [
            asyncio.create_task(self.oracle.submit(gateway, spec))
            for gateway, spec in zip(self.fleet.gateways, self.specs, strict=True)
        ]

    async def finish(self, seconds: int = 60) -> None:
        """Waits until all batches are complete."""
        for _ in range(seconds):
            if len(self.oracle.accepted) == len(self.specs) and not self.oracle.missing():
                break
            await self.fleet.wait(1.0)
        self.oracle.check()
        for spec in self.specs:
            check_results(self, spec, self.fleet.stored_results(spec.id))

    def test_three_owners_fill_a_new_engine_at_once(self) -> None:
        async def work() -> None:
            await asyncio.gather(*self.submit_everywhere())
            await self.fleet.wait(2.0)
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            await self.finish()
            self.assertGreater(len(state.cold_arrivals), 3 * 24 - 1)

        self.play(work)

    def test_batches_that_start_while_all_engines_are_cold_progress(self) -> None:
        async def work() -> None:
            for number in range(4):
                self.fleet.start_cold_engine(InstanceId(f"cold-{number}"), LONG_SECONDS)
            await self.fleet.wait(0.5)
            began = self.fleet.clock.now()
            await asyncio.gather(*self.submit_everywhere())
            await self.finish()
            self.assertLess(self.fleet.clock.now() - began, 5.0)

        self.play(work)

    def test_rejected_sends_count_towards_the_bound(self) -> None:
        async def work() -> None:
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            state.slots = 0
            await asyncio.gather(*self.submit_everywhere())
            await self.fleet.wait(5.0)
            self.assertGreater(len(state.cold_arrivals), 10)
            state.slots = 8
            await self.finish()

        self.play(work)

    def test_retried_sends_count_towards_the_bound(self) -> None:
        async def work() -> None:
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            state.break_after = 1
            await asyncio.gather(*self.submit_everywhere())
            await self.fleet.wait(5.0)
            self.assertGreater(len(state.cold_arrivals), 10)
            state.break_after = None
            await self.finish()

        self.play(work)

    def test_cold_engine_gets_requests_during_a_store_outage(self) -> None:
        async def work() -> None:
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            await asyncio.gather(*self.submit_everywhere(60))
            await self.fleet.wait(1.5)
            self.fleet.store.faults = StoreFaults(down=True)
            before = len(state.cold_arrivals)
            await self.fleet.wait(6.0)
            self.assertGreater(len(state.cold_arrivals), before)
            self.fleet.store.faults = StoreFaults()
            await self.finish()

        self.play(work)

    def test_two_owners_are_cut_off_while_others_take_their_batches(self) -> None:
        async def work() -> None:
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            await asyncio.gather(*self.submit_everywhere(60))
            await self.fleet.wait(1.5)
            self.fleet.clients[0].cut_off = self.fleet.clients[1].cut_off = True
            self.fleet.add_gateway("daemon-3")
            await self.fleet.wait(6.0)
            self.assertGreater(len(state.cold_arrivals), 20)
            self.fleet.clients[0].cut_off = self.fleet.clients[1].cut_off = False
            await self.finish()

        self.play(work)

    def test_engine_turns_cold_and_only_its_responses_report_it(self) -> None:
        async def work() -> None:
            state = self.fleet.engines.engines[ENGINE]
            state.event_seconds = 0.01
            tasks = self.submit_everywhere(80)
            await asyncio.gather(*tasks)
            await self.fleet.wait(0.5)
            state.cold_until = self.fleet.clock.now() + LONG_SECONDS
            state.cold_known_from = self.fleet.clock.now() + SECOND
            await self.finish()
            self.assertGreater(len(state.cold_arrivals), 10)

        self.play(work, engines=1)

    def test_cold_engines_come_last(self) -> None:
        async def work() -> None:
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            await self.fleet.wait(0.5)
            for gateway in self.fleet.gateways:  # the cold engine was fast before it turned cold
                for name, pace in ((NEW_ENGINE, 0.01), (ENGINE, 0.03), (OTHER_ENGINE, 0.03)):
                    gateway.balancer.record_service_time(name, pace)
            self.specs = [make_batch("batch", 8)]
            await self.oracle.submit(self.fleet.gateways[0], self.specs[0])
            await self.finish()
            self.assertEqual([], state.runs)

        self.play(work, engines=2)

    def test_deployment_without_limits_fills_cold_engines_like_others(self) -> None:
        async def work() -> None:
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            await self.fleet.wait(0.5)
            self.specs = [make_batch("batch", 16)]
            await self.oracle.submit(self.fleet.gateways[0], self.specs[0])
            await self.fleet.wait(0.1)
            self.assertEqual(8, state.running)
            await self.finish()

        self.play(work, engines=1, cold=None)

    def test_gauge_of_cold_instances(self) -> None:
        async def work() -> None:
            self.fleet.start_cold_engine(NEW_ENGINE, 2.0)
            await self.fleet.wait(0.5)
            gateway = self.fleet.gateways[0]
            self.assertIn(b"larkpost_instances_cold 1.0", gateway.read_metrics())
            await self.fleet.wait(COLD_SECONDS)
            self.assertIn(b"larkpost_instances_cold 0.0", gateway.read_metrics())

        self.play(work)


if __name__ == "__main__":
    unittest.main()
