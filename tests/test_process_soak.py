"""The soak of real processes: its proxy, its plan, its invariant checker, and a short run."""

import asyncio
import os
import time
import tomllib
import unittest
from pathlib import Path
from types import SimpleNamespace

from larkpost.common.addresses import split_address
from larkpost.platform.stand_in.engine_state import expected_output
from larkpost.platform.stand_in.rows import READING, TRAINING
from larkpost.rehearsal.processes import free_address
from tests.connections import ConnectionServer
from tests.process_soak.__main__ import play
from tests.process_soak.checker import InvariantChecker, SubmittedBatch
from tests.process_soak.kept_connections import KeptRequest
from tests.process_soak.plan import FOCUSED_KINDS, MIXED_KINDS, Focus, Kind, draw_plan
from tests.process_soak.proxy import FaultProxy, LinkFault
from tests.process_soak.records import CrashingRun, Evacuation, Order, Records, Run, Usage
from tests.process_soak.response_watch import MAX_SILENT_SECONDS, ResponseWatch
from tests.process_soak.site import ZONES

SEEDS = Path(__file__).resolve().parent / "soak_seeds.toml"
WAIT_SECONDS = 0.4


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """An echo server behind a proxy."""

    async def asyncSetUp(self):
        upstream = free_address()
        host, port = split_address(upstream)
        self.received = bytearray()
        self.server = ConnectionServer(self.echo)
        await self.server.start(host, port)
        self.proxy = FaultProxy(upstream)
        await self.proxy.start()
        self.reader, self.writer = await asyncio.open_connection(*split_address(self.proxy.address))

    async def asyncTearDown(self):
        self.writer.transport.abort()
        await self.proxy.close()
        await self.server.close()

    async def echo(self, reader, writer):
        """Echoes everything."""
        while content := await reader.read(100):
            self.received += content
            writer.write(content)
        writer.close()

    async def answer(self, content: bytes) -> bytes | None:
        """Returns the echo of some bytes; None without one, and b"" if the connection breaks."""
        self.writer.write(content)
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                return await self.reader.read(100)
        except TimeoutError:
            return None
        except ConnectionError:
            return b""

    async def test_passes_bytes_and_ends(self):
        self.assertEqual(b"hello", await self.answer(b"hello"))
        self.writer.write_eof()
        self.assertEqual(b"", await self.reader.read(1))

    async def test_delay(self):
        self.proxy.set_fault(LinkFault.DELAY)
        began = time.monotonic()
        self.assertEqual(b"hello", await self.answer(b"hello"))
        self.assertGreater(time.monotonic() - began, 0.2)

    async def test_silence_holds_back_and_then_breaks_off(self):
        self.proxy.set_fault(LinkFault.SILENT)
        self.assertIsNone(await self.answer(b"hello"))
        self.assertEqual(b"", bytes(self.received))
        self.proxy.set_fault(LinkFault.NONE)
        self.assertEqual(b"", await self.answer(b"x"))

    async def test_old_connections_are_silent_for_good_while_new_ones_work(self):
        self.assertEqual(b"a", await self.answer(b"a"))
        self.proxy.set_fault(LinkFault.OLD_SILENT)
        self.assertIsNone(await self.answer(b"b"))
        self.proxy.set_fault(LinkFault.NONE)
        self.assertIsNone(await self.answer(b"c"))
        self.writer.transport.abort()
        self.reader, self.writer = await asyncio.open_connection(*split_address(self.proxy.address))
        self.assertEqual(b"d", await self.answer(b"d"))
        self.assertEqual(b"ad", bytes(self.received))

    async def test_one_way_reaches_the_server_only(self):
        self.proxy.set_fault(LinkFault.ONE_WAY)
        self.assertIsNone(await self.answer(b"hello"))
        self.assertEqual(b"hello", bytes(self.received))

    async def test_mirror_is_dead_while_its_server_is(self):
        mirror = FaultProxy(self.proxy.upstream, is_mirror=True)
        await mirror.start()
        self.addAsyncCleanup(mirror.close)
        address = split_address(mirror.address)
        opened = [await asyncio.open_connection(*address) for _ in range(3)]
        for reader, writer in opened:
            writer.write(b"a")
            self.assertEqual(b"a", await reader.read(1))
        await self.server.close()
        for reader, _ in opened:
            self.assertEqual(b"", await reader.read(1))
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(*split_address(mirror.address))
        self.server = ConnectionServer(self.echo)
        await self.server.start(*split_address(self.proxy.upstream))
        await asyncio.sleep(WAIT_SECONDS)
        reader, writer = await asyncio.open_connection(*split_address(mirror.address))
        writer.write(b"b")
        self.assertEqual(b"b", await reader.read(1))
        writer.transport.abort()

    async def test_half_a_message(self):
        self.proxy.set_fault(LinkFault.HALF)
        self.assertEqual(b"h", await self.answer(b"helloo"))  # half of half: both directions
        self.assertEqual(b"hel", bytes(self.received))
        self.assertIsNone(await self.answer(b"more"))

    async def test_extra_and_garbled_answers(self):
        self.proxy.set_fault(LinkFault.EXTRA)
        self.assertEqual(b"aa", await self.answer(b"a"))
        self.proxy.set_fault(LinkFault.GARBLE)
        self.assertNotIn(b"b", await self.answer(b"b"))
        self.assertEqual(b"", await self.reader.read(1000))

    async def test_reset_breaks_old_and_new_connections_off(self):
        self.assertEqual(b"a", await self.answer(b"a"))
        self.proxy.set_fault(LinkFault.RESET)
        self.assertEqual(b"", await self.answer(b"b"))
        self.reader, self.writer = await asyncio.open_connection(*split_address(self.proxy.address))
        self.assertEqual(b"", await self.answer(b"c"))


class PlanTest(unittest.TestCase):
    """The plan that a seed determines."""

    def test_seed_decides_the_plan(self):
        self.assertEqual(draw_plan(3, 60.0, 1.0), draw_plan(3, 60.0, 1.0))
        self.assertNotEqual(draw_plan(3, 60.0, 1.0), draw_plan(4, 60.0, 1.0))

    def test_every_kind_is_drawn_and_faults_overlap(self):
        plan = draw_plan(1, 600.0, 1.0)
        self.assertEqual(set(MIXED_KINDS), {fault.kind for fault in plan})
        for focus, kinds in FOCUSED_KINDS.items():
            plan = draw_plan(1, 600.0, 1.0, focus)
            self.assertEqual(set(kinds), {fault.kind for fault in plan})
        self.assertEqual(set(Kind), set(MIXED_KINDS).union(*FOCUSED_KINDS.values()))
        plan = draw_plan(1, 600.0, 1.0)
        pairs = zip(plan, plan[1:], strict=False)
        self.assertTrue(any(first.at + first.seconds > second.at for first, second in pairs))


class InvariantCheckerTest(unittest.TestCase):
    """Each invariant, violated on purpose."""

    def setUp(self):
        self.checker = InvariantChecker()
        self.batch = SubmittedBatch("b", {"i1": "s1", "i2": "s2"}, 2, accepted=True)
        self.checker.batches["b"] = self.batch
        self.records = Records()
        for item, call in self.batch.calls.items():
            self.records.runs[item].append(Run("/r", 1.0, f"e.{item}", 200, TRAINING))
            self.records.whole_at[item] = 2.0
            self.records.runs[call].append(Run("/p", 3.0, f"p.{call}", 200))

    def result(self, item: str, **changes) -> dict:
        """Returns a correct result with changes."""
        text = b"\n".join(expected_output(item)).decode()
        score = f"p.{self.batch.calls[item]}"
        sound = {"id": item, "state": "done", "message": text, "versions": [2], "score": score}
        return sound | changes

    def assert_broken(self, words: str) -> None:
        """Checks that the checker reports a violation."""
        with self.assertRaisesRegex(AssertionError, words):
            self.checker.check(self.records)

    def test_sound_results_hold(self):
        self.checker.record_page(self.batch, 0, [self.result("i1"), self.result("i2")])
        self.checker.check(self.records)
        self.assertEqual([], self.checker.missing())

    def test_missing_results_are_named(self):
        self.checker.record_page(self.batch, 0, [self.result("i1")])
        self.assertEqual(["b"], self.checker.missing())

    def test_position_that_changes(self):
        self.checker.record_page(self.batch, 0, [self.result("i1")])
        with self.assertRaisesRegex(AssertionError, "has changed"):
            self.checker.record_page(self.batch, 0, [self.result("i2")])

    def test_position_left_out(self):
        with self.assertRaisesRegex(AssertionError, "left out"):
            self.checker.record_page(self.batch, 1, [self.result("i1")])

    def test_item_twice(self):
        self.checker.record_page(self.batch, 0, [self.result("i1"), self.result("i1")])
        self.assert_broken("doubled")

    def test_text_version_and_score(self):
        broken = {
            "whole output": {"message": "x"},
            "minimum_version": {"versions": [1, 2]},
            "nobody's signature": {"score": "p.s2"},
            "given up early": {"state": "dead"},
        }
        for words, change in broken.items():
            with self.subTest(words):
                self.batch.read = [self.result("i1", **change)]
                self.assert_broken(words)

    def test_score_of_a_call_before_the_text(self):
        self.records.whole_at["i1"] = 5.0
        self.checker.record_page(self.batch, 0, [self.result("i1")])
        self.assert_broken("scored before")

    def test_refused_batch_that_runs(self):
        self.batch.accepted, self.batch.refused = False, True
        self.assert_broken("was refused")

    def test_run_after_the_end_in_calm_times_only(self):
        self.batch.ended_at = 10.0
        self.records.runs["i1"].append(Run("/r", 20.0, "e.i1", 200, TRAINING))
        self.assert_broken("after its batch's end")
        self.checker.fault_times.append(15.0)  # one that keeps no news from the daemons
        self.assert_broken("after its batch's end")
        self.checker.disruptions.append((14.0, 15.0))
        self.checker.check(self.records)

    def test_stream_that_a_planned_stop_cuts(self):
        request = KeptRequest("k1", "front", sent_at=14.0, ended_at=16.7)
        self.checker.client_requests["k1"] = True
        self.checker.tenants["k1"] = READING
        self.checker.kept_requests = [request]
        self.checker.stops = [("front", 10.0), ("other", 15.0)]
        self.checker.check(self.records)  # no server had it
        self.records.runs["k1"].append(Run("/s", 14.1, "s.k1", 200, READING))
        self.assert_broken("sent 4.00 s after SIGTERM")
        request.sent_at = 12.0  # it may be cut in the last sixth of the grace time
        self.checker.check(self.records)
        request.ended_at = 16.0
        self.assert_broken("sent 2.00 s after SIGTERM")
        self.checker.unplanned.append((8.0, 9.5))
        self.checker.check(self.records)
        request.status = 503
        self.assert_broken("k1 ran, but was answered 503")

    def test_request_that_nobody_sent(self):
        self.records.runs["r9"].append(Run("/p", 1.0, "p.r9", 200))
        self.assert_broken("nobody sent")

    def test_run_once_requests(self):
        self.checker.client_requests["r1"] = True
        self.records.runs["r1"].append(Run("/p", 1.0, "p.r1", 200))
        self.checker.check(self.records)
        self.checker.reported_not_run.add("r1")
        self.assert_broken("reported as not run")
        self.records.runs["r1"].append(Run("/p", 2.0, "p.r1", 200))
        self.assert_broken("ran 2 times")

    def test_request_that_runs_as_another_tenant(self):
        self.checker.client_requests["r1"] = False
        self.checker.tenants["r1"] = READING
        self.records.runs["r1"].append(Run("/p", 1.0, "p.r1", 200, READING))
        self.checker.check(self.records)
        self.records.runs["r1"].append(Run("/p", 2.0, "p.r1", 200, TRAINING))
        self.assert_broken("ran as training")

    def test_item_that_runs_as_nobody(self):
        self.records.runs["i1"].append(Run("/r", 2.0, "e.i1", 200))
        self.assert_broken("ran as None")

    def test_revoked_key_that_runs_without_recent_faults(self):
        self.checker.client_requests["r1"] = False
        self.checker.tenants["r1"] = READING
        self.checker.revoked["r1"] = 10.0
        self.records.runs["r1"].append(Run("/p", 11.0, "p.r1", 200, READING))
        self.checker.check(self.records)
        self.records.runs["r1"].append(Run("/p", 13.0, "p.r1", 200, READING))
        self.assert_broken("revoked key")
        self.checker.fault_times.append(12.0)
        self.checker.check(self.records)

    def test_request_that_crashes_servers_and_is_sent_on(self):
        self.checker.client_requests["r1"] = False
        began = [30.0, 10.0, 20.0, 24.0, 24.5, 28.0, 29.0]  # as reported by two servers
        self.records.crashes["/p"] += [CrashingRun("r1", at) for at in began]
        self.checker.check(self.records)
        self.records.crashes["/p"].append(CrashingRun("r1", 31.0))
        self.assert_broken("had crashed 3 servers by 24.0")
        self.checker.crash_report_gaps.append((27.0, 28.0))
        self.checker.check(self.records)
        self.records.crashes["/p"].append(CrashingRun("r2", 31.0))
        self.assert_broken("nobody sent")

    def test_item_that_crashes_servers_is_sent_ever_more_rarely(self):
        self.checker.client_requests["i1"] = False
        began = [0.2 * number for number in range(10)] + [2.0 + 4.0 * n for n in range(1, 4)]
        self.records.crashes["/rollouts/p"] += [CrashingRun("i1", at) for at in began]
        self.checker.check(self.records)
        self.records.crashes["/rollouts/p"].append(CrashingRun("i1", 14.5))
        self.assert_broken("crashes its servers, but ran at")

    def test_request_in_an_evacuated_zone(self):
        self.checker.client_requests["r1"] = False
        self.checker.evacuations = [Evacuation(ZONES[0], 10.0, 30.0)]
        for began, zone in ((14.0, ZONES[0]), (20.0, ZONES[1]), (31.0, ZONES[0])):
            self.records.runs["r1"].append(Run("/p", began, "p.r1", 200, zone=zone))
        self.checker.check(self.records)
        self.records.runs["r1"].append(Run("/p", 16.0, "p.r1", 200, zone=ZONES[0]))
        self.assert_broken("evacuated")
        self.checker.disruptions.append((12.0, 13.0))
        self.checker.check(self.records)

    def test_window_with_two_counts(self):
        self.records.usage += [Usage(7, {"a": 1}, "h", 1, 0.0), Usage(7, {"a": 1}, "h", 2, 1.0)]
        self.checker.check(self.records)
        self.records.usage.append(Usage(7, {"a": 2}, "h", 3, 2.0))
        self.assert_broken("window 7 was reported")

    def test_reporters_that_take_turns(self):
        self.records.usage += [Usage(7, {}, "a", 1, 0.0), Usage(8, {}, "b", 2, 1.0)]
        self.assert_broken("usage: ")

    def test_holders_that_take_turns(self):
        self.records.orders["e"] += [Order("a", 1, 0.0), Order("b", 2, 1.0)]
        self.assert_broken("Order|'a'")
        self.records.orders["e"] = [Order("a", 2, 0.0), Order("a", 1, 1.0)]
        self.assert_broken("do not rise")


class ResponseWatchTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that takes connections; whether it answers them is up to the test."""

    async def asyncSetUp(self):
        self.answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        ready = free_address()
        listener = ConnectionServer(self.serve)
        await listener.start(*split_address(ready))
        self.addAsyncCleanup(listener.close)
        own = SimpleNamespace(popen=SimpleNamespace(poll=lambda: None, pid=os.getpid()))
        daemon = SimpleNamespace(place=SimpleNamespace(machine="d", ready=ready), process=own)
        self.watch = ResponseWatch(SimpleNamespace(daemons=[daemon]))
        self.own = own

    async def serve(self, reader, writer):
        """Answers one request, or leaves it."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        if not self.answer:
            await reader.read(1)

    async def poll(self, seconds: float) -> None:
        """Asks once, and lets the given time pass since the last answer."""
        await self.watch._ask(self.watch._site.daemons[0])
        self.watch._watched["d"].heard_at -= seconds

    async def test_daemon_that_answers_not_ready_is_heard(self):
        await self.poll(2 * MAX_SILENT_SECONDS)
        await self.poll(0.0)
        self.watch.check()

    async def test_daemon_that_answers_nothing_is_named(self):
        self.answer = b""
        await self.poll(2 * MAX_SILENT_SECONDS)
        await self.poll(0.0)
        with self.assertRaisesRegex(AssertionError, "d has answered nothing for 1[0-9].[0-9] s"):
            self.watch.check()

    async def test_process_that_has_exited_is_not_watched(self):
        self.answer = b""
        await self.poll(2 * MAX_SILENT_SECONDS)
        self.own.popen.poll = lambda: 0
        self.watch.check()


class RunTest(unittest.TestCase):
    """Short runs of the stored seeds."""

    def test_stored_seeds_violate_no_invariant(self):
        kept = tomllib.loads(SEEDS.read_text(encoding="utf-8"))["seeds"]
        for entry in kept:
            focus = Focus(entry.get("focus", Focus.MIX))
            with self.subTest(seed=entry["seed"], focus=focus):
                report = play(entry["seed"], entry["seconds"], entry["gap"], focus=focus)
                self.assertEqual("", report.broken)
                self.assertGreater(report.steps, 0)


if __name__ == "__main__":
    unittest.main()
