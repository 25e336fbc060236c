"""Reward calls: sent for complete outputs only, retried, limited, and stopped in time."""

import base64
import unittest

import orjson

from larkpost.common.ids import InstanceId
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.model import BatchSpec, Result, ResultState
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.reader import ResultPage
from larkpost.platform.batch_documents import page_document, read_batch
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_fleet import (
    OTHER_SCORERS,
    SCORER_SLOTS,
    PlatformFleet,
    check_results,
    make_batch,
)
from tests.platform_oracle import PlatformOracle
from tests.scripted_engines import ScriptedEngine
from tests.virtual import run

CANCEL_SECONDS = 3.0


async def start_fleet(scorers: int = 3, gateways: int = 3) -> PlatformFleet:
    """Returns a fleet whose daemons know the servers."""
    fleet = PlatformFleet(gateways=gateways, scorers=scorers)
    await fleet.wait(1.0)
    return fleet


async def submit_while_scorers_are_down(fleet: PlatformFleet, **options) -> tuple[BatchSpec, int]:
    """Takes all scorers down and submits a batch with reward calls; returns it and its owner."""
    for state in fleet.scorers():
        state.down = True
    spec = make_batch(scored=True, **options)
    return spec, await fleet.submit(spec)


def bring_scorers_back(fleet: PlatformFleet) -> None:
    """Restores all scorers."""
    for state in fleet.scorers():
        state.down = False


def scores_of(state: ScriptedEngine) -> set[str]:
    """Returns all signatures of a server."""
    return {name for signed in state.signatures.values() for name, _ in signed}


def calls(fleet: PlatformFleet) -> int:
    """Returns the number of reward calls that servers have run."""
    return sum(len(state.runs) for state in fleet.scorers())


class RewardCallTest(unittest.TestCase):
    """Each test runs a small fleet in virtual time."""

    def test_results_carry_the_signature_of_a_call_made_after_the_text(self):
        async def play():
            fleet = await start_fleet()
            spec = make_batch(scored=True)
            await fleet.gateways[0].batches.submit(spec)
            results = await fleet.read_all(fleet.gateways[1], spec.id)
            check_results(self, spec, results)
            PlatformOracle.of_batch(fleet, spec).check()
            self.assertEqual(len(spec.items), calls(fleet))

        run(play())

    def test_no_result_is_listed_while_the_scorers_are_gone(self):
        async def play():
            fleet = await start_fleet()
            spec, _ = await submit_while_scorers_are_down(fleet)
            await fleet.wait(10.0)
            self.assertEqual([], fleet.stored_results(spec.id))
            bring_scorers_back(fleet)
            results = await fleet.read_all(fleet.gateways[1], spec.id)
            check_results(self, spec, results)
            PlatformOracle.of_batch(fleet, spec).check()

        run(play())

    def test_next_owner_asks_only_for_the_score(self):
        async def play():
            fleet = await start_fleet()
            spec, owner = await submit_while_scorers_are_down(fleet)
            await fleet.wait(4.0)
            runs = sum(len(state.runs) for state in fleet.model_engines())
            fleet.kill(owner)
            bring_scorers_back(fleet)
            results = await fleet.read_all(fleet.other(owner), spec.id)
            check_results(self, spec, results)
            self.assertEqual(runs, sum(len(state.runs) for state in fleet.model_engines()))

        run(play())

    def test_complete_output_that_the_store_refused_is_stored_later(self):
        async def play():
            fleet = await start_fleet()
            spec, owner = await submit_while_scorers_are_down(fleet)
            await fleet.wait(0.1)
            fleet.store.faults = StoreFaults(refuses=True)
            await fleet.wait(4.0)
            whole = {name for state in fleet.model_engines() for name in state.whole_at}
            self.assertEqual({item.id for item in spec.items}, whole)
            fleet.store.faults = StoreFaults()
            await fleet.wait(1.0)
            runs = sum(len(state.runs) for state in fleet.model_engines())
            fleet.kill(owner)
            bring_scorers_back(fleet)
            check_results(self, spec, await fleet.read_all(fleet.other(owner), spec.id))
            self.assertEqual(runs, sum(len(state.runs) for state in fleet.model_engines()))

        run(play())

    def test_graceful_shutdown_hands_over_complete_outputs(self):
        async def play():
            fleet = await start_fleet()
            spec, owner = await submit_while_scorers_are_down(fleet)
            await fleet.wait(0.7)  # before complete outputs are stored periodically
            whole = {name for state in fleet.model_engines() for name in state.whole_at}
            self.assertTrue(whole)
            await fleet.gateways[owner].membership.leave()
            await fleet.gateways[owner].batch_manager.hand_over()
            runs_before = [len(state.runs) for state in fleet.model_engines()]
            bring_scorers_back(fleet)
            results = await fleet.read_all(fleet.other(owner), spec.id)
            check_results(self, spec, results)
            engines = zip(fleet.model_engines(), runs_before, strict=True)
            again = {name for state, count in engines for name in state.runs[count:]}
            self.assertFalse(again & whole)

        run(play())

    def test_store_down_between_text_and_score(self):
        async def play():
            fleet = await start_fleet()
            spec, _ = await submit_while_scorers_are_down(fleet)
            await fleet.wait(0.7)
            fleet.store.faults = StoreFaults(down=True)
            bring_scorers_back(fleet)
            await fleet.wait(3.0)
            fleet.store.faults = StoreFaults()
            results = await fleet.read_all(fleet.gateways[1], spec.id)
            check_results(self, spec, results)
            PlatformOracle.of_batch(fleet, spec).check()

        run(play())

    def test_all_daemons_lost_after_the_last_event(self):
        async def play():
            fleet = await start_fleet()
            spec, _ = await submit_while_scorers_are_down(fleet)
            await fleet.wait(0.8)
            for number in range(3):
                fleet.kill(number)
            bring_scorers_back(fleet)
            for number in range(3):
                fleet.add_gateway(f"daemon-{number}")
            await fleet.wait(1.0)
            results = await fleet.read_all(fleet.gateways[4], spec.id)
            check_results(self, spec, results)
            PlatformOracle.of_batch(fleet, spec).check()

        run(play())

    def test_call_that_always_fails_ends_the_item_after_the_attempts_of_its_route(self):
        async def play():
            fleet = await start_fleet()
            for state in fleet.scorers():
                state.status = 500
            spec = make_batch(items=2, scored=True)
            await fleet.gateways[0].batches.submit(spec)
            results = await fleet.read_all(fleet.gateways[1], spec.id)
            self.assertEqual({ResultState.DEAD}, {result.state for result in results})
            self.assertEqual(2 * 4, calls(fleet))  # the call's route allows 4, the item's 3

        run(play())

    def test_broken_and_unsigned_responses_are_no_scores(self):
        async def play():
            fleet = await start_fleet()
            broken, unsigned, sound = fleet.scorers()
            broken.break_after = 0
            unsigned.unsigned = True
            spec = make_batch(scored=True)
            await fleet.gateways[0].batches.submit(spec)
            results = await fleet.read_all(fleet.gateways[1], spec.id)
            check_results(self, spec, results)
            self.assertLessEqual({result.score for result in results}, scores_of(sound))
            self.assertTrue(broken.runs and unsigned.runs)

        run(play())

    def test_call_that_timed_out_is_retried_and_its_late_response_ignored(self):
        async def play():
            fleet = await start_fleet(scorers=2)
            silent, sound = fleet.scorers()
            silent.event_seconds = 30.0
            spec = make_batch(scored=True)
            await fleet.gateways[0].batches.submit(spec)
            results = await fleet.read_all(fleet.gateways[1], spec.id)
            check_results(self, spec, results)
            self.assertLessEqual({result.score for result in results}, scores_of(sound))
            self.assertTrue(silent.runs)

        run(play())

    def test_servers_slower_than_the_first_timeout_still_score(self):
        async def play():
            fleet = await start_fleet()
            for state in fleet.scorers():
                state.event_seconds = 2.0
            spec = make_batch(items=8, scored=True)
            await fleet.gateways[0].batches.submit(spec)
            results = await fleet.read_all(fleet.gateways[1], spec.id)
            check_results(self, spec, results)
            PlatformOracle.of_batch(fleet, spec).check()

        run(play())

    def test_calls_follow_a_moved_route(self):
        async def play():
            fleet = await start_fleet()
            fleet.add_scorer(InstanceId("other-0"), OTHER_SCORERS)
            spec, _ = await submit_while_scorers_are_down(fleet, items=4)
            await fleet.wait(2.0)
            fleet.put("operator", "configuration", b"moved")
            await fleet.wait(1.0)
            bring_scorers_back(fleet)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))
            self.assertEqual(4, len(fleet.engines.engines[InstanceId("other-0")].runs))
            self.assertEqual(4, calls(fleet))

        run(play())

    def test_no_call_is_made_after_the_batch_has_ended(self):
        async def play():
            fleet = await start_fleet()
            spec, _ = await submit_while_scorers_are_down(fleet)
            await fleet.wait(2.0)
            await fleet.gateways[1].batches.end(spec.id)
            await fleet.wait(CANCEL_SECONDS)
            bring_scorers_back(fleet)
            await fleet.wait(10.0)
            self.assertEqual(0, calls(fleet))

        run(play())

    def test_many_outputs_at_once_leave_slots_to_clients(self):
        """Reward calls of 112 outputs leave slots free for client requests."""

        async def play():
            fleet = await start_fleet(scorers=4)
            for state in fleet.model_engines():
                state.slots = 40
            spec, _ = await submit_while_scorers_are_down(fleet, items=112)
            await fleet.wait(12.0)
            bring_scorers_back(fleet)
            for state in fleet.scorers():
                state.event_seconds = 0.05
            began = fleet.clock.now()
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))
            self.assertLess(fleet.clock.now() - began, 4.0)
            for state in fleet.scorers():
                self.assertLessEqual(state.most_running, SCORER_SLOTS * 2 // 3)

        run(play())

    def test_error_in_a_run_does_not_lose_the_item(self):
        async def play():
            fleet = await start_fleet()
            spec = make_batch(scored=True)
            errors = iter([RuntimeError("unexpected")] * 3)
            send = fleet.engines.send

            def fail_at_first(instance, request):
                for error in errors:
                    raise error
                return send(instance, request)

            fleet.engines.send = fail_at_first
            await fleet.gateways[0].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))

        run(play())

    def test_error_in_the_work_on_a_batch_does_not_lose_it(self):
        async def play():
            fleet = await start_fleet()
            spec = make_batch(scored=True)
            repository = fleet.gateways[0].batch_manager._repository
            append = repository.append
            errors = iter([RuntimeError("unexpected")] * 2)

            async def fail_at_first(*arguments):
                for error in errors:
                    raise error
                return await append(*arguments)

            repository.append = fail_at_first
            await fleet.gateways[0].batches.submit(spec)
            check_results(self, spec, await fleet.read_all(fleet.gateways[1], spec.id))

        run(play())


class RewardDocumentsTest(unittest.TestCase):
    """Reward calls in stored rows and in batch documents."""

    def test_submitted_items_carry_their_reward_call(self):
        call = {"id": "c1", "host": "Scorers.Example", "path": "/s/1", "body": "c2NvcmU="}
        entry = {"id": "i1", "path": "/r/1", "body": "", "tokens": 5, "scorer-url": call}
        content = orjson.dumps({"model": "m", "requests": [entry]})
        spec = read_batch(b"b1", "trainers.example", b"/r/x", content)
        found = spec.items[0].reward_call
        self.assertEqual("c1", found.id)
        self.assertEqual("scorers.example", found.host)
        self.assertEqual(b"score", found.body)

    def test_unreadable_reward_call_is_a_clear_error(self):
        entry = {"id": "i1", "path": "/r/1", "scorer-url": {"id": "c1"}}
        content = orjson.dumps({"requests": [entry]})
        with self.assertRaisesRegex(ValueError, "host"):
            read_batch(b"b1", "trainers.example", b"/r/x", content)

    def test_text_that_no_header_can_carry_is_a_clear_error(self):
        for field in ("id", "host", "path"):
            call = {"id": "c1", "host": "h", "path": "/s", "body": ""} | {field: "\u0416\r\n"}
            content = orjson.dumps({"requests": [{"id": "i1", "path": "/r/1", "scorer-url": call}]})
            with self.subTest(field), self.assertRaisesRegex(ValueError, "i1"):
                read_batch(b"b1", "trainers.example", b"/r/x", content)

    def test_page_tells_the_score(self):
        result = Result("i1", ResultState.DONE, "text", (1,), "stamp")
        document = page_document(ResultPage(1, 0, (result,)))
        self.assertEqual("stamp", document["results"][0]["score"])

    def test_rows_keep_calls_scores_and_complete_outputs(self):
        spec = make_batch(items=1, scored=True)
        self.assertEqual(spec.items, codec.decode_items(codec.encode_items(spec.items)))
        result = Result(spec.items[0].id, ResultState.DONE, "text", (1,), "stamp")
        self.assertEqual(result, codec.decode_result(codec.encode_result(result)))
        progress = Progress(spec.items[0])
        progress.take(1, b"one", 1)
        progress.complete()
        progress.failed_calls = 2
        read = codec.decode_progress(spec.items[0], codec.encode_progress(progress, 10_000))
        self.assertEqual(progress, read)

    def test_output_that_does_not_fit_is_not_stored_as_complete(self):
        item = make_batch(items=1, scored=True).items[0]
        progress = Progress(item)
        for number in range(1, 9):
            progress.take(number, b"x" * 100, 1)
        progress.complete()
        read = codec.decode_progress(item, codec.encode_progress(progress, 400))
        self.assertFalse(read.whole)
        self.assertLess(len(read.events), 8)

    def test_rows_of_earlier_versions_are_read(self):
        body = base64.b64encode(b"body").decode()
        items = codec.decode_items(orjson.dumps([["i", "/r/1", [], body, 5, "g", 0]]))
        self.assertIsNone(items[0].reward_call)
        result = codec.decode_result(orjson.dumps(["i", "done", "text", [1]]))
        self.assertIsNone(result.score)
        kept = orjson.dumps([[base64.b64encode(b"one").decode()], [1], 1, 0])
        progress = codec.decode_progress(items[0], kept)
        self.assertFalse(progress.whole)
        self.assertEqual([b"one"], progress.events)

    def test_restarted_output_is_not_complete(self):
        progress = Progress(make_batch(items=1).items[0])
        progress.take(1, b"one", 1)
        progress.complete()
        progress.failed_calls = 1
        progress.restart()
        self.assertFalse(progress.whole)
        self.assertEqual(0, progress.failed_calls)

    def test_output_that_is_not_utf8_is_not_complete(self):
        progress = Progress(make_batch(items=1).items[0])
        progress.take(1, b"\xff", 1)
        with self.assertRaises(UnicodeDecodeError):
            progress.complete()
        self.assertFalse(progress.whole)


if __name__ == "__main__":
    unittest.main()
