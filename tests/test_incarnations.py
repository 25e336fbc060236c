"""Tests that data about a server is not applied to its next incarnation under the same name."""

import asyncio
import random
import unittest
from unittest import mock

import orjson
from hypothesis import given
from hypothesis import strategies as st

from larkpost.common.clock import LoopClock
from larkpost.common.ids import Address, DaemonId, InstanceId, InstanceName, ZoneId
from larkpost.common.incarnations import instance_id, split_instance_id
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import InstanceDirectory, InstanceInfo, InstanceState
from larkpost.gateway.blackboard.known_crashes import (
    CLIENT_CRASH_LIMIT,
    Crash,
    KnownCrashes,
    LostRun,
)
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.controllers import weight_loader
from larkpost.gateway.controllers.heartbeat import Heartbeat, decode_heartbeat, encode_heartbeat
from larkpost.gateway.controllers.row_recorder import RemovalTrust, RowRecorder
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.quarantine.crash_detector import CrashDetector, CrashEvidence
from larkpost.gateway.quarantine.repository import crash_of_row
from larkpost.gateway.servers.port import EngineReport, NotRunReason, PortState, ServerLoad
from larkpost.gateway.store.port import Row, RowKey
from larkpost.platform.assembly import READERS
from tests.virtual import run

NAME = InstanceName("engine-3")
FIRST_START = 1_700_000_000_000
SECOND_START = FIRST_START + 4_000
SERVICE = ServiceName("engines")
MODEL = "small"


def incarnation(
    started_at_ms: int | None, state: InstanceState = InstanceState.READY
) -> InstanceInfo:
    """Returns an incarnation of the server."""
    return InstanceInfo(
        instance_id(NAME, started_at_ms),
        SERVICE,
        Address("10.0.0.3:8000"),
        ZoneId("north"),
        8,
        state,
        {MODEL: 1},
    )


FIRST = incarnation(FIRST_START)
SECOND = incarnation(SECOND_START)


def entry_row(version: int, started_at_ms: int | None, **changed: object) -> Row:
    """Returns the server's entry in the store."""
    document = {
        "service": SERVICE,
        "address": "10.0.0.3:8000",
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-left-ms": 0,
        "seq": version,
        "models": [{"name": MODEL, "version": 1}],
    }
    if started_at_ms is not None:
        document["born"] = started_at_ms
    return Row(RowKey("servers", "", NAME), orjson.dumps({**document, **changed}), version)


class IdTest(unittest.TestCase):
    """Ids of incarnations."""

    @given(st.text(min_size=1), st.none() | st.integers(min_value=0))
    def test_each_id_names_one_server_and_one_start(
        self, name: str, started_at_ms: int | None
    ) -> None:
        made = instance_id(InstanceName(name), started_at_ms)
        self.assertEqual((name, started_at_ms), split_instance_id(made))

    def test_server_without_a_start_time_is_identified_by_its_name(self) -> None:
        self.assertEqual("engine-3", instance_id(NAME, None))


class DirectoryTest(unittest.TestCase):
    """Only the latest incarnation of each server is known."""

    def setUp(self) -> None:
        self.directory = InstanceDirectory()
        self.ended: list[InstanceId] = []
        self.directory.add_removal_listener(self.ended.append)

    def test_later_incarnation_replaces_the_previous_one(self) -> None:
        self.directory.update(FIRST)
        self.directory.observe_version(FIRST.id, MODEL, 9)
        self.directory.update(SECOND)
        self.assertEqual([FIRST.id], self.ended)
        self.assertEqual([SECOND], list(self.directory.all()))
        self.assertEqual(1, self.directory.version_of(SECOND.id, MODEL))

    def test_late_entry_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.directory.update(SECOND)
        self.directory.update(incarnation(FIRST_START, InstanceState.LEAVING))
        self.directory.observe_version(FIRST.id, MODEL, 9)
        self.assertEqual([SECOND], list(self.directory.all()))
        self.assertEqual(1, self.directory.version_of(SECOND.id, MODEL))
        self.assertEqual([], self.ended)

    def test_leaving_server_serves_after_a_restart(self) -> None:
        self.directory.update(incarnation(FIRST_START, InstanceState.LEAVING))
        self.assertEqual([], self.directory.of_service(SERVICE))
        self.directory.update(SECOND)
        self.assertEqual([SECOND], self.directory.of_service(SERVICE))

    def test_replaced_server_serves_after_a_restart(self) -> None:
        self.directory.update(FIRST)
        self.directory.mark_replaced(FIRST.id)
        self.directory.update(FIRST)
        self.assertEqual([], list(self.directory.all()))
        self.directory.update(SECOND)
        self.assertEqual([SECOND], list(self.directory.all()))

    def test_entry_without_a_start_time_updates_the_known_incarnation(self) -> None:
        self.directory.update(FIRST)
        self.directory.update(incarnation(None, InstanceState.LEAVING))
        self.assertEqual(InstanceState.LEAVING, self.directory.get(FIRST.id).state)

    def test_removed_entry_ends_the_known_incarnation(self) -> None:
        self.directory.update(SECOND)
        self.directory.remove(NAME, store_healthy=True)
        self.assertEqual([SECOND.id], self.ended)

    def test_server_restarts_during_a_store_outage(self) -> None:
        self.directory.update(FIRST)
        self.directory.remove(NAME, store_healthy=False)
        self.assertEqual(InstanceState.UNLISTED, self.directory.get(FIRST.id).state)
        self.directory.update(SECOND)
        self.assertEqual([SECOND], list(self.directory.all()))


class IntakeTest(unittest.TestCase):
    """Processing of entries, including unreadable ones."""

    def setUp(self) -> None:
        self.blackboard = Blackboard()
        self.log = mock.Mock(spec=EventLog)
        self.instruments = Instruments(mock.Mock(now=lambda: 0.0), self.log)
        trust = RemovalTrust(lambda: 100.0, lambda: 3.0, lambda: True)
        self.row_recorder = RowRecorder(READERS, self.blackboard, self.instruments, trust)

    def configure(self, version: int, *services: str) -> None:
        """Applies a configuration with the given services."""
        entries = [{"name": name} for name in services]
        document = {"version": version, "routes": [], "services": entries}
        row = Row(RowKey("op", "", "config"), orjson.dumps(document), version)
        self.row_recorder.record_operator_row(row)

    def spoiled(self) -> float:
        """Returns the number of entries counted as unreadable."""
        name = "larkpost_spoiled_entries_total"
        return self.instruments.metrics.registry.get_sample_value(name)

    def events(self) -> list[Event]:
        """Returns the events of the log so far."""
        return [call.args[0] for call in self.log.record.call_args_list]

    def test_restart_is_logged_as_a_new_instance(self) -> None:
        self.configure(1, SERVICE)
        self.row_recorder.record_instance_row(entry_row(1, FIRST_START))
        self.row_recorder.record_instance_row(entry_row(2, SECOND_START))
        self.assertEqual(2, self.events().count(Event.INSTANCE))
        self.assertEqual(SECOND_START, self.blackboard.directory.find_by_name(NAME).started_at_ms)

    def test_unreadable_entry_drops_the_server_until_a_valid_one(self) -> None:
        self.configure(1, SERVICE)
        self.row_recorder.record_instance_row(entry_row(1, FIRST_START))
        other = Row(RowKey("servers", "", "engine-4"), entry_row(1, 7).value, 1)
        self.row_recorder.record_instance_row(other)
        self.row_recorder.record_instance_row(entry_row(2, FIRST_START, state="zombie"))
        self.assertIsNone(self.blackboard.directory.find_by_name(NAME))
        self.assertEqual(1, len(self.blackboard.directory))
        self.assertEqual(1, self.spoiled())
        self.assertEqual(1, self.events().count(Event.UNREADABLE))
        self.row_recorder.record_instance_row(entry_row(3, FIRST_START))
        self.assertIsNotNone(self.blackboard.directory.find_by_name(NAME))

    def test_unreadable_entry_does_not_bring_back_a_leaving_server(self) -> None:
        self.configure(1, SERVICE)
        self.row_recorder.record_instance_row(entry_row(1, FIRST_START, state="draining"))
        self.row_recorder.record_instance_row(entry_row(2, FIRST_START, slots=-3))
        self.row_recorder.record_instance_row(entry_row(3, FIRST_START))
        state = self.blackboard.directory.find_by_name(NAME).state
        self.assertEqual(InstanceState.LEAVING, state)

    def test_entry_of_an_unknown_service(self) -> None:
        self.configure(1, "pages")
        self.row_recorder.record_instance_row(entry_row(1, FIRST_START))
        self.assertEqual(0, len(self.blackboard.directory))
        self.assertEqual(1, self.spoiled())
        self.configure(2, "pages", SERVICE)
        self.assertEqual(1, len(self.blackboard.directory))

    def test_entries_before_the_first_configuration(self) -> None:
        self.row_recorder.record_instance_row(entry_row(1, FIRST_START))
        self.assertEqual(0, self.spoiled())
        self.configure(1, SERVICE)
        self.assertEqual(1, len(self.blackboard.directory))
        self.assertEqual(0, self.spoiled())

    def test_server_is_kept_when_its_service_is_removed(self) -> None:
        self.configure(1, SERVICE)
        self.row_recorder.record_instance_row(entry_row(1, FIRST_START))
        self.configure(2, "pages")
        self.row_recorder.record_instance_row(entry_row(2, FIRST_START))
        self.assertEqual(1, len(self.blackboard.directory))
        self.row_recorder.record_instance_row(entry_row(3, FIRST_START, service="other"))
        self.assertEqual(0, len(self.blackboard.directory))

    def test_removed_entry_is_forgotten_while_its_service_is_unknown(self) -> None:
        self.configure(1, "pages")
        self.row_recorder.record_instance_row(entry_row(1, FIRST_START))
        self.row_recorder.record_instance_row(
            Row(RowKey("servers", "", NAME), b"", 2, removed=True)
        )
        self.configure(2, SERVICE)
        self.assertEqual(0, len(self.blackboard.directory))


class BalancerTest(unittest.TestCase):
    """Usage and load data of a server."""

    def setUp(self) -> None:
        self.directory = InstanceDirectory()
        self.clock = mock.Mock(now=lambda: 50.0)
        self.balancer = Balancer(self.directory, self.clock, random.Random(7))
        self.directory.update(FIRST)

    def test_load_service_time_and_avoidance_end_with_the_incarnation(self) -> None:
        self.balancer.record_load(FIRST.id, ServerLoad(8, 3, 8))
        self.balancer.record_service_time(FIRST.id, 0.5)
        self.balancer.record_not_run(FIRST.id, NotRunReason.FULL, 5.0)
        self.directory.update(SECOND)
        self.assertEqual(0.0, self.balancer.service_time(SECOND.id))
        self.assertEqual(0, self.balancer.occupied(SECOND))
        self.assertFalse(self.balancer.is_avoided(SECOND.id))
        self.assertTrue(self.balancer.has_free_slot(SECOND))

    def test_open_request_at_the_old_incarnation_takes_no_slot_at_the_new(self) -> None:
        self.balancer.occupy(FIRST.id)
        self.directory.update(SECOND)
        self.balancer.occupy(SECOND.id)
        self.assertEqual(1, self.balancer.occupied(SECOND))
        self.balancer.release(FIRST.id)
        self.assertEqual(1, self.balancer.occupied(SECOND))

    def test_late_response_of_the_old_incarnation_does_not_affect_the_new(self) -> None:
        self.directory.update(SECOND)
        self.balancer.record_load(FIRST.id, ServerLoad(8, 3, 8))
        self.balancer.record_response(FIRST, 0.5)
        self.balancer.avoid(FIRST.id, 5.0)
        self.assertEqual(0.0, self.balancer.service_time(SECOND.id))
        self.assertEqual(0, self.balancer.occupied(SECOND))
        self.assertFalse(self.balancer.is_avoided(SECOND.id))

    def test_peer_reports_on_the_old_incarnation(self) -> None:
        self.directory.update(SECOND)
        peer = DaemonId("daemon-1")
        self.balancer.record_peer_summary(peer, {FIRST.id: (5, 0.5)})
        self.assertEqual(0, self.balancer.occupied(SECOND))
        self.assertEqual(0.0, self.balancer.service_time(SECOND.id))

    def test_peer_of_an_earlier_version_reports_names_only(self) -> None:
        self.directory.update(SECOND)
        self.balancer.record_peer_summary(DaemonId("daemon-1"), {InstanceId(NAME): (5, 0.5)})
        self.assertEqual(5, self.balancer.occupied(SECOND))


class HeartbeatTest(unittest.TestCase):
    """Heartbeats are compatible with the previous version."""

    def test_earlier_version_reads_names_and_ignores_start_times(self) -> None:
        written = encode_heartbeat(
            Heartbeat(0.25, {SECOND.id: (2, 0.04), InstanceId("p"): (1, 0.0)})
        )
        self.assertEqual(
            {
                "interval": 0.25,
                "uses": {"engine-3": [2, 0.04], "p": [1, 0.0]},
                "born": {"engine-3": SECOND_START},
            },
            orjson.loads(written),
        )
        self.assertEqual({SECOND.id, "p"}, set(decode_heartbeat(written).uses))

    def test_heartbeat_of_the_earlier_version(self) -> None:
        written = b'{"interval":0.25,"uses":{"engine-3":[2,0.04]},"coordinates":true}'
        read = decode_heartbeat(written)
        self.assertEqual({InstanceId(NAME): [2, 0.04]}, read.uses)
        self.assertTrue(read.coordinates)

    def test_heartbeat_without_start_times_is_unchanged(self) -> None:
        written = encode_heartbeat(Heartbeat(0.25, {InstanceId("p"): (1, 0.0)}))
        self.assertEqual(b'{"interval":0.25,"uses":{"p":[1,0.0]}}', written)


class CrashTest(unittest.TestCase):
    """A request that repeatedly crashes a server, which restarts under the same name."""

    def test_crash_of_each_incarnation_counts(self) -> None:
        known = KnownCrashes()
        content = ContentDigest("c")
        for number in range(CLIENT_CRASH_LIMIT):
            known.add(Crash(content, instance_id(NAME, FIRST_START + number), 0.0))
        self.assertTrue(known.is_content_quarantined(content, CLIENT_CRASH_LIMIT))

    def test_crash_row_contains_the_incarnation(self) -> None:
        row = Row(RowKey("batches", "crashes", f"c/{FIRST.id}"), b'{"at":5.0}', 1)
        self.assertEqual(Crash(ContentDigest("c"), FIRST.id, 5.0), crash_of_row(row))

    def test_restart_under_the_same_name_is_evidence(self) -> None:
        async def play() -> None:
            directory = InstanceDirectory()
            directory.update(FIRST)
            found: list[str] = []
            servers = mock.Mock(probe=mock.AsyncMock(return_value=PortState.LISTENS))
            tasks = mock.Mock(spawn=lambda work, _: asyncio.ensure_future(work))
            watch = CrashDetector(
                directory, servers, LoopClock(), tasks, lambda *news: found.append(news[2])
            )
            watch.record_lost_connection(LostRun(ContentDigest("c"), 0.1, 0.0), FIRST)
            await asyncio.sleep(0.1)
            self.assertEqual([], found)
            directory.update(SECOND)
            await asyncio.sleep(1.0)
            self.assertEqual([CrashEvidence.REPLACED], found)

        run(play())


class OrderTest(unittest.TestCase):
    """Orders to engines that have restarted."""

    def test_report_of_another_incarnation(self) -> None:
        def report(started_at_ms: int | None) -> EngineReport:
            return EngineReport(0, False, 0, 0, {}, started_at_ms)

        for said, known, expected in (
            (SECOND_START, FIRST, True),
            (FIRST_START, SECOND, True),
            (FIRST_START, FIRST, False),
            (None, FIRST, False),
            (FIRST_START, incarnation(None), False),
        ):
            with self.subTest(said=said, known=known.id):
                self.assertIs(expected, weight_loader.is_of_other_incarnation(report(said), known))

    def test_engine_is_checked_at_once_after_its_restart(self) -> None:
        blackboard = Blackboard()
        parts = mock.Mock()
        weights = weight_loader.WeightLoader(blackboard, parts, parts, parts, parts)
        blackboard.directory.update(FIRST)
        weights._next_attempt[FIRST.id] = 1e9
        blackboard.directory.update(SECOND)
        self.assertEqual({}, weights._next_attempt)
