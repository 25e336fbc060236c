"""Regression tests for faults found by the fleet fuzz or by runs with real processes."""

import asyncio
import unittest

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import DaemonId, EngineId
from larkpost.rehearsal.simulation.records import CallOutcome, LeavingSource
from larkpost.standalone.blackboard.engines import EngineLoad
from larkpost.standalone.blackboard.facts import CONFIGURATION_KEY
from larkpost.standalone.engines.port import EngineReport
from tests.simulated_fleet import INTENT, MACHINES, ZONES, SimulatedFleet

LANGUAGE_ENGINE = MACHINES[0].engine


class FleetTestCase(unittest.TestCase):
    """Base class with a new simulated fleet for each test."""

    def setUp(self):
        self.fleet = SimulatedFleet(seed=7)
        self.world = self.fleet.world
        self.names = list(self.world.daemon_zones)

    def tearDown(self):
        self.fleet.close()

    def daemon(self, number: int):
        return self.world.daemons[self.names[number]].daemon


class ConfigurationTest(FleetTestCase):
    def confirm(self, number: int):
        plan = self.fleet.operators.plan(self.names[number], INTENT)
        return self.fleet.run(self.fleet.operators.confirm(self.names[number], plan))

    def test_daemon_that_wakes_from_a_pause_does_not_act_before_it_has_verified(self):
        paused = self.names[0]
        self.fleet.act(self.world.freeze_daemon, paused, 60.0)
        self.fleet.advance(59.9)
        self.assertFalse(self.fleet.act(lambda: self.daemon(0).readiness.admits_work))
        self.fleet.advance(10.0)
        self.assertTrue(self.fleet.act(lambda: self.daemon(0).readiness.admits_work))

    def test_answer_that_waited_through_a_pause_verifies_nothing(self):
        daemon = self.daemon(0)
        self.fleet.act(self.world.set_platform_slow, 0.5)
        reading = self.fleet.spawn(daemon.configuration.read())
        self.fleet.advance(0.1)
        self.fleet.act(self.world.freeze_daemon, self.names[0], 60.0)
        self.fleet.run(asyncio.wait({reading}))
        self.assertTrue(reading.result())
        self.assertFalse(self.fleet.act(lambda: daemon.readiness.is_current()))

    def test_zone_is_not_reported_in_force_while_a_silent_daemon_may_still_act(self):
        self.fleet.act(self.world.freeze_daemon, self.names[0], 200.0)
        confirmed = self.confirm(2)
        self.assertNotIn(ZONES[0], confirmed.zones_in_force)
        self.assertIn(ZONES[1], confirmed.zones_in_force)

    def test_zone_is_reported_again_once_the_dead_daemon_can_no_longer_act(self):
        victim = next(
            name
            for name in self.names[:2]
            if not self.fleet.act(self.daemon(0).readiness.has_quorum, ZONES[0], [name])
        )
        self.fleet.act(self.world.kill_daemon, victim)
        self.fleet.advance(45.0)
        self.assertIn(ZONES[0], self.confirm(2).zones_in_force)

    def test_planned_stop_waits_for_a_confirmation(self):
        name = self.names[0]
        self.fleet.act(self.world.freeze_daemon, self.names[4], 4.0)
        plan = self.fleet.operators.plan(name, INTENT)
        confirming = self.fleet.spawn(self.fleet.operators.confirm(name, plan))
        self.fleet.advance(0.2)
        self.fleet.run(self.world.stop_daemon(name))
        self.assertTrue(confirming.done())
        self.assertIsNotNone(confirming.result())
        self.assertEqual(self.world.records.requests_cut_by_stop, [])

    def test_new_daemon_starts_while_the_platform_is_down(self):
        confirmed = self.confirm(2)
        self.fleet.act(self.world.set_platform_down, True)
        self.fleet.act(self.world.kill_daemon, self.names[1])
        self.fleet.act(self.world.start_daemon, self.names[1])
        self.fleet.advance(5.0)
        self.assertTrue(self.fleet.act(self.world.is_ready, self.names[1]))
        self.assertEqual(self.daemon(1).board.configuration.epoch, confirmed.epoch)

    def test_lost_answer_of_a_written_plan_is_read_back(self):
        plan = self.fleet.operators.plan(self.names[0], INTENT)
        self.world.platform.faults.lost_answers = 1
        confirmed = self.fleet.run(self.fleet.operators.confirm(self.names[0], plan))
        again = self.fleet.run(self.fleet.operators.confirm(self.names[3], plan))
        self.assertEqual(confirmed.epoch, again.epoch)

    def test_second_of_two_racing_plans_is_refused_with_a_remedy(self):
        first = self.fleet.operators.plan(self.names[0], INTENT)
        second = self.fleet.operators.plan(self.names[3], INTENT)
        self.fleet.run(self.fleet.operators.confirm(self.names[0], first))
        with self.assertRaises(LarkpostError) as caught:
            self.fleet.run(self.daemon(3).configuration.confirm(second))
        self.assertEqual(caught.exception.code, "outdated_plan")


class OwnershipTest(FleetTestCase):
    def test_engines_of_a_draining_daemon_get_another_owner(self):
        engine = LANGUAGE_ENGINE
        owner = DaemonId(self.world.engines[engine].model.owner)
        daemon = self.world.daemons[owner].daemon
        with daemon.activity.request():
            self.fleet.spawn(self.world.stop_daemon(owner))
            self.fleet.advance(6.0)
            self.assertNotEqual(self.world.engines[engine].model.owner, owner)

    def test_owner_gives_up_an_engine_that_names_another_owner_under_the_same_token(self):
        daemon = self.daemon(0)
        engine = EngineId("any")
        daemon.board.owned[engine] = 3
        report = EngineReport(engine, 0, 0, 8, 0, False, 3, DaemonId("other"), False)
        self.fleet.act(daemon.ownership.check_report, report)
        self.assertNotIn(engine, daemon.board.owned)

    def test_claim_is_above_every_token_known_from_before_an_engine_restart(self):
        daemon = self.daemon(0)
        engine = EngineId("any")
        daemon.board.engines.loads[engine] = EngineLoad(engine, 0, 0, 8, 0, False, 9, False, 0.0)
        report = EngineReport(engine, 0, 0, 8, 0, False, 0, None, False)
        self.assertEqual(daemon.ownership._next_token(engine, report), 10)


class RunOnceTest(FleetTestCase):
    def test_refused_key_that_may_have_run_is_not_called_not_run(self):
        daemon = self.names[0]
        clients = self.fleet.clients["assistant"]
        first = self.fleet.run(clients.ask(daemon, ZONES[0], run_once=True, key="once"))
        self.assertEqual(first.outcome, CallOutcome.ANSWER)
        self.daemon(0).board.phase = "stopping"
        again = self.fleet.run(clients.ask(daemon, ZONES[0], run_once=True, key="once"))
        self.assertEqual(again.outcome, CallOutcome.UNKNOWN)

    def test_ticket_runs_once_at_any_daemon_without_the_platform(self):
        self.fleet.act(self.world.set_platform_down, True)
        key = self.daemon(0).run_once.issue().encode()
        clients = self.fleet.clients["assistant"]
        calls = [
            self.fleet.run(clients.ask(self.names[n], ZONES[0], run_once=True, key=key))
            for n in (3, 0, 4)
        ]
        self.assertEqual(
            [c.outcome for c in calls],
            [CallOutcome.ANSWER, CallOutcome.UNKNOWN, CallOutcome.UNKNOWN],
        )

    def test_key_whose_claim_was_lost_on_the_way_is_read_back(self):
        self.world.platform.faults.lost_answers = 1
        clients = self.fleet.clients["assistant"]
        call = self.fleet.run(clients.ask(self.names[0], ZONES[0], run_once=True, key="lost"))
        self.assertEqual(call.outcome, CallOutcome.ANSWER)

    def test_broken_stream_of_run_once_work_is_unknown_and_not_sent_again(self):
        for node in self.world.engines.values():
            node.model.faults.cut_streams = 50
        clients = self.fleet.clients["quotes"]
        calls = [
            self.fleet.run(clients.ask(self.names[0], ZONES[0], run_once=True)) for _ in range(12)
        ]
        self.assertIn(CallOutcome.UNKNOWN, {call.outcome for call in calls})
        self.assertEqual(self.fleet.act(self.fleet.oracle.check_run_once), [])


class DispatchTest(FleetTestCase):
    def test_request_is_answered_by_another_engine_when_one_dies_in_mid_answer(self):
        clients = self.fleet.clients["quotes"]
        asking = [self.fleet.spawn(clients.ask(self.names[0], ZONES[0])) for _ in range(6)]
        self.fleet.advance(0.12)
        self.fleet.act(self.world.kill_engine, MACHINES[5].engine)
        self.fleet.advance(20.0)
        self.assertEqual({task.result().outcome for task in asking}, {CallOutcome.ANSWER})
        self.assertEqual(self.fleet.act(self.fleet.oracle.check_answers), [])

    def test_full_pool_refuses_at_once_and_says_when_to_come_back(self):
        daemon = self.daemon(0)
        for engine in self.world.engines:
            load = daemon.board.engines.loads[engine]
            at = self.fleet.loop.time()
            daemon.board.engines.loads[engine] = EngineLoad(
                engine, load.slots, 99, load.slots, load.version, False, load.token, False, at
            )
        started = self.fleet.loop.time()
        call = self.fleet.run(self.fleet.clients["quotes"].ask(self.names[0], ZONES[0]))
        self.assertEqual((call.outcome, call.code), (CallOutcome.NOT_RUN, "overloaded"))
        self.assertLess(self.fleet.loop.time() - started, 0.1)

    def test_passed_deadline_is_answered_at_once(self):
        for node in self.world.engines.values():
            node.model.faults.slow_factor = 200.0
        started = self.fleet.loop.time()
        asking = self.fleet.clients["quotes"].ask(self.names[0], ZONES[0], deadline=1.0)
        call = self.fleet.run(asking)
        self.assertEqual((call.outcome, call.code), (CallOutcome.UNKNOWN, "deadline"))
        self.assertLess(self.fleet.loop.time() - started, 1.5)

    def test_frozen_daemon_sends_nothing_to_an_engine_that_left_meanwhile(self):
        daemon = self.daemon(0)
        load = daemon.board.engines.loads[LANGUAGE_ENGINE]
        self.assertTrue(self.fleet.act(daemon.selector.may_dispatch, LANGUAGE_ENGINE))
        self.fleet.act(self.world.freeze_daemon, self.names[0], 8.0)
        self.fleet.advance(7.9)
        self.assertFalse(self.fleet.act(daemon.selector.may_dispatch, LANGUAGE_ENGINE))
        self.assertGreaterEqual(self.fleet.loop.time() - load.at, 3.0)


class SimulationTest(FleetTestCase):
    def test_wait_shorter_than_the_clock_resolution_ends(self):
        host = self.world.daemons[self.names[0]].host

        async def pass_gate():
            host.frozen_until = self.fleet.loop.time() + 1e-12
            await asyncio.wait_for(host.wait_until_running(), 1.0)

        self.fleet.run(pass_gate())


class LeavingTest(FleetTestCase):
    def check_no_new_work(self, leave) -> None:
        """Sends requests while an engine leaves; the oracle checks that it gets no late work."""
        clients = self.fleet.clients["assistant"]
        leave()
        for number in range(60):
            self.fleet.spawn(clients.ask(self.names[number % 5], ZONES[number % 3]))
            self.fleet.advance(0.25)
        self.assertGreater(len(self.world.records.work), 50)
        self.assertEqual(self.fleet.act(self.fleet.oracle.check_leaving), [])

    def test_engine_that_says_it_leaves_gets_no_new_work(self):
        mark = self.world.mark_leaving
        self.check_no_new_work(lambda: self.fleet.act(mark, LANGUAGE_ENGINE, LeavingSource.ENGINE))

    def test_engine_that_the_list_marks_as_leaving_gets_no_new_work(self):
        mark = self.world.mark_leaving
        self.check_no_new_work(lambda: self.fleet.act(mark, LANGUAGE_ENGINE, LeavingSource.LIST))

    def test_engine_that_an_operator_drains_gets_no_new_work(self):
        drain = self.fleet.operators.drain_engine
        self.check_no_new_work(lambda: self.fleet.run(drain(self.names[4], LANGUAGE_ENGINE)))


class EpochTest(FleetTestCase):
    def test_older_configuration_that_arrives_late_changes_nothing(self):
        daemon = self.daemon(0)
        older = daemon.board.facts.get(CONFIGURATION_KEY)
        plan = self.fleet.operators.plan(self.names[0], INTENT)
        confirmed = self.fleet.run(self.fleet.operators.confirm(self.names[0], plan))
        self.fleet.act(daemon.dissemination.publish, older)
        self.assertEqual(daemon.board.configuration.epoch, confirmed.epoch)
