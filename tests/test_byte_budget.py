"""Tests of the memory budget, the limit per response, and which client is disconnected."""

import asyncio
import math
import random
import unittest
from collections import deque
from contextlib import AsyncExitStack
from unittest import mock

from larkpost.common.clock import LoopClock
from larkpost.gateway.memory.budget import (
    MIN_RESPONSE_LIMIT_BYTES,
    RESPONSE_LIMIT_DIVISOR,
    RETRY_AFTER_SECONDS,
    SMALL_BODIES_FRACTION,
    MemoryBudget,
    MemoryBudgetError,
    MemoryPurpose,
)
from larkpost.gateway.memory.daemon_memory import DaemonMemory, unlimited_memory
from larkpost.gateway.memory.sizing import MIN_BUDGET_BYTES, RESERVED_BYTES, byte_budget_for
from larkpost.gateway.memory.slow_clients import MIN_SLOW_SECONDS, ReadRate, slowest_client
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.request import StreamedResponse
from tests.recording_log import RecordingLog

MB = 1_000_000


class MemoryBudgetTest(unittest.TestCase):
    """A budget of 10 MB."""

    def setUp(self):
        self.budget = MemoryBudget(10 * MB, random.Random(1))

    def test_bytes_are_counted_by_purpose_and_released_at_the_end(self):
        with self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 3 * MB) as body:
            self.budget.reserve(MemoryPurpose.RESPONSES, MB)
            body.grow(MB)
            self.assertEqual(4 * MB, self.budget.held(MemoryPurpose.REQUEST_BODIES))
            self.assertEqual((5 * MB, 5 * MB), (self.budget.total, self.budget.free))
        self.assertEqual(0, self.budget.held(MemoryPurpose.REQUEST_BODIES))
        self.assertEqual(MB, self.budget.total)

    def test_bytes_are_released_on_an_exception(self):
        with self.assertRaises(ValueError), self.budget.reserve(MemoryPurpose.RESPONSES, MB):
            raise ValueError
        self.assertEqual(0, self.budget.total)

    def test_rejected_reservation_keeps_the_others(self):
        self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 10 * MB)
        with self.assertRaises(MemoryBudgetError):
            self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 1)
        self.assertEqual(10 * MB, self.budget.total)

    def test_empty_reservation_is_never_rejected(self):
        self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 10 * MB)
        self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 0)

    def test_rejected_growth_keeps_the_reserved_bytes(self):
        body = self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 9 * MB)
        with self.assertRaises(MemoryBudgetError):
            body.grow(2 * MB)
        self.assertEqual((9 * MB, 9 * MB), (body.size, self.budget.total))

    def test_retries_of_rejected_callers_are_spread(self):
        self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 10 * MB)
        waits = {self.budget.budget_error(1).retry_after for _ in range(20)}
        self.assertGreater(len(waits), 15)
        self.assertGreaterEqual(min(waits), RETRY_AFTER_SECONDS)
        self.assertLessEqual(max(waits), 2 * RETRY_AFTER_SECONDS)

    def test_rejection_reports_owner_purpose_and_size(self):
        refused = []
        self.budget.on_rejection = lambda reservation, size: refused.append(
            (reservation.owner, reservation.purpose, size)
        )
        with self.assertRaises(MemoryBudgetError):
            self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 11 * MB, "r1")
        self.assertEqual([("r1", MemoryPurpose.REQUEST_BODIES, 11 * MB)], refused)

    def test_bytes_set_as_held_reduce_the_free_bytes(self):
        self.budget.set_held(MemoryPurpose.BATCHES, 12 * MB)
        self.assertEqual(0, self.budget.free)
        self.budget.set_held(MemoryPurpose.BATCHES, 4 * MB)
        self.assertEqual(6 * MB, self.budget.free)

    def test_small_bodies_fit_while_batches_fill_the_budget(self):
        self.budget.set_held(MemoryPurpose.BATCHES, 12 * MB)
        most = int(10 * MB * SMALL_BODIES_FRACTION)
        for _ in range(most // 800):
            self.budget.reserve(MemoryPurpose.SMALL_BODIES, 800)
        for purpose in (MemoryPurpose.SMALL_BODIES, MemoryPurpose.REQUEST_BODIES):
            with self.assertRaises(MemoryBudgetError):
                self.budget.reserve(purpose, 801)

    def test_new_batches_are_accepted_up_to_half_of_the_budget(self):
        self.budget.set_held(MemoryPurpose.BATCHES, 5 * MB)
        self.budget.reserve(MemoryPurpose.SUBMISSIONS, MB).release()
        self.budget.set_held(MemoryPurpose.BATCHES, 5 * MB + 1)
        with self.assertRaises(MemoryBudgetError):
            self.budget.reserve(MemoryPurpose.SUBMISSIONS, 1)
        self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 4 * MB)

    def test_shortfall(self):
        """Bytes to release before a reservation fits; batches are never released for one."""
        self.budget.set_held(MemoryPurpose.BATCHES, 6 * MB)
        self.budget.reserve(MemoryPurpose.RESPONSES).force_grow(5 * MB)
        cases = {
            (MemoryPurpose.REQUEST_BODIES, MB): 2 * MB,
            (MemoryPurpose.REQUEST_BODIES, 10 * MB + 1): math.inf,
            (MemoryPurpose.SMALL_BODIES, 800): 0,
            (MemoryPurpose.SUBMISSIONS, MB): math.inf,
        }
        for (purpose, size), shortfall in cases.items():
            with self.subTest(purpose=purpose, size=size):
                self.assertEqual(shortfall, self.budget.shortfall(purpose, size))

    def test_forty_responses_exceed_the_budget_only_by_their_minimum(self):
        """Forty slow clients with responses larger than the budget."""
        for _ in range(40):
            answer = self.budget.reserve(MemoryPurpose.STREAMS)
            while answer.fits_response_limit(MIN_RESPONSE_LIMIT_BYTES):
                answer.force_grow(MIN_RESPONSE_LIMIT_BYTES)
        self.assertLess(self.budget.total, 10 * MB + 40 * MIN_RESPONSE_LIMIT_BYTES)
        self.assertGreater(self.budget.total, 9 * MB)

    def test_response_limit_is_a_fraction_of_the_free_bytes(self):
        answer = self.budget.reserve(MemoryPurpose.RESPONSES)
        self.assertTrue(answer.fits_response_limit(10 * MB // RESPONSE_LIMIT_DIVISOR))
        self.assertFalse(answer.fits_response_limit(10 * MB // RESPONSE_LIMIT_DIVISOR + 1))

    def test_memory_is_low_once_half_is_held(self):
        body = self.budget.reserve(MemoryPurpose.REQUEST_BODIES, 5 * MB)
        self.assertFalse(self.budget.is_low)
        body.grow(1)
        self.assertTrue(self.budget.is_low)

    def test_without_a_limit_everything_fits(self):
        budget = MemoryBudget()
        answer = budget.reserve(MemoryPurpose.RESPONSES, 10**12)
        self.assertTrue(answer.fits_response_limit(10**12))
        self.assertEqual((math.inf, False), (budget.free, budget.is_low))


class SizingTest(unittest.TestCase):
    """Budget by machine size."""

    def test_budget_by_machine(self):
        self.assertIsNone(byte_budget_for(None))
        self.assertEqual(45 * MB, byte_budget_for(160 * MB))
        self.assertEqual(MIN_BUDGET_BYTES, byte_budget_for(RESERVED_BYTES))
        self.assertEqual(MIN_BUDGET_BYTES, byte_budget_for(MB))
        self.assertGreater(byte_budget_for(552 * MB), 5 * byte_budget_for(160 * MB))


class SlowestClientTest(unittest.TestCase):
    """Selection of the client to disconnect."""

    def test_selection_by_read_rate_and_held_bytes(self):
        late = MIN_SLOW_SECONDS
        cases = {
            "none": ({}, None),
            "one": ({"a": ReadRate(MB, 0, late)}, "a"),
            "behind for a moment only": ({"a": ReadRate(MB, 0, late - 0.1)}, None),
            "nothing would be freed": ({"a": ReadRate(0, 0, late)}, None),
            "the fewest bytes a second": (
                {"a": ReadRate(MB, 4 * MB, 4.0), "b": ReadRate(MB, 2 * MB, 4.0)},
                "b",
            ),
            "not the fewest bytes": (
                {"a": ReadRate(MB, 4 * MB, 40.0), "b": ReadRate(MB, 2 * MB, 4.0)},
                "a",
            ),
            "of several that stand still, the one that holds most": (
                {"a": ReadRate(MB, 0, 3.0), "b": ReadRate(2 * MB, 0, 3.0)},
                "b",
            ),
        }
        for name, (paces, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, slowest_client(paces))


class OpenResponseTest(unittest.IsolatedAsyncioTestCase):
    """Responses that are streamed to the client."""

    async def test_unused_responses_are_closed(self):
        ended = []

        def opened(name: str) -> StreamedResponse:
            call = AsyncExitStack()
            call.push(lambda kind, *_: ended.append((name, kind)))
            body = MemoryBudget().reserve(MemoryPurpose.RESPONSES)
            return StreamedResponse(200, (), deque(), mock.Mock(), body, call)

        used, unused = opened("used"), opened("unused")
        attempts = Attempts(*[mock.Mock()] * 5, opened=[unused, used])
        await attempts.close_unused(used)
        given_up = ("unused", asyncio.CancelledError)
        self.assertEqual([given_up], ended)
        async with used:
            self.assertEqual([given_up], ended)
        self.assertEqual([given_up, ("used", None)], ended)

    async def test_all_unused_responses_are_closed_despite_cancellation(self):
        ended = []

        def opened(name: str) -> StreamedResponse:
            async def end(*_: object) -> None:
                try:
                    await asyncio.Event().wait()
                finally:
                    ended.append(name)

            call = AsyncExitStack()
            call.push_async_exit(end)
            body = MemoryBudget().reserve(MemoryPurpose.RESPONSES)
            return StreamedResponse(200, (), deque(), mock.Mock(), body, call)

        attempts = Attempts(*[mock.Mock()] * 5, opened=[opened("first"), opened("second")])
        closing = asyncio.create_task(attempts.close_unused(None))
        await asyncio.sleep(0)
        closing.cancel()
        await asyncio.sleep(0)
        closing.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await closing
        self.assertEqual({"first", "second"}, set(ended))


class RequestMemoryTest(unittest.TestCase):
    """Memory held for one request."""

    def test_everything_is_released_at_the_end_of_the_request(self):
        memory = unlimited_memory()
        with memory.request() as request:
            request.reserve(MemoryPurpose.REQUEST_BODIES, MB)
            request.reserve(MemoryPurpose.RESPONSES).force_grow(MB)
            self.assertEqual((2 * MB, 2 * MB), (request.size, memory.budget.total))
            request.shrink_to(MemoryPurpose.RESPONSES, 100)
            self.assertEqual((100, 100), (request.size, memory.budget.total))
        self.assertEqual(0, memory.budget.total)

    def test_rejection_is_logged_with_its_request(self):
        log = RecordingLog()
        memory = DaemonMemory(MB, Instruments(LoopClock(), log))
        with memory.request() as request, self.assertRaises(MemoryBudgetError):
            request.owner = "r1"
            request.reserve(MemoryPurpose.REQUEST_BODIES, 2 * MB)
        (line,) = [fields for event, fields in log.events if event is Event.NO_ROOM]
        self.assertEqual("r1", line["request"])
        self.assertEqual("request_bodies", line["purpose"])
        self.assertEqual((2 * MB, 0, MB), (line["bytes"], line["held"], line["limit"]))
