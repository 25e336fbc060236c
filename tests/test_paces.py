"""Service times of servers: per incarnation, reported by other daemons, and with slowness."""

import asyncio
import random
import unittest
from dataclasses import replace
from unittest import mock

from larkpost.common.clock import LoopClock
from larkpost.common.ids import DaemonId, InstanceId, InstanceName
from larkpost.common.incarnations import instance_id
from larkpost.gateway.assembly.daemon_reports import DaemonReports
from larkpost.gateway.blackboard.daemon_report import DaemonReport, Flow, FlowGroup, FlowUsage
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.controllers.heartbeat import Heartbeat, decode_heartbeat, encode_heartbeat
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.reported_service_times import (
    FRESH_REPORT_SECONDS,
    MAX_REPORTERS,
    REPORT_LIFETIME_SECONDS,
)
from larkpost.gateway.proxy.service_time_history import SUSTAINED_SECONDS, ServiceTimeHistory
from larkpost.gateway.proxy.service_time_tracker import (
    MAX_REPORTED_SERVICE_TIMES,
    RECOVERY_SECONDS,
    is_reported,
)
from larkpost.gateway.proxy.slowness import MAX_SLOWNESS
from larkpost.gateway.servers.port import ServerLoad
from tests.platform_fleet import ENGINES, PAGES, PlatformFleet
from tests.server_parts import SLOTS, make_instance
from tests.virtual import run

FAST, SLOW = 0.034, 0.082
BORN, BORN_LATER = 1000, 2000
SERVER = instance_id(InstanceName("e0"), BORN)
RESTARTED = instance_id(InstanceName("e0"), BORN_LATER)
OTHER = instance_id(InstanceName("e1"), BORN)


class ServerFixture:
    """A balancer of two servers that report their start times."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.directory = InstanceDirectory()
        for instance in (SERVER, OTHER):
            self.start(instance)
        self.balancer = Balancer(self.directory, self.clock, random.Random(0))
        self.service_times = self.balancer.service_times

    def start(self, instance: InstanceId) -> None:
        """Lists an incarnation of a server, which replaces its previous one."""
        self.directory.update(make_instance(instance, ENGINES))

    async def stream(self, instance: InstanceId, service_time: float, seconds: float = 1.0) -> None:
        """Records the events of a stream."""
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            await asyncio.sleep(service_time)
            self.service_times.record_event(instance, service_time)

    async def respond(self, seconds: float, slowness: float | None, name: InstanceId = SERVER):
        """Records a response that reports the server's slowness in a header."""
        await asyncio.sleep(0.5)
        self.balancer.record_load(name, ServerLoad(1, 0, SLOTS, slowness))
        self.service_times.record_response(name, seconds)


class IncarnationTest(unittest.TestCase):
    """Knowledge about a server is dropped with its incarnation."""

    def test_restart_under_the_same_name_starts_without_measurements(self):
        async def play():
            fixture = ServerFixture()
            await fixture.stream(SERVER, SLOW)
            fixture.service_times.record_report(DaemonId("d"), {SERVER: SLOW})
            self.assertAlmostEqual(SLOW, fixture.service_times.long_term(SERVER))
            fixture.start(RESTARTED)
            self.assertEqual(0.0, fixture.service_times.long_term(RESTARTED))
            self.assertEqual({}, fixture.service_times.report())
            self.assertEqual(0, len(fixture.service_times._peer_reports))

        run(play())

    def test_run_at_the_earlier_incarnation_does_not_affect_the_next(self):
        async def play():
            fixture = ServerFixture()
            fixture.start(RESTARTED)
            await fixture.stream(SERVER, SLOW)
            self.assertEqual(0.0, fixture.service_times.long_term(RESTARTED))
            await fixture.stream(RESTARTED, FAST)
            self.assertAlmostEqual(FAST, fixture.service_times.long_term(RESTARTED))

        run(play())

    def test_late_report_of_the_earlier_incarnation_changes_nothing(self):
        async def play():
            fixture = ServerFixture()
            fixture.start(RESTARTED)
            for instance in (SERVER, InstanceId("e0")):
                fixture.service_times.record_report(DaemonId("d"), {instance: SLOW})
            self.assertEqual(0.0, fixture.service_times.long_term(RESTARTED))
            fixture.service_times.record_report(DaemonId("d"), {RESTARTED: FAST})
            self.assertEqual(FAST, fixture.service_times.long_term(RESTARTED))

        run(play())


class ReportedServiceTimesTest(unittest.TestCase):
    """Service times that other daemons report with their heartbeats."""

    def test_own_measurement_takes_precedence_over_a_report(self):
        async def play():
            fixture = ServerFixture()
            fixture.service_times.record_report(DaemonId("d"), {SERVER: SLOW})
            self.assertEqual(SLOW, fixture.service_times.long_term(SERVER))
            await fixture.stream(SERVER, FAST)
            self.assertAlmostEqual(FAST, fixture.service_times.long_term(SERVER))

        run(play())

    def test_fresh_report_takes_precedence_over_older_own_measurements(self):
        """A server degrades while another daemon uses it, and recovers."""

        async def play():
            fixture = ServerFixture()
            await fixture.stream(SERVER, FAST)
            await asyncio.sleep(SUSTAINED_SECONDS + 0.1)
            fixture.service_times.record_report(DaemonId("d"), {SERVER: 3 * FAST})
            self.assertEqual(3 * FAST, fixture.service_times.long_term(SERVER))
            await asyncio.sleep(FRESH_REPORT_SECONDS + 0.1)
            self.assertAlmostEqual(FAST, fixture.service_times.long_term(SERVER))

        run(play())

    def test_degradation_is_reported_while_measured_and_recovery_for_some_seconds(self):
        for case, service_time, gap, expected in (
            ("measured", FAST, 1.0, True),
            ("not measured any more", FAST, SUSTAINED_SECONDS, False),
            ("degraded", 3 * FAST, 1.0, True),
            ("it may have recovered", 3 * FAST, SUSTAINED_SECONDS, True),
            ("long ago", 3 * FAST, RECOVERY_SECONDS, False),
        ):
            with self.subTest(case):
                history = ServiceTimeHistory()
                for number in range(40):
                    history.record(number * 0.25, FAST if number < 20 else service_time)
                self.assertEqual(expected, is_reported(history, 39 * 0.25 + gap + 0.01))

    def test_one_daemon_with_wrong_measurements_has_no_effect(self):
        async def play():
            fixture = ServerFixture()
            for daemon, service_time in (("a", FAST), ("late", 1.0), ("b", FAST)):
                fixture.service_times.record_report(DaemonId(daemon), {SERVER: service_time})
            self.assertEqual(FAST, fixture.service_times.long_term(SERVER))

        run(play())

    def test_reports_outlive_their_daemon_and_expire(self):
        async def play():
            fixture = ServerFixture()
            fixture.service_times.record_report(DaemonId("d"), {SERVER: SLOW})
            fixture.service_times.record_report(DaemonId("d"), {})  # the daemon was removed
            await asyncio.sleep(REPORT_LIFETIME_SECONDS - 1.0)
            self.assertEqual(SLOW, fixture.service_times.long_term(SERVER))
            await asyncio.sleep(2.0)
            self.assertEqual(0.0, fixture.service_times.long_term(SERVER))
            fixture.service_times.forget_old(fixture.clock.now())
            self.assertEqual(0, len(fixture.service_times._peer_reports))

        run(play())

    def test_reports_are_bounded(self):
        async def play():
            fixture = ServerFixture()
            reported = {instance_id(InstanceName(f"e{n}"), BORN): SLOW for n in range(100)}
            for number in range(50):
                fixture.service_times.record_report(DaemonId(f"d{number}"), reported)
            kept = fixture.service_times._peer_reports._reported
            self.assertEqual({SERVER, OTHER}, set(kept))
            self.assertEqual(MAX_REPORTERS, len(kept[SERVER]))

        run(play())

    def test_all_recent_service_times_are_reported_by_turns(self):
        async def play():
            fixture = ServerFixture()
            names = [
                instance_id(InstanceName(f"e{n}"), BORN)
                for n in range(2 * MAX_REPORTED_SERVICE_TIMES + 1)
            ]
            for name in names:
                fixture.start(name)
            await asyncio.gather(*(fixture.stream(name, FAST) for name in names))
            reports = [fixture.service_times.report() for _ in range(3)]
            self.assertEqual(set(names), set().union(*reports))
            self.assertTrue(all(len(report) == MAX_REPORTED_SERVICE_TIMES for report in reports))
            await asyncio.sleep(SUSTAINED_SECONDS + 0.1)
            self.assertEqual({}, fixture.service_times.report())

        run(play())

    def test_heartbeats_without_service_times_do_not_use_up_turns(self):
        async def play():
            fixture = ServerFixture()
            names = [
                instance_id(InstanceName(f"e{n}"), BORN)
                for n in range(2 * MAX_REPORTED_SERVICE_TIMES)
            ]
            for name in names:
                fixture.start(name)
            await asyncio.gather(*(fixture.stream(name, FAST) for name in names))
            batch_manager = mock.Mock(progress=dict)
            reports = DaemonReports(
                fixture.service_times, FlowLedger(LoopClock()), lambda: batch_manager
            )
            first = reports.own_service_times()
            self.assertEqual({}, reports.own().paces)
            self.assertEqual(set(names), first.keys() | reports.own_service_times().keys())

        run(play())

    def test_fleet_knows_the_service_times_that_one_daemon_measured(self):
        async def play():
            fleet = PlatformFleet(gateways=3, engines=2)
            await fleet.wait(3.0)
            first, *others = fleet.gateways
            info = first.directory.get(InstanceId("engine-0"))
            for _ in range(30):
                first.balancer.service_times.record_event(info.id, SLOW)
                await fleet.wait(SLOW)
            await fleet.wait(3.0)
            for gateway in others:
                self.assertAlmostEqual(SLOW, gateway.balancer.service_times.long_term(info.id))

        run(play())

    def test_heartbeat_carries_a_report_and_is_unchanged_without_one(self):
        flow = Flow(FlowGroup(PAGES, 1), "t")
        report = DaemonReport({SERVER: SLOW, InstanceId("e1"): FAST})
        report = replace(report, tenants={flow: FlowUsage(3, 1)}, capacity=1.5)
        beat = Heartbeat(0.25, report=report)
        self.assertEqual(report, decode_heartbeat(encode_heartbeat(beat)).report)
        self.assertEqual(b'{"interval":0.25}', encode_heartbeat(Heartbeat(0.25)))


class SlownessTest(unittest.TestCase):
    """Short requests use the long-term service time and the current slowness."""

    def test_burst_changes_the_choice_only_briefly(self):
        async def play():
            fixture = ServerFixture()
            for _ in range(5):
                await fixture.respond(FAST, 1.0)
            await fixture.respond(FAST * 2.5, 2.5)
            service_time = fixture.balancer.service_time(SERVER)
            self.assertAlmostEqual(FAST * 2.5, service_time)
            await asyncio.sleep(0.2)
            self.assertAlmostEqual(FAST, fixture.balancer.service_time(SERVER))

        run(play())

    def test_wrong_slowness_reports_affect_a_choice_within_bounds(self):
        """The server reports a slowness that its response times do not confirm."""

        async def play():
            for slowness_reports in ((1.0, 0.01), (9999.0, 1.0), (0.01, 0.02, 5.0, 80.0)):
                fixture = ServerFixture()
                for number in range(24):
                    await fixture.respond(FAST, slowness_reports[number % len(slowness_reports)])
                    if number > 4:
                        service_time = fixture.balancer.service_time(SERVER)
                        self.assertLessEqual(service_time, 1.01 * FAST * MAX_SLOWNESS)
                        self.assertGreaterEqual(service_time, 0.99 * FAST / MAX_SLOWNESS)
                await asyncio.sleep(0.5)
                self.assertAlmostEqual(FAST, fixture.balancer.service_time(SERVER))

        run(play())

    def test_first_service_time_of_a_server_includes_the_latency(self):
        """Until the long-term service time is known, the smoothed one of this daemon is used."""

        async def play():
            fixture = ServerFixture()
            info = fixture.directory.get(SERVER)
            fixture.balancer.record_load(SERVER, ServerLoad(1, 0, SLOTS, 1.0))
            self.assertFalse(fixture.service_times.has_latency(SERVER))
            fixture.balancer.record_response(info, SLOW)
            self.assertEqual(SLOW, fixture.balancer.service_time(SERVER))
            self.assertTrue(fixture.service_times.has_latency(SERVER))
            fixture.service_times.record_report(DaemonId("d"), {SERVER: FAST})
            self.assertEqual(FAST, fixture.balancer.service_time(SERVER))
            self.assertFalse(fixture.service_times.has_latency(SERVER))

        run(play())

    def test_server_without_reports_has_its_smoothed_service_time(self):
        async def play():
            fixture = ServerFixture()
            for seconds in (0.04, 0.08):
                await fixture.respond(seconds, None)
                fixture.balancer.record_service_time(SERVER, seconds)
            self.assertAlmostEqual(0.05, fixture.balancer.service_time(SERVER))

        run(play())

    def test_servers_without_reports_are_chosen_by_smoothed_service_time(self):
        """Among servers that differ only in the smoothed service time, the faster comes first."""

        async def play():
            directory = InstanceDirectory()
            for name in (SERVER, OTHER):
                directory.update(make_instance(name, PAGES))
            balancer = Balancer(directory, LoopClock(), random.Random(0))
            for name, seconds in ((SERVER, 0.05), (OTHER, 0.04)):
                balancer.record_response(directory.get(name), seconds)
            first = {balancer.candidates(PAGES, for_client=True)[0].id for _ in range(20)}
            self.assertEqual({OTHER}, first)

        run(play())


if __name__ == "__main__":
    unittest.main()
