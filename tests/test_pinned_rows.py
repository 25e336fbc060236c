"""The form of each row in the platform's store, byte by byte.

Daemons of two versions run beside each other during a rollout, and each reads what the other wrote.
So names, keys and values stand here as literals, as they were written when this module was made.
A test that fails tells that the form has changed: then the code is wrong, not the literal.
"""

import asyncio
import re
import unittest
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.blackboard.evacuations import ZoneEvacuation
from larkpost.gateway.blackboard.known_crashes import Crash
from larkpost.gateway.blackboard.request_content import digest_content
from larkpost.gateway.blackboard.scaling_terms import ScalingTerms
from larkpost.gateway.blackboard.tenants import Caller, Tenant, digest_key
from larkpost.gateway.blackboard.weight_targets import WeightTarget
from larkpost.gateway.controllers.heartbeat import Heartbeat, decode_heartbeat, encode_heartbeat
from larkpost.gateway.controllers.leases import Duty, LeaseSubject, LeaseTable
from larkpost.gateway.proxy.request import ClientRequest
from larkpost.gateway.quarantine.repository import CrashRepository, crash_of_row
from larkpost.gateway.rollouts.acceptance import AcceptOutcome
from larkpost.gateway.rollouts.batch_rows import head_of_row
from larkpost.gateway.rollouts.codec import (
    decode_head,
    decode_items,
    decode_progress,
    decode_result,
    decode_tail,
    encode_head,
    encode_items,
    encode_progress,
    encode_result,
    encode_tail,
    join_rewritten,
    split_rewritten,
)
from larkpost.gateway.rollouts.model import (
    BatchHead,
    BatchSpec,
    Item,
    Result,
    ResultState,
    RewardCall,
    Tail,
)
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.repository import BatchRepository, EndRequest
from larkpost.gateway.store.batch_tables import part_of
from larkpost.gateway.store.port import Row, RowKey, Transaction, WriteOutcome
from larkpost.gateway.usage.port import UsageReport
from larkpost.gateway.usage.repository import DecidedReport, UsageRepository
from larkpost.platform.assembly import READERS
from larkpost.platform.operator import UnreadableRowError
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient
from larkpost.standalone.telemetry import Telemetry
from tests.pinned_parts import forward, make_active_member, make_member, make_scaled_fleet
from tests.platform_fleet import MODEL, PAGES, make_batch
from tests.virtual import run

NOW = 12.5
"""The time at which all rows are written."""
DAEMON = "m1/0a1b2c3d"
UPLOAD = "00112233aabbccdd"

ITEM = Item(
    "item-1",
    "/r/generate?n=1",
    (("content-type", "application/json"), ("x-note", "\u00e9")),
    b'{"prompt":"a\xff"}',
    640,
    "g1",
    120,
    RewardCall("call-1", "scores.example", "/s/rate", b"\x00score"),
)
PLAIN_ITEM = Item("item-2", "/r/generate", (), b"", 512, "g1")
ITEMS = (ITEM, PLAIN_ITEM)
SPEC = BatchSpec("batch-7", "trainers.example", "/r/", "small", 41, 40, 1, ITEMS, "training")
HEAD = BatchHead(
    id="batch-7",
    host="trainers.example",
    path="/r/",
    model="small",
    step=41,
    minimum_version=40,
    desired_groups=1,
    total=2,
    owner=DAEMON,
    created_at=NOW,
    ended=False,
    upload=UPLOAD,
    work=632,
    tenant="training",
    group_size=2,
)
DONE = Result("item-1", ResultState.DONE, "one\ntw\u00e9", (40, 41), "sig-1", "g1")
DEAD = Result("item-2", ResultState.DEAD, group="g1")
CRASH = Crash("0123456789abcdef01234567", "engine-3/1", 12.25)
REPORT = UsageReport(17, {"reading": 3, "training": 41})

END = EndRequest("batch-7", Caller("training", is_restricted=True), DAEMON)

HEAD_KEY = ("batches", "b0", "batch-7")
HEAD_VALUE = (
    b'{"host":"trainers.example","path":"/r/","model":"small","step":41,"minimum_version":40,'
    b'"desired_groups":1,"total":2,"owner":"m1/0a1b2c3d","created_at":12.5,"ended":false,'
    b'"upload":"00112233aabbccdd","work":632,"tenant":"training","group_size":2}'
)
CLAIMED_VALUE = (
    b'{"host":"trainers.example","path":"/r/","model":"small","step":41,"minimum_version":40,'
    b'"desired_groups":1,"total":2,"owner":"m2/ffee0011","created_at":12.5,"ended":false,'
    b'"upload":"00112233aabbccdd","work":632,"tenant":"training","group_size":2}'
)
ENDED_VALUE = (
    b'{"host":"trainers.example","path":"/r/","model":"small","step":41,"minimum_version":40,'
    b'"desired_groups":1,"total":2,"owner":"m1/0a1b2c3d","created_at":12.5,"ended":true,'
    b'"upload":"00112233aabbccdd","work":632,"tenant":"training","group_size":2}'
)
EARLY_END_VALUE = (
    b'{"host":"","path":"","model":"","step":0,"minimum_version":0,"desired_groups":0,"total":0,'
    b'"owner":"m1/0a1b2c3d","created_at":12.5,"ended":true,"upload":"","work":0,'
    b'"tenant":"training","group_size":0}'
)
BARE_HEAD_VALUE = (
    b'{"host":"trainers.example","path":"/r/","model":"small","step":41,"minimum_version":40,'
    b'"desired_groups":1,"total":2,"owner":"m1/0a1b2c3d","created_at":12.5,"ended":false,'
    b'"upload":"00112233aabbccdd","work":632,"tenant":null,"group_size":0}'
)
OLD_HEAD_VALUE = (
    b'{"host":"trainers.example","path":"/r/","model":"small","step":41,"minimum_version":40,'
    b'"desired_groups":1,"total":2,"owner":"m1/0a1b2c3d","created_at":12.5,"ended":false,'
    b'"upload":"00112233aabbccdd","work":632}'
)
TAIL_KEY = ("batch_tails", "b0", "batch-7")
EMPTY_TAIL_VALUE = b'{"count":0,"ended":false}'
TAIL_VALUE = b'{"count":2,"ended":false}'
ITEM_KEY = ("batch_items", "b0", "batch-7/00112233aabbccdd/000000")
ITEM_VALUE = (
    b'[["item-1","/r/generate?n=1",[["content-type","application/json"],["x-note","\xc3\xa9"]],'
    b'"eyJwcm9tcHQiOiJh/yJ9",640,"g1",120,["call-1","scores.example","/s/rate","AHNjb3Jl"]],'
    b'["item-2","/r/generate",[],"",512,"g1",0,null]]'
)
DONE_KEY = ("batch_results", "b0", "batch-7/00000000/0000")
DONE_VALUE = b'["item-1","done","one\\ntw\xc3\xa9",[40,41],"sig-1","g1"]'
DEAD_KEY = ("batch_results", "b0", "batch-7/00000001/0000")
DEAD_VALUE = b'["item-2","dead","",[],null,"g1"]'
PARTIAL_KEY = ("batch_partials", "b0", "batch-7/item-1/00")
PARTIAL_VALUE = b'00000040[["b25l","dHfDqQ=="],[40,41],1,1,true,2]'
CRASH_KEY = ("batches", "crashes", "0123456789abcdef01234567/engine-3/1")
CRASH_VALUE = b'{"at":12.25}'
COUNT_KEY = ("usage_counts", "usage", "000000000017/m1/0a1b2c3d")
COUNT_VALUE = b'{"reading":3,"training":41}'
REPORT_KEY = ("usage_reports", "usage", "000000000017")
REPORT_VALUE = b'{"counts":{"reading":3,"training":41},"is_taken":false}'
TAKEN_VALUE = b'{"counts":{"reading":3,"training":41},"is_taken":true}'
LEASE_VALUE = b'{"holder":"m1/0a1b2c3d","free_at":16.5,"exclusive_time":3.0}'
KNOWN_KEY = ("members", "known", DAEMON)
KNOWN_VALUE = b'{"interval":2.0,"address":"10.0.0.9:7000","clock_offset":0.0123,"zone":"north"}'
AWAITED_KEY = ("members", "awaited", DAEMON)
AWAITED_VALUE = b'{"interval":0.25,"uses":{"engine-3/1":[2,0.5]},"coordinates":true}'
LEAVING_VALUE = b'{"interval":0.25,"leaving":true}'


class StillClock:
    """A clock that stands at `NOW`; no wait takes time."""

    def now(self) -> float:
        """Returns the one time."""
        return NOW

    def wall_ms(self) -> int:
        """Returns it in milliseconds."""
        return int(NOW * 1000)

    async def sleep(self, seconds: float) -> None:
        """Lets others run."""
        await asyncio.sleep(0)


class Rows:
    """A store whose rows a test sees as plain tuples and bytes."""

    def __init__(self, row_bytes: int = 65536) -> None:
        self.store = MemoryStore(StillClock())
        self.client = StoreClient(self.store)
        self.client.row_bytes = row_bytes
        self.batches = BatchRepository(self.client, StillClock())

    def put(self, *rows: tuple[tuple[str, str, str], bytes]) -> int:
        """Writes rows as another daemon does, and returns their version."""
        puts = tuple((RowKey(*key), value) for key, value in rows)
        return self.store.apply(Transaction(puts=puts)).version

    def all(self) -> dict[tuple[str, str, str], bytes]:
        """Returns all rows."""
        return {tuple(key): row.value for key, row in self.store.rows.items()}


def row(key: tuple[str, str, str], value: bytes, version: int = 5, removed: bool = False) -> Row:
    """Returns a row as a feed brings it."""
    return Row(RowKey(*key), value, version, removed)


def make_progress() -> Progress:
    """Returns the whole output of an item, which waits for its score."""
    progress = Progress(ITEM, failed_runs=1)
    progress.take(1, b"one", 40)
    progress.take(2, b"tw\xc3\xa9", 41)
    progress.whole = True
    progress.failed_calls = 2
    return progress


class BatchRowsTest(unittest.IsolatedAsyncioTestCase):
    """Rows of batches: heads, tails, items, results, outputs so far."""

    def setUp(self) -> None:
        self.rows = Rows()
        self.batches = self.rows.batches

    async def test_accepted_batch_writes_head_tail_and_items(self) -> None:
        await self.batches.accept(SPEC, DAEMON, UPLOAD, 1.0)
        expected = {HEAD_KEY: HEAD_VALUE, TAIL_KEY: EMPTY_TAIL_VALUE, ITEM_KEY: ITEM_VALUE}
        self.assertEqual(expected, self.rows.all())

    async def test_head_tail_and_items_are_read(self) -> None:
        version = self.rows.put(
            (HEAD_KEY, HEAD_VALUE), (TAIL_KEY, TAIL_VALUE), (ITEM_KEY, ITEM_VALUE)
        )
        self.assertEqual(HEAD, await self.batches.head("batch-7"))
        self.assertEqual(Tail(2, False, version), await self.batches.tail("batch-7"))
        self.assertEqual(ITEMS, await self.batches.items(HEAD))

    async def test_claimed_batch_has_another_owner_in_its_head(self) -> None:
        version = self.rows.put((HEAD_KEY, HEAD_VALUE))
        self.assertTrue(await self.batches.claim(HEAD, version, "m2/ffee0011"))
        self.assertEqual({HEAD_KEY: CLAIMED_VALUE}, self.rows.all())
        self.assertEqual(replace(HEAD, owner="m2/ffee0011"), await self.batches.head("batch-7"))

    async def test_ended_batch_says_so_in_head_and_tail(self) -> None:
        self.rows.put((HEAD_KEY, HEAD_VALUE), (TAIL_KEY, TAIL_VALUE))
        await self.batches.end(END, 1.0)
        expected = {HEAD_KEY: ENDED_VALUE, TAIL_KEY: b'{"count":2,"ended":true}'}
        self.assertEqual(expected, self.rows.all())
        self.assertEqual(replace(HEAD, ended=True), await self.batches.head("batch-7"))

    async def test_end_of_a_batch_that_does_not_exist_takes_its_place(self) -> None:
        await self.batches.end(END, 1.0)
        self.assertEqual({HEAD_KEY: EARLY_END_VALUE}, self.rows.all())
        self.assertFalse((await self.batches.head("batch-7")).is_accepted)
        self.assertIs(AcceptOutcome.ENDED, await self.batches.accept(SPEC, DAEMON, UPLOAD, 1.0))
        self.assertEqual({HEAD_KEY: EARLY_END_VALUE}, self.rows.all())

    async def test_results_are_appended_at_their_places(self) -> None:
        version = self.rows.put((TAIL_KEY, EMPTY_TAIL_VALUE))
        await self.batches.append("batch-7", Tail(0, False, version), [DONE, DEAD])
        expected = {TAIL_KEY: TAIL_VALUE, DONE_KEY: DONE_VALUE, DEAD_KEY: DEAD_VALUE}
        self.assertEqual(expected, self.rows.all())

    async def test_results_are_read(self) -> None:
        self.rows.put((DONE_KEY, DONE_VALUE), (DEAD_KEY, DEAD_VALUE))
        self.assertEqual([DONE, DEAD], await self.batches.results("batch-7", 0))
        self.assertEqual([DEAD], await self.batches.results("batch-7", 1))

    async def test_output_so_far_is_written(self) -> None:
        await self.batches.keep_partials("batch-7", [make_progress()])
        self.assertEqual({PARTIAL_KEY: PARTIAL_VALUE}, self.rows.all())

    async def test_output_so_far_is_read(self) -> None:
        self.rows.put((PARTIAL_KEY, PARTIAL_VALUE))
        found = await self.batches.partials("batch-7", ITEMS)
        self.assertEqual({"item-1": make_progress()}, found)

    async def test_shorter_output_is_read_over_pieces_left_of_a_longer_one(self) -> None:
        left = ("batch_partials", "b0", "batch-7/item-1/01")
        self.rows.put((PARTIAL_KEY, PARTIAL_VALUE), (left, b"left over"))
        found = await self.batches.partials("batch-7", ITEMS)
        self.assertEqual({"item-1": make_progress()}, found)

    async def test_removed_batch_leaves_no_row(self) -> None:
        version = self.rows.put(
            (HEAD_KEY, HEAD_VALUE), (TAIL_KEY, TAIL_VALUE), (ITEM_KEY, ITEM_VALUE)
        )
        self.rows.put((DONE_KEY, DONE_VALUE), (PARTIAL_KEY, PARTIAL_VALUE))
        before = self.rows.all()
        await self.batches.remove(HEAD, version - 1)
        self.assertEqual(before, self.rows.all())
        await self.batches.remove(HEAD, version)
        self.assertEqual({}, self.rows.all())

    async def test_long_documents_are_cut_at_three_quarters_of_a_row(self) -> None:
        rows = Rows(row_bytes=160)
        await rows.batches.accept(SPEC, DAEMON, UPLOAD, 1.0)
        version = rows.store.version
        await rows.batches.append(
            "batch-7", Tail(0, False, version), [replace(DONE, text="x" * 90)]
        )
        longer = Progress(ITEM)
        longer.take(0, b"y" * 90, 40)
        await rows.batches.keep_partials("batch-7", [longer])
        found = rows.all()
        expected = {
            HEAD_KEY: HEAD_VALUE,
            TAIL_KEY: b'{"count":1,"ended":false}',
            ITEM_KEY: ITEM_VALUE[:120],
            ("batch_items", "b0", "batch-7/00112233aabbccdd/000001"): ITEM_VALUE[120:240],
            DONE_KEY: b'["item-1","done","' + b"x" * 90 + b'",[40,41],"s',
            ("batch_results", "b0", "batch-7/00000000/0001"): b'ig-1","g1"]',
            PARTIAL_KEY: b'00000143[["' + b"eXl5" * 27 + b"e",
            ("batch_partials", "b0", "batch-7/item-1/01"): (
                b"Xl5" + b"eXl5" * 2 + b'"],[40],0,0,false,0]'
            ),
        }
        self.assertEqual(expected, found)
        self.assertEqual(ITEMS, await rows.batches.items(HEAD))
        results = await rows.batches.results("batch-7", 0)
        self.assertEqual([replace(DONE, text="x" * 90)], results)
        self.assertEqual({"item-1": longer}, await rows.batches.partials("batch-7", ITEMS))

    def test_parts_of_batches(self) -> None:
        names = ["batch-7", "", "step-41", "a/b", "\u00e9"]
        self.assertEqual(["b0", "b2", "b3", "b4", "b3"], [part_of(name) for name in names])


class BatchValuesTest(unittest.TestCase):
    """Values of batches' rows, each read and written anew, and those of earlier versions read."""

    def test_heads(self) -> None:
        bare = replace(HEAD, tenant=None, group_size=0)
        for head, value in (
            (HEAD, HEAD_VALUE),
            (replace(HEAD, owner="m2/ffee0011"), CLAIMED_VALUE),
            (replace(HEAD, ended=True), ENDED_VALUE),
            (bare, BARE_HEAD_VALUE),
        ):
            self.assertEqual(value, encode_head(head))
            self.assertEqual(head, decode_head("batch-7", value))
            self.assertEqual(head, head_of_row(row(HEAD_KEY, value)))
        self.assertEqual(bare, decode_head("batch-7", OLD_HEAD_VALUE))

    def test_tails(self) -> None:
        for tail, value in (
            (Tail(0, False, 9), EMPTY_TAIL_VALUE),
            (Tail(2, False, 9), TAIL_VALUE),
            (Tail(2, True, 9), b'{"count":2,"ended":true}'),
        ):
            self.assertEqual(value, encode_tail(tail))
            self.assertEqual(tail, decode_tail(value, 9))

    def test_items(self) -> None:
        self.assertEqual(ITEM_VALUE, encode_items(ITEMS))
        self.assertEqual(ITEMS, decode_items(ITEM_VALUE))
        self.assertEqual(b"[]", encode_items(()))
        old = b'[["item-2","/r/generate",[],"",512,"g1",0]]'
        self.assertEqual((PLAIN_ITEM,), decode_items(old))

    def test_results(self) -> None:
        for result, value in ((DONE, DONE_VALUE), (DEAD, DEAD_VALUE)):
            self.assertEqual(value, encode_result(result))
            self.assertEqual(result, decode_result(value))
        without_score = b'["item-1","done","one\\ntw\xc3\xa9",[40,41]]'
        self.assertEqual(replace(DONE, score=None, group=None), decode_result(without_score))
        without_group = b'["item-1","done","one\\ntw\xc3\xa9",[40,41],"sig-1"]'
        self.assertEqual(replace(DONE, group=None), decode_result(without_group))

    def test_output_so_far(self) -> None:
        document = b'[["b25l","dHfDqQ=="],[40,41],1,1,true,2]'
        self.assertEqual(document, encode_progress(make_progress(), 300_000))
        self.assertEqual(make_progress(), decode_progress(ITEM, document))
        self.assertEqual(b"[[],[],0,0,false,0]", encode_progress(Progress(ITEM), 300_000))
        self.assertEqual(Progress(ITEM), decode_progress(ITEM, b"[[],[],0,0,false,0]"))

    def test_output_that_does_not_fit_is_not_whole(self) -> None:
        cut = b'[["b25l"],[40],1,1,false,0]'
        self.assertEqual(cut, encode_progress(make_progress(), 39))
        shorter = Progress(ITEM, failed_runs=1)
        shorter.take(1, b"one", 40)
        self.assertEqual(shorter, decode_progress(ITEM, cut))

    def test_output_so_far_of_earlier_versions(self) -> None:
        shorter = Progress(ITEM, failed_runs=1)
        shorter.take(1, b"one", 40)
        self.assertEqual(shorter, decode_progress(ITEM, b'[["b25l"],[40],1,1]'))

    def test_rewritten_documents_begin_with_their_length(self) -> None:
        self.assertEqual([b"00000005ab", b"cde"], split_rewritten(b"abcde", 10))
        self.assertEqual(b"abcde", join_rewritten([b"00000005ab", b"cdeXYZ", b"old"]))


class CrashRowsTest(unittest.IsolatedAsyncioTestCase):
    """Rows of crashes, which lie in a part of the table of heads."""

    async def test_crash_is_written_claimed_and_removed(self) -> None:
        for write in ("save", "claim"):
            rows = Rows()
            crashes = CrashRepository(rows.client)
            if write == "save":
                self.assertTrue(await crashes.save([CRASH], []))
            else:
                self.assertIs(WriteOutcome.DONE, await crashes.claim(CRASH))
            self.assertEqual({CRASH_KEY: CRASH_VALUE}, rows.all(), write)
            self.assertIs(WriteOutcome.CONFLICT, await crashes.claim(CRASH))
            await crashes.save([], [CRASH])
            self.assertEqual({}, rows.all())

    def test_crash_is_read(self) -> None:
        self.assertEqual(CRASH, crash_of_row(row(CRASH_KEY, CRASH_VALUE)))
        gone = crash_of_row(row(CRASH_KEY, b"", removed=True))
        self.assertEqual(replace(CRASH, at=0.0), gone)

    def test_digests_in_keys(self) -> None:
        target = b"/r/generate?n=1"
        found = [
            digest_content("training", "POST", b"Trainers.example:80", target, b"\x00body"),
            digest_content(None, "GET", b"users.example", b"/", b""),
            ITEM.content(HEAD),
            ITEM.content(SPEC),
            ITEM.reward_call.content,
        ]
        expected = [
            "c5ae6f2ce9fd4b5201afcc4b",
            "98a06ce99a2e873edb566b8f",
            "c3c794351f3fd6f24fc8a20b",
            "c3c794351f3fd6f24fc8a20b",
            "ca889b87fb1e163267a4ec7d",
        ]
        self.assertEqual(expected, found)


class UsageRowsTest(unittest.IsolatedAsyncioTestCase):
    """Rows of counts and of decided reports."""

    def setUp(self) -> None:
        self.rows = Rows()
        self.usage = UsageRepository(self.rows.client)

    async def test_counts_are_written(self) -> None:
        self.assertTrue(await self.usage.save_counts(DAEMON, {17: REPORT.counts}, 1.0))
        self.assertEqual({COUNT_KEY: COUNT_VALUE}, self.rows.all())

    async def test_counts_are_summed(self) -> None:
        other = ("usage_counts", "usage", "000000000017/m2/ffee0011")
        later = ("usage_counts", "usage", "000000000018/m2/ffee0011")
        self.rows.put((COUNT_KEY, b'{"training":40}'), (other, b'{"reading":3,"training":1}'))
        self.rows.put((later, b'{"reading":100}'))
        self.assertEqual(REPORT, await self.usage.sum_counts(17))

    async def test_decided_report_is_written_and_noted_as_taken(self) -> None:
        await self.usage.decide(REPORT)
        self.assertEqual({REPORT_KEY: REPORT_VALUE}, self.rows.all())
        decided = DecidedReport(REPORT, False, self.rows.store.version)
        self.assertEqual({17: decided}, await self.usage.decided_since(17))
        await self.usage.note_taken(decided)
        self.assertEqual({REPORT_KEY: TAKEN_VALUE}, self.rows.all())
        decided = DecidedReport(REPORT, True, self.rows.store.version)
        self.assertEqual({17: decided}, await self.usage.decided_since(17))

    async def test_reports_are_read(self) -> None:
        version = self.rows.put((REPORT_KEY, REPORT_VALUE))
        found = await self.usage.decided_since(1)
        self.assertEqual({17: DecidedReport(REPORT, False, version)}, found)
        self.assertEqual({}, await self.usage.decided_since(18))

    async def test_rows_of_earlier_windows_are_removed(self) -> None:
        self.rows.put((COUNT_KEY, COUNT_VALUE), (REPORT_KEY, REPORT_VALUE))
        await self.usage.remove_before(17)
        self.assertEqual(2, len(self.rows.all()))
        await self.usage.remove_before(18)
        self.assertEqual({}, self.rows.all())


class LeaseRowsTest(unittest.IsolatedAsyncioTestCase):
    """Rows of leases."""

    async def test_lease_of_each_duty_is_written(self) -> None:
        for duty, part in (
            (Duty.ENGINE_ORDERS, "engines"),
            (Duty.USAGE, "usage"),
            (Duty.SCALING, "scaling"),
        ):
            rows = Rows()
            leases = LeaseTable(DAEMON, rows.client, StillClock(), lambda: 3.0)
            taken = await leases.take(LeaseSubject(duty, "engine-3/1"))
            self.assertEqual({("leases", part, "engine-3/1"): LEASE_VALUE}, rows.all())
            self.assertEqual(rows.store.version, taken.token)

    async def test_lease_is_read(self) -> None:
        key = ("leases", "usage", "windows")
        subject = LeaseSubject(Duty.USAGE, "windows")
        for holder, free_at, is_free in (
            (b"m2/ffee0011", b"12.51", False),
            (b"m2/ffee0011", b"12.5", True),
            (b"m1/0a1b2c3d", b"16.5", True),
        ):
            rows = Rows()
            value = b'{"holder":"%s","free_at":%s}' % (holder, free_at)
            rows.put((key, value))
            leases = LeaseTable(DAEMON, rows.client, StillClock(), lambda: 3.0)
            self.assertEqual(is_free, await leases.take(subject) is not None)
            self.assertEqual({key: LEASE_VALUE if is_free else value}, rows.all())


class HeartbeatRowsTest(unittest.TestCase):
    """Rows of heartbeats."""

    def test_heartbeats(self) -> None:
        for heartbeat, value in (
            (Heartbeat(2.0), b'{"interval":2.0}'),
            (Heartbeat(0.25, leaving=True), LEAVING_VALUE),
            (Heartbeat(0.25, {"engine-3/1": [2, 0.5]}, coordinates=True), AWAITED_VALUE),
            (
                Heartbeat(2.0, {}, "10.0.0.9:7000", clock_offset=0.0123, zone="north"),
                KNOWN_VALUE,
            ),
        ):
            self.assertEqual(value, encode_heartbeat(heartbeat))
            self.assertEqual(heartbeat, decode_heartbeat(value))
        uses = Heartbeat(0.25, {"engine-3/1": (2, 0.5)}, coordinates=True)
        self.assertEqual(AWAITED_VALUE, encode_heartbeat(uses))
        offset = Heartbeat(2.0, {}, "10.0.0.9:7000", clock_offset=0.01234, zone="north")
        self.assertEqual(KNOWN_VALUE, encode_heartbeat(offset))

    def test_unreadable_heartbeats_raise(self) -> None:
        for value in (b"", b"{}", b"[]", b'{"interval":null}'):
            with self.assertRaises(ValueError):
                decode_heartbeat(value)

    def test_member_writes_both_its_rows_and_the_last_one(self) -> None:
        async def play() -> None:
            clock = LoopClock()
            store = MemoryStore(clock)
            member = make_active_member(DAEMON, store, clock)
            tasks = TaskSet(clock, Telemetry("m1", log=False))
            member.start(tasks)
            await clock.sleep(3.0)
            found = {tuple(key): row.value for key, row in store.rows.items()}
            self.assertEqual({KNOWN_KEY: KNOWN_VALUE, AWAITED_KEY: AWAITED_VALUE}, found)
            tasks.cancel_all()
            await member.leave()
            found = {tuple(key): row.value for key, row in store.rows.items()}
            self.assertEqual({AWAITED_KEY: LEAVING_VALUE}, found)

        run(play())

    def test_member_reads_the_rows_of_others(self) -> None:
        async def play() -> None:
            clock = LoopClock()
            store = MemoryStore(clock)
            told = {}
            member = make_member("m2/ffee0011", store, clock, told)
            puts = ((KNOWN_KEY, KNOWN_VALUE), (AWAITED_KEY, AWAITED_VALUE))
            rows = tuple((RowKey(*key), value) for key, value in puts)
            store.apply(Transaction(puts=rows))
            tasks = TaskSet(clock, Telemetry("m2", log=False))
            member.start(tasks)
            await clock.sleep(0.3)
            self.assertTrue(member.is_alive(DAEMON))
            self.assertEqual({DAEMON: {"engine-3/1": [2, 0.5]}}, told)
            self.assertEqual(["10.0.0.9:7000"], list(member.peers()))
            self.assertEqual([0.0123], member.clock_offsets())
            tasks.cancel_all()

        run(play())


class KeySpaceTest(unittest.TestCase):
    """All tables and parts that whole daemons write, and the form of each key there."""

    def test_all_keys_that_a_fleet_writes(self) -> None:
        async def play() -> None:
            fleet = make_scaled_fleet()
            keys = set()
            fleet.store.watchers.append(lambda change: keys.update(key for key, _ in change.puts))
            fleet.put("operator", "configuration", b"scaled")
            fleet.add_scorer("page-0", PAGES)
            await fleet.wait(8.0)
            pages = (ServiceShare(PAGES, 1.0),)
            route = Route("pages", "h", b"/", RouteKind.IDEMPOTENT, pages, 2.0, 0.2)
            now = fleet.clock.now()
            request = ClientRequest(b"r1", "GET", b"h", b"/", (), b"", now, 1.5, "reading")
            await forward(fleet, request, route)
            await fleet.submit(make_batch("batch-7", tenant="training"))
            await fleet.wait(4.0)
            fleet.put("operator", MODEL, b"2")
            fleet.store.apply(Transaction(removals=(RowKey("instances", "", "engine-0"),)))
            await fleet.wait(13.0)
            others = {"operator", "instances"}  # this fleet's names of the platform's own tables
            names = ["|".join(key) for key in keys if key.table not in others]
            forms = {
                form: [name for name in names if re.fullmatch(form, name)] for form in FLEET_KEYS
            }
            self.assertEqual([], [form for form, found in forms.items() if not found])
            known = {name for found in forms.values() for name in found}
            self.assertEqual([], sorted(set(names) - known))

        run(play())


FLEET_KEYS = (
    r"batches\|b0\|batch-7",
    r"batch_tails\|b0\|batch-7",
    r"batch_items\|b0\|batch-7/[0-9a-f]{16}/000000",
    r"batch_results\|b0\|batch-7/000000[01][0-9]/0000",
    r"batch_partials\|b0\|batch-7/batch-7-[0-9]+/00",
    r"members\|known\|daemon-[0-2]/[0-9a-f]{8}",
    r"members\|awaited\|daemon-[0-2]/[0-9a-f]{8}",
    r"leases\|engines\|engine-[0-9]+",
    r"leases\|scaling\|engines\x00north",
    r"leases\|usage\|windows",
    r"usage_counts\|usage\|00034000000[0-9]/daemon-[0-2]/[0-9a-f]{8}",
    r"usage_reports\|usage\|00034000000[0-9]",
)
"""Table, part and key; rows of crashes are in `CrashRowsTest`, as nothing crashes here."""


class OperatorRowsTest(unittest.TestCase):
    """Rows that operators, trainers and servers write and larkpost reads."""

    def test_tables(self) -> None:
        self.assertEqual("op", READERS.operator_table)
        self.assertEqual("servers", READERS.instance_table)

    def test_whole_configuration(self) -> None:
        found = READERS.configuration(row(("op", "", "config"), CONFIGURATION_VALUE))
        self.assertEqual(CONFIGURATION, found)

    def test_least_configuration(self) -> None:
        value = (
            b'{"version":"2","routes":[{"host":"h","path-prefix":"/","kind":"batch",'
            b'"service":"s"}],"services":[{"name":"s"}]}'
        )
        expected = Configuration(
            2,
            (Route("", "h", b"/", RouteKind.BATCH, (ServiceShare("s", 1.0),), 30.0, 1.0),),
            {"s": Service("s", 100)},
            RequestLimits(65536, 33554432, 10.0, 60.0),
            None,
        )
        self.assertEqual(expected, READERS.configuration(row(("op", "", "config"), value)))

    def test_version_target(self) -> None:
        found = READERS.weight_target(
            row(("op", "", "version/small"), b'{"model":"small","version":41}')
        )
        self.assertEqual(WeightTarget("small", 41), found)

    def test_evacuation(self) -> None:
        key = ("op", "", "evacuate/north")
        self.assertEqual(ZoneEvacuation("north", True), READERS.evacuation(row(key, b"{}")))
        gone = READERS.evacuation(row(key, b"", removed=True))
        self.assertEqual(ZoneEvacuation("north", False), gone)

    def test_each_reader_passes_over_the_rows_of_the_others(self) -> None:
        readers = (READERS.configuration, READERS.weight_target, READERS.evacuation)
        values = {
            "config": CONFIGURATION_VALUE,
            "version/small": b'{"model":"small","version":41}',
            "evacuate/north": b"{}",
            "other": b"{}",
        }
        for number, (key, value) in enumerate(values.items()):
            taken = [reader(row(("op", "", key), value)) is not None for reader in readers]
            self.assertEqual([place == number for place in range(3)], taken, key)

    def test_unreadable_rows_raise(self) -> None:
        for reader, key in (
            (READERS.configuration, ("op", "", "config")),
            (READERS.weight_target, ("op", "", "version/small")),
            (READERS.evacuation, ("op", "", "evacuate/")),
            (READERS.instance, ("servers", "", "engine-3/1")),
        ):
            with self.assertRaises(UnreadableRowError):
                reader(row(key, b"{}"))

    def test_server_entries(self) -> None:
        key = ("servers", "", "engine-3/1")
        whole = (
            b'{"service":"engines","address":"10.0.0.3:8000","zone":"north","slots":8,'
            b'"state":"draining","models":[{"name":"small","version":41},{"name":"big",'
            b'"version":7}],"preemptible":true,"cold-left-ms":1500,"version":"v1","seq":4}'
        )
        expected = InstanceInfo(
            "engine-3/1",
            "engines",
            "10.0.0.3:8000",
            "north",
            8,
            InstanceState.LEAVING,
            {"small": 41, "big": 7},
            5,
            True,
            1.5,
        )
        self.assertEqual(expected, READERS.instance(row(key, whole)))
        least = (
            b'{"service":"pages","address":"10.0.0.4:8000","zone":"north","slots":1,'
            b'"state":"ready","cold-left-ms":0,"version":"v1","seq":0}'
        )
        expected = InstanceInfo(
            "engine-3/1",
            "pages",
            "10.0.0.4:8000",
            "north",
            1,
            InstanceState.READY,
            {},
            5,
            False,
            0.0,
        )
        self.assertEqual(expected, READERS.instance(row(key, least)))
        without_most = b'{"service":"pages","address":"10.0.0.4:8000"}'
        self.assertRaises(UnreadableRowError, READERS.instance, row(key, without_most))


CONFIGURATION_VALUE = (
    b'{"version":9,"routes":[{"name":"rollouts","host":"Users.Example","path-prefix":"/rollouts/",'
    b'"kind":"rollout","timeout-ms":10000,"target-ms":400,"priority":1,"service":"engines",'
    b'"max-attempts":3,"queue-ttl-s":40.0,"result-due-ms":7500,"resumable":true,'
    b'"single-version":true,"allowed-regions":["east"]},'
    b'{"name":"pages","host":"users.example","path-prefix":"/pages/","kind":"idempotent",'
    b'"public":true,"weighted-services":[{"service":"pages","weight":3},'
    b'{"service":"new","weight":1}]},'
    b'{"name":"pay","host":"users.example","path-prefix":"/pay/","kind":"non_idempotent",'
    b'"service":"pages"},'
    b'{"name":"talk","host":"users.example","path-prefix":"/talk/","kind":"stream",'
    b'"service":"engines"}],'
    b'"services":[{"name":"engines","health-path":"/health","max-conns":170,'
    b'"engine":{"slots":8,"stride":4,"models":[{"name":"small"},{"name":"big"}]},'
    b'"cold-start-s":3,"cold-per-s":9.3,"autoscale":{"min":1,"max":8,"boot-s":4,'
    b'"spot-price":0.25,"zone-prices":{"north":1,"south":0.8}}},'
    b'{"name":"pages","autoscale":{"min":0,"max":2}},{"name":"new"}],'
    b'"tenants":[{"name":"training","api-keys":["key-1","key-2"],"priority":2,'
    b'"allowed-regions":["east","west"]},{"name":"reading"}],'
    b'"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":3000,'
    b'"idle-timeout-ms":15000}}'
)
CONFIGURATION = Configuration(
    version=9,
    routes=(
        Route(
            name="rollouts",
            host="users.example",
            path_prefix=b"/rollouts/",
            kind=RouteKind.BATCH,
            shares=(ServiceShare("engines", 1.0),),
            time_limit=10.0,
            objective=0.4,
            priority=1,
            max_attempts=3,
            resumable=True,
            due=7.5,
            queue_lifetime=40.0,
            single_version=True,
            regions=frozenset({"east"}),
        ),
        Route(
            name="pages",
            host="users.example",
            path_prefix=b"/pages/",
            kind=RouteKind.IDEMPOTENT,
            shares=(ServiceShare("pages", 3.0), ServiceShare("new", 1.0)),
            time_limit=30.0,
            objective=1.0,
            is_public=True,
        ),
        Route(
            name="pay",
            host="users.example",
            path_prefix=b"/pay/",
            kind=RouteKind.RUN_ONCE,
            shares=(ServiceShare("pages", 1.0),),
            time_limit=30.0,
            objective=1.0,
        ),
        Route(
            name="talk",
            host="users.example",
            path_prefix=b"/talk/",
            kind=RouteKind.STREAM,
            shares=(ServiceShare("engines", 1.0),),
            time_limit=30.0,
            objective=1.0,
        ),
    ),
    services={
        "engines": Service(
            "engines",
            170,
            8,
            ("small", "big"),
            4,
            ScalingTerms(1, 8, 4.0, 0.25, {"north": 1.0, "south": 0.8}),
            3.0,
            9.3,
        ),
        "pages": Service("pages", 100, scaling=ScalingTerms(0, 2, 0.0, None, {})),
        "new": Service("new", 100),
    },
    limits=RequestLimits(16384, 1048576, 3.0, 15.0),
    tenants=(
        Tenant(
            "training",
            frozenset({digest_key(b"key-1"), digest_key(b"key-2")}),
            2,
            frozenset({"east", "west"}),
        ),
        Tenant("reading", frozenset()),
    ),
)
