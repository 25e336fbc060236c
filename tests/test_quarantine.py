"""Tests of crash detection, of sharing crashes between daemons, and of clearing requests."""

import unittest
from contextlib import ExitStack
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.ids import Address, InstanceId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo, InstanceState
from larkpost.gateway.blackboard.known_crashes import (
    CLIENT_CRASH_LIMIT,
    CRASH_RETENTION_SECONDS,
    SUSPECT_CRASHES,
    Crash,
    KnownCrashes,
    LostRun,
)
from larkpost.gateway.blackboard.request_content import ContentDigest, digest_request
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.placement.decision import PlacementDecision
from larkpost.gateway.placement.work import CLIENT_WORK, Work, WorkKind
from larkpost.gateway.quarantine.crash_detector import (
    INVESTIGATION_SECONDS,
    CrashDetector,
    CrashEvidence,
)
from larkpost.gateway.quarantine.crash_recorder import CrashRecorder
from larkpost.gateway.quarantine.crash_writer import CrashWriter
from larkpost.gateway.quarantine.isolation_rule import (
    DOUBLING_SECONDS,
    IDLE_SECONDS,
    IsolationRule,
)
from larkpost.gateway.quarantine.repository import (
    CRASH_PART,
    CRASH_TABLE,
    CrashRepository,
    crash_of_row,
)
from larkpost.gateway.quarantine.server_port import QuarantineServerPort
from larkpost.gateway.quarantine.trial_claims import TRIAL_DELAYS_SECONDS, TrialClaims
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
    OutgoingRequest,
    PortState,
)
from larkpost.gateway.store.port import Row, RowKey
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient, StoreFaults
from larkpost.standalone.telemetry import Telemetry
from tests.recording_log import RecordingLog
from tests.scripted_engines import ScriptedEngine, ScriptedEngines
from tests.server_parts import make_instance
from tests.virtual import run

CONTENT = ContentDigest("aa")
REQUEST = OutgoingRequest(b"1", "GET", b"h", b"/", (), b"")
LOST_RUN = LostRun(CONTENT, 0.1, 0.0)


class Probes:
    """Servers whose probe results a test controls."""

    def __init__(self, state: PortState) -> None:
        self.state = state
        self.asked = 0

    async def probe(self, instance: InstanceInfo, timeout: float) -> PortState:
        """Returns the scripted probe result."""
        self.asked += 1
        return self.state


class CrashDetectorTest(unittest.TestCase):
    """A server that did not respond to a request, and the evidence that it has crashed."""

    def begin(self, state: PortState) -> None:
        """Lists a server that did not respond to a request."""
        self.clock = LoopClock()
        self.directory = InstanceDirectory()
        self.probes = Probes(state)
        self.found: list[tuple[InstanceId, set[ContentDigest], str]] = []
        self.instance = make_instance("a")
        self.directory.update(self.instance)
        self.detector = CrashDetector(
            self.directory,
            self.probes,
            self.clock,
            TaskSet(self.clock, Telemetry("t", log=False)),
            lambda instance, runs, how: self.found.append(
                (instance, {run.content for run in runs}, how)
            ),
        )

    def check_found(self, *evidence: CrashEvidence) -> None:
        """Checks the evidence of the server's crash, or that there is none."""
        expected = [("a", {CONTENT}, how) for how in evidence]
        self.assertEqual(expected, self.found)

    def test_dead_port_shows_a_crash_at_once(self):
        async def play():
            self.begin(PortState.DEAD)
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(0.05)
            self.check_found(CrashEvidence.DEAD_PORT)

        run(play())

    def test_requests_lost_shortly_after_the_crash_count(self):
        async def play():
            self.begin(PortState.DEAD)
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(0.05)
            self.detector.record_lost_connection(
                replace(LOST_RUN, content=ContentDigest("bb")), self.instance
            )
            self.assertEqual(["a", "a"], [found[0] for found in self.found])
            self.assertEqual({"bb"}, self.found[1][1])
            self.assertEqual(1, self.probes.asked)

        run(play())

    def test_server_that_listens_and_stays_listed_has_not_crashed(self):
        async def play():
            self.begin(PortState.LISTENS)
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(2 * INVESTIGATION_SECONDS)
            self.check_found()
            self.assertEqual(1, self.probes.asked)
            self.directory.update(make_instance("b"))
            await self.clock.sleep(1.0)
            self.check_found()

        run(play())

    def test_server_that_crashes_after_losing_a_request_is_detected(self):
        async def play():
            self.begin(PortState.LISTENS)
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(INVESTIGATION_SECONDS - 0.1)
            self.probes.state = PortState.DEAD
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(0.05)
            self.check_found(CrashEvidence.DEAD_PORT)

        run(play())

    def test_leaving_server_is_not_probed_again(self):
        async def play():
            self.begin(PortState.LISTENS)
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(0.1)
            self.directory.update(replace(self.instance, state=InstanceState.LEAVING))
            self.probes.state = PortState.DEAD
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(2 * INVESTIGATION_SECONDS)
            self.check_found()
            self.assertEqual(1, self.probes.asked)

        run(play())

    def test_another_instance_at_the_address_shows_a_crash(self):
        async def play():
            self.begin(PortState.LISTENS)
            self.directory.update(make_instance("neighbour"))
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(3.0)
            self.check_found()
            self.directory.update(make_instance("b"))
            await self.clock.sleep(0.5)
            self.check_found(CrashEvidence.REPLACED)

        run(play())

    def test_unresponsive_server_has_crashed_once_its_entry_is_removed(self):
        async def play():
            self.begin(PortState.UNRESPONSIVE)
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(3.0)
            self.check_found()
            self.directory.forget(self.instance.id)
            await self.clock.sleep(0.5)
            self.check_found(CrashEvidence.GONE)

        run(play())

    def test_server_without_an_entry_that_listens_has_not_crashed(self):
        async def play():
            self.begin(PortState.LISTENS)
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            self.directory.forget(self.instance.id)
            await self.clock.sleep(2 * INVESTIGATION_SECONDS)
            self.check_found()

        run(play())

    def test_server_that_leaves_has_not_crashed(self):
        async def play():
            self.begin(PortState.DEAD)
            self.directory.update(replace(self.instance, state=InstanceState.LEAVING))
            self.detector.record_lost_connection(LOST_RUN, self.instance)
            await self.clock.sleep(1.0)
            self.check_found()

        run(play())


class RecorderTest(unittest.TestCase):
    """A recorder with a store, and a second one that receives the rows."""

    def begin(self) -> None:
        """Starts both recorders."""
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.tasks = TaskSet(self.clock, Telemetry("t", log=False))
        self.log = RecordingLog()
        self.crashes, self.recorder = self.make()
        self.others, self.other = self.make()

    def make(self) -> tuple[KnownCrashes, CrashRecorder]:
        """Returns a started recorder and its known crashes."""
        crashes = KnownCrashes()
        repository = CrashRepository(StoreClient(self.store))
        writer = CrashWriter(repository, self.clock)
        recorder = CrashRecorder(crashes, writer, self.log, Metrics(), lambda: True)
        recorder.start(self.tasks)
        return crashes, recorder

    def crash(self, count: int, first: int = 0) -> None:
        """Crashes some servers during the request."""
        for number in range(first, first + count):
            runs = (LostRun(digest_request(REQUEST), 0.1, 0.0),)
            self.recorder.record_crash(InstanceId(f"i{number}"), runs, CrashEvidence.DEAD_PORT)

    def tell_other(self) -> None:
        """Passes all rows to the second recorder, including removals."""
        stored = {key: row for key, row in self.store.rows.items() if key.part == CRASH_PART}
        for crash in self.others.older_than(float("inf")):
            key = RowKey(CRASH_TABLE, CRASH_PART, f"{crash.content}/{crash.instance}")
            if key not in stored:
                self.other.record_row(Row(key, b"", 99, removed=True))
        for row in stored.values():
            self.other.record_row(row)

    def test_other_daemons_quarantine_the_request_after_the_third_crash(self):
        async def play():
            self.begin()
            self.crash(2)
            await self.clock.sleep(0.1)
            self.tell_other()
            self.assertFalse(self.others.is_quarantined(REQUEST, CLIENT_CRASH_LIMIT))
            self.crash(1, first=2)
            await self.clock.sleep(0.1)
            self.tell_other()
            self.assertTrue(self.others.is_quarantined(REQUEST, CLIENT_CRASH_LIMIT))
            self.assertEqual((1, 3), (self.others.count_quarantined(), len(self.others)))

        run(play())

    def test_crash_observed_by_two_daemons_counts_once(self):
        async def play():
            self.begin()
            for recorder in (self.recorder, self.other):
                runs = (LostRun(digest_request(REQUEST), 0.1, 0.0),)
                recorder.record_crash(InstanceId("i0"), runs, CrashEvidence.DEAD_PORT)
            await self.clock.sleep(0.1)
            self.tell_other()
            self.assertEqual(1, self.others.count(digest_request(REQUEST)))
            self.assertEqual(1, len(self.store.rows))

        run(play())

    def test_complete_response_clears_the_request_everywhere(self):
        async def play():
            self.begin()
            self.crash(3)
            await self.clock.sleep(0.1)
            self.tell_other()
            self.recorder.record_success(replace(REQUEST, request_id=b"2"))
            await self.clock.sleep(0.1)
            self.assertEqual({}, self.store.rows)
            self.tell_other()
            for crashes in (self.crashes, self.others):
                self.assertFalse(crashes.is_quarantined(REQUEST, CLIENT_CRASH_LIMIT))
                self.assertEqual(0, len(crashes))
            states = [f["state"] for e, f in self.log.events if e is Event.QUARANTINE]
            self.assertEqual(["begun", "begun", "ended", "ended"], states)

        run(play())

    def test_changes_are_written_after_a_store_outage(self):
        async def play():
            self.begin()
            self.store.faults = StoreFaults(refuses=True)
            self.crash(120)
            await self.clock.sleep(5.0)
            self.assertEqual({}, self.store.rows)
            self.store.faults = StoreFaults()
            await self.clock.sleep(0.5)
            self.assertEqual(120, len(self.store.rows))

        run(play())

    def test_old_crashes_are_forgotten(self):
        async def play():
            self.begin()
            self.crash(3)
            await self.clock.sleep(CRASH_RETENTION_SECONDS - 60.0)
            self.assertEqual(3, len(self.store.rows))
            await self.clock.sleep(180.0)
            self.assertEqual({}, self.store.rows)
            self.assertEqual(0, len(self.crashes))

        run(play())

    def lose(self, number: int, run_seconds: float, output_seconds: float) -> None:
        """Crashes a server under the request."""
        run = LostRun(digest_request(REQUEST), run_seconds, output_seconds)
        self.recorder.record_crash(InstanceId(f"i{number}"), (run,), CrashEvidence.DEAD_PORT)

    def test_crash_under_what_is_owed_has_a_line_and_no_row(self):
        async def play():
            self.begin()
            run_of_item = LostRun(CONTENT, 0.1, 0.0, is_counted=False)
            self.recorder.record_crash(InstanceId("i"), (run_of_item,), CrashEvidence.DEAD_PORT)
            await self.clock.sleep(0.1)
            self.assertEqual((0, {}), (len(self.crashes), self.store.rows))
            ((event, fields),) = self.log.events
            self.assertIs(Event.SERVER_CRASH, event)
            self.assertEqual(([CONTENT], 0), (fields["contents"], fields["crashes"]))

        run(play())

    def test_run_that_outlives_its_crashes_is_cleared_everywhere(self):
        async def play():
            self.begin()
            for number in range(CLIENT_CRASH_LIMIT):
                self.lose(number, 0.1, 0.0)
            await self.clock.sleep(0.1)
            self.tell_other()
            self.recorder.record_output(digest_request(REQUEST), 0.3)
            self.assertEqual(3, self.crashes.count(digest_request(REQUEST)))
            self.recorder.record_output(digest_request(REQUEST), 0.4)
            await self.clock.sleep(0.1)
            self.assertEqual({}, self.store.rows)
            self.tell_other()
            self.assertEqual((0, 0), (len(self.crashes), len(self.others)))
            states = [f["state"] for e, f in self.log.events if e is Event.QUARANTINE]
            self.assertEqual(["begun", "begun", "ended", "outlived", "ended"], states)

        run(play())

    def test_longer_run_that_ends_by_a_crash_outlives_the_earlier_ones(self):
        async def play():
            self.begin()
            for number, lasted in enumerate((0.3, 0.2, 1.5, 0.2, 0.7)):
                self.lose(number, lasted, lasted - 0.05)
            lasted = [crash.run_seconds for crash in self.crashes.of(digest_request(REQUEST))]
            self.assertEqual([1.5, 0.7], lasted)

        run(play())

    def test_runs_without_output_outlive_nothing(self):
        async def play():
            self.begin()
            for number, lasted in enumerate((0.1, 2.5, 0.1)):
                self.lose(number, lasted, 0.0)
            self.assertTrue(self.crashes.is_quarantined(REQUEST, CLIENT_CRASH_LIMIT))

        run(play())

    def test_trials_go_with_the_last_crashes(self):
        async def play():
            self.begin()
            for number in range(CLIENT_CRASH_LIMIT):
                self.lose(number, 0.1, 0.0)
            content = digest_request(REQUEST)
            claims = TrialClaims(
                self.crashes, CrashRepository(StoreClient(self.store)), self.clock, self.log
            )
            await self.clock.sleep(TRIAL_DELAYS_SECONDS[0])
            self.assertTrue(await claims.claim(content))
            self.assertEqual(3, self.crashes.count(content))
            self.assertTrue(self.crashes.is_quarantined(REQUEST, CLIENT_CRASH_LIMIT))
            self.recorder.record_output(content, 1.0)
            await self.clock.sleep(0.1)
            self.assertEqual(({}, 0), (self.store.rows, len(self.crashes)))

        run(play())

    def test_claim_that_is_done_late_is_used_by_its_daemon_only(self):
        async def play():
            self.begin()
            for number in range(CLIENT_CRASH_LIMIT):
                self.lose(number, 0.1, 0.0)
            await self.clock.sleep(TRIAL_DELAYS_SECONDS[0])
            self.tell_other()
            content = digest_request(REQUEST)
            repository = CrashRepository(StoreClient(self.store))
            own, other = (
                TrialClaims(crashes, repository, self.clock, self.log)
                for crashes in (self.crashes, self.others)
            )
            self.store.faults = StoreFaults(late_writes=1.0, late_seconds=2.0)
            self.assertFalse(await own.claim(content))
            self.store.faults = StoreFaults()
            await self.clock.sleep(3.0)
            self.store.apply_late_writes()
            self.tell_other()
            for row in self.store.rows.values():
                self.recorder.record_row(row)
            self.assertFalse(await other.claim(content))
            self.assertTrue(await own.claim(content))
            self.assertFalse(await own.claim(content))

        run(play())

    def test_rows_of_both_versions_can_be_read(self):
        for value, expected in ((b'{"at": 5.0}', None), (b'{"at": 5.0, "run_seconds": 0.1}', 0.1)):
            row = Row(RowKey(CRASH_TABLE, CRASH_PART, "aa/i"), value, 1)
            self.assertEqual(Crash(CONTENT, InstanceId("i"), 5.0, expected), crash_of_row(row))

    def test_unreadable_rows_are_ignored(self):
        async def play():
            self.begin()
            for key, value in (("aa/i", b"no json"), ("aa/i", b"{}"), ("aa", b'{"at": 1}')):
                self.recorder.record_row(Row(RowKey(CRASH_TABLE, CRASH_PART, key), value, 1))
            self.assertEqual(0, len(self.crashes))
            self.assertEqual({Event.UNREADABLE}, {event for event, _ in self.log.events})

        run(play())


class GuardTest(unittest.TestCase):
    """Requests through the quarantine to one server."""

    def begin(self) -> None:
        """Starts a server."""
        self.clock = LoopClock()
        self.engines = ScriptedEngines(self.clock, ModelName("model"))
        self.state = ScriptedEngine()
        self.instance = make_instance("a")
        self.engines.engines[self.instance.id] = self.state
        self.crashes = KnownCrashes()
        self.isolation = IsolationRule(self.clock)
        self.lost: list[ContentDigest] = []
        self.lost_runs: list[LostRun] = []
        self.outputs: list[tuple[ContentDigest, float]] = []
        self.guard = QuarantineServerPort(
            self.engines, self.crashes, self, self, self.isolation, self.clock
        )
        self.served_requests: list[OutgoingRequest] = []

    def record_lost_connection(self, run: LostRun, instance: InstanceInfo) -> None:
        """Records what the crash detector is told."""
        self.lost.append(run.content)
        self.lost_runs.append(run)

    def record_output(self, content: ContentDigest, seconds: float) -> None:
        """Records what the crash recorder is told of a suspect's output."""
        self.outputs.append((content, seconds))

    def record_success(self, request: OutgoingRequest) -> None:
        """Records what the crash recorder is told."""
        self.served_requests.append(request)

    async def send(self) -> None:
        """Sends the request and reads the response."""
        async with self.guard.send(self.instance, REQUEST) as answer:
            async for _ in answer.chunks():
                pass

    def test_complete_response_is_recorded(self):
        async def play():
            self.begin()
            await self.send()
            self.assertEqual(([], [REQUEST]), (self.lost, self.served_requests))

        run(play())

    def test_failure_and_unsigned_success_clear_nothing(self):
        async def play():
            self.begin()
            self.state.status = 500
            await self.send()
            self.state.status, self.state.unsigned = None, True
            await self.send()
            self.assertEqual(([], []), (self.lost, self.served_requests))

        run(play())

    def test_lost_connection_is_recorded(self):
        async def play():
            self.begin()
            self.state.break_after = 0
            with self.assertRaises(BrokenResponseError):
                await self.send()
            self.assertEqual(([digest_request(REQUEST)], []), (self.lost, self.served_requests))

        run(play())

    def test_abandoned_response_is_not_a_lost_connection(self):
        async def play():
            self.begin()
            with self.assertRaises(BrokenResponseError):
                async with self.guard.send(self.instance, REQUEST):
                    raise BrokenResponseError("its version is too old")
            self.assertEqual(([], []), (self.lost, self.served_requests))

        run(play())

    def test_suspects_are_isolated_only_from_each_other(self):
        async def play():
            self.begin()
            suspect = Work(WorkKind.CLIENT, is_suspect=True)
            for number in range(SUSPECT_CRASHES):
                self.crashes.add(Crash(digest_request(REQUEST), InstanceId(f"i{number}"), 0.0))
            async with self.guard.send(self.instance, REQUEST):
                self.assertIs(
                    PlacementDecision.ISOLATED, self.isolation.evaluate(self.instance, suspect)
                )
                self.assertIs(
                    PlacementDecision.ALLOWED, self.isolation.evaluate(self.instance, CLIENT_WORK)
                )
                other = make_instance("b", address=Address("10.0.0.2:1"))
                self.assertIs(PlacementDecision.ALLOWED, self.isolation.evaluate(other, suspect))
            self.assertIs(
                PlacementDecision.ALLOWED, self.isolation.evaluate(self.instance, suspect)
            )

        run(play())

    def test_output_of_a_suspect_is_timed(self):
        async def play():
            self.begin()
            self.state.event_seconds = 0.1
            for number in range(SUSPECT_CRASHES):
                self.crashes.add(Crash(digest_request(REQUEST), InstanceId(f"i{number}"), 0.0))
            async with self.guard.send(self.instance, REQUEST) as answer:
                events = [event async for event in answer.events()]
            self.assertEqual({digest_request(REQUEST)}, {content for content, _ in self.outputs})
            expected = [0.1 * number for number in range(len(events))]
            for seconds, (_, timed) in zip(expected, self.outputs, strict=True):
                self.assertAlmostEqual(seconds, timed)

        run(play())

    def test_limit_of_suspects_doubles_while_a_server_loses_none(self):
        async def play():
            self.begin()
            suspect = Work(WorkKind.CLIENT, is_suspect=True)

            def admitted() -> int:
                """Returns how many more suspects the server would be given now."""
                with ExitStack() as stack:
                    count = 0
                    while self.isolation.evaluate(self.instance, suspect).is_allowed:
                        stack.enter_context(self.isolation.track_suspect(self.instance.id))
                        count += 1
                return count

            counts = []
            for _ in range(4):
                counts.append(admitted())
                await self.clock.sleep(DOUBLING_SECONDS)
            self.assertEqual([1, 2, 4, 8], counts)
            self.isolation.record_lost_connection(self.instance.id)
            self.assertEqual(1, admitted())
            await self.clock.sleep(2 * DOUBLING_SECONDS)
            self.assertEqual(4, admitted())
            await self.clock.sleep(IDLE_SECONDS)
            self.assertEqual(1, admitted())

        run(play())

    def test_what_is_owed_is_sent_and_not_counted(self):
        async def play():
            self.begin()
            owed = replace(REQUEST, crash_limit=None)
            for number in range(2 * CLIENT_CRASH_LIMIT):
                self.crashes.add(Crash(digest_request(owed), InstanceId(f"i{number}"), 0.0))
            suspect = Work(WorkKind.CLIENT, is_suspect=True)
            async with self.guard.send(self.instance, owed):
                decision = self.isolation.evaluate(self.instance, suspect)
                self.assertIs(PlacementDecision.ALLOWED, decision)
            self.assertEqual([], self.served_requests)
            self.state.break_after = 0
            with self.assertRaises(BrokenResponseError):
                async with self.guard.send(self.instance, owed) as answer:
                    [chunk async for chunk in answer.chunks()]
            self.assertEqual([False], [run.is_counted for run in self.lost_runs])

        run(play())

    def test_quarantined_request_is_not_sent(self):
        async def play():
            self.begin()
            for number in range(CLIENT_CRASH_LIMIT):
                crash = Crash(digest_request(REQUEST), InstanceId(f"i{number}"), 0.0)
                self.crashes.add(crash)
            with self.assertRaises(NotRunError):
                await self.send()
            self.assertEqual([], self.state.runs)

        run(play())
