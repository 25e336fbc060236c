"""Cold servers: who may send to them, that the bound holds over all daemons, that work flows."""

import asyncio
import random
import unittest
from dataclasses import replace
from unittest import mock

import orjson

from larkpost.clock import LoopClock
from larkpost.eventlog import EventLog
from larkpost.fleet.beliefs import Beliefs
from larkpost.fleet.cold import ColdInstances, ColdTerms
from larkpost.fleet.directory import InstanceInfo, InstanceState
from larkpost.fleet.members import HEARING_INTERVALS, HEARTBEAT_SECONDS
from larkpost.fleet.row_intake import RowIntake
from larkpost.ids import Address, DaemonId, EngineId, ZoneId
from larkpost.placement.cold import (
    LOOK_SECONDS,
    SEND_WITHIN_SECONDS,
    WINDOW_SECONDS,
    ColdRule,
    SlidingCount,
)
from larkpost.placement.cold_senders import (
    NEWCOMER_SECONDS,
    OWNER_MEMORY_SECONDS,
    UPDATE_SECONDS,
    YOUNG_SECONDS,
    ColdSenders,
)
from larkpost.placement.cold_share import (
    LEAST_SENDS,
    SenderView,
    client_sends,
    owner_sends,
)
from larkpost.placement.rules import Placement
from larkpost.placement.verdict import Verdict
from larkpost.placement.work import CLIENT_WORK, ORDER_WORK, REWARD_WORK, Work, WorkKind
from larkpost.platform.operator import read_configuration, read_instance
from larkpost.proxy.balancer import Balancer
from larkpost.proxy.port import NotRunError, NotRunReason
from larkpost.rehearsal.memory_store import StoreFaults
from larkpost.store.port import Row, RowKey
from tests.platform_checks import SECOND, check_cold
from tests.platform_fleet import (
    COLD_SECONDS,
    COLD_TERMS,
    CONFIGURATION,
    ENGINES,
    READERS,
    PlatformFleet,
    check_results,
    make_batch,
)
from tests.platform_oracle import PlatformOracle
from tests.virtual import run

ENGINE = EngineId("engine-0")
OTHER_ENGINE = EngineId("engine-1")
NEW_ENGINE = EngineId("new")
RATE = CONFIGURATION.services[ENGINES].cold_rate
BOUND = COLD_TERMS.bound(RATE)
ITEM_WORK = Work(WorkKind.ITEM)
INFO = InstanceInfo(ENGINE, ENGINES, Address("10.0.0.1:1"), ZoneId("z"), 8, InstanceState.READY)
LONG_SECONDS = 30.0
"""Longer than any of these tests lasts."""


def names(count: int) -> list[DaemonId]:
    """Returns the names of some daemons."""
    return [DaemonId(f"daemon-{number}/0") for number in range(count)]


def settled(own: DaemonId, owners: list[DaemonId]) -> SenderView:
    """Returns the view of a daemon that knows all owners, and is known to them."""
    everyone = frozenset(owners)
    return SenderView(own, everyone, everyone, True, True, False)


class ShareTest(unittest.TestCase):
    """The shares of all daemons together, with an owner of whom the others have not heard."""

    def test_bound_of_the_example(self) -> None:
        self.assertAlmostEqual(18.95, ColdTerms(1.5, 5).bound(9.3))

    def test_all_shares_together_are_within_the_bound(self) -> None:
        for bound in (5.0, 8.0, BOUND, 60.0):
            for count in range(1, 60):
                owners = names(count)
                for is_engine in (True, False):
                    sent = sum(
                        owner_sends(bound, settled(own, owners), ENGINE, is_engine=is_engine)
                        + client_sends(bound, settled(own, owners), ENGINE, is_engine=is_engine)
                        for own in owners
                    )
                    self.assertLessEqual(sent, bound, (bound, count, is_engine))
                    self.assertGreater(sent, 0, (bound, count, is_engine))

    def test_owner_that_has_just_joined_breaks_nothing_before_the_others_have_heard(self) -> None:
        for count in range(1, 30):
            owners = names(count)
            new = DaemonId("new/0")
            known = sum(
                owner_sends(BOUND, settled(own, owners), ENGINE, is_engine=True) for own in owners
            )
            alone = replace(settled(new, [new]), is_settled=False)
            for view in (alone, settled(new, [*owners, new])):
                sent = known + owner_sends(BOUND, view, ENGINE, is_engine=True)
                self.assertLessEqual(sent, BOUND, count)

    def test_three_owners_that_have_just_joined_break_nothing_beside_three_others(self) -> None:
        owners, everyone = names(3), names(6)
        views = [settled(own, owners) for own in owners]
        views += [replace(settled(own, everyone), is_settled=False) for own in everyone[3:]]
        sent = [owner_sends(BOUND, view, ENGINE, is_engine=True) for view in views]
        self.assertEqual([3, 3, 3, 1, 1, 1], sent)
        self.assertLessEqual(sum(sent) + LEAST_SENDS, BOUND)  # and a client's request

    def test_owner_that_hears_nothing_takes_the_least_share(self) -> None:
        view = replace(settled(names(1)[0], names(2)), is_settled=False, is_blind=True)
        self.assertEqual(LEAST_SENDS, owner_sends(BOUND, view, ENGINE, is_engine=True))

    def test_daemon_that_knows_nobody_takes_the_least_share(self) -> None:
        view = SenderView(DaemonId("new/0"), frozenset(), frozenset())
        self.assertEqual(LEAST_SENDS, owner_sends(BOUND, view, ENGINE, is_engine=True))
        self.assertEqual(0, client_sends(BOUND, view, ENGINE, is_engine=False))

    def test_few_daemons_send_requests_of_clients(self) -> None:
        members = names(300)
        sent = [
            client_sends(BOUND, settled(own, members), ENGINE, is_engine=False) for own in members
        ]
        self.assertEqual(7, sum(sent))


class FakeMembers:
    """Heartbeats as a test wishes."""

    def __init__(self) -> None:
        self.listed = True
        self.hears = True
        self.everyone = names(3)

    def is_hearing(self) -> bool:
        """Tells whether this daemon hears the others."""
        return self.hears

    def alive(self) -> list[DaemonId]:
        """Returns the daemons held alive."""
        return self.everyone


class FakeHeads:
    """A feed of heads as a test wishes."""

    def __init__(self) -> None:
        self.listed = True
        self.age_seconds = 0.0

    def age(self, now: float) -> float:
        """Returns the age of the feed."""
        return self.age_seconds


class SendersTest(unittest.TestCase):
    """What a daemon knows of the other senders."""

    def play(self, work) -> None:
        """Runs a test on virtual time with the senders of the first of three daemons."""

        async def begin() -> None:
            self.clock = LoopClock()
            self.own, *self.others = names(3)
            self.owners = {self.own, *self.others}
            self.members = FakeMembers()
            self.heads = FakeHeads()
            self.senders = ColdSenders(self.own, self.clock)
            self.senders.follow(lambda: self.owners, self.members, self.heads)
            await work()

        run(begin())

    async def wait(self, seconds: float) -> SenderView:
        """Lets time pass while the rule asks again and again, and returns the view then."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            await self.clock.sleep(UPDATE_SECONDS)
            view = self.senders.view()
        return view

    def test_new_owner_is_settled_after_a_while(self) -> None:
        async def work() -> None:
            self.assertFalse(self.senders.view().is_settled)
            self.assertFalse((await self.wait(NEWCOMER_SECONDS - 0.2)).is_settled)
            self.assertTrue((await self.wait(0.4)).is_settled)

        self.play(work)

    def test_owner_that_hears_nothing_of_the_store_is_not_settled(self) -> None:
        async def work() -> None:
            self.assertTrue((await self.wait(2.0)).is_settled)
            self.members.hears = False
            view = await self.wait(0.2)
            self.assertEqual((False, True), (view.is_settled, view.is_blind))
            self.members.hears = True
            self.assertTrue((await self.wait(0.2)).is_settled)
            self.heads.age_seconds = 5.0
            self.assertFalse((await self.wait(0.2)).is_settled)

        self.play(work)

    def test_owner_of_long_ago_is_new_again(self) -> None:
        async def work() -> None:
            self.assertTrue((await self.wait(2.0)).is_settled)
            await self.clock.sleep(LONG_SECONDS)  # nobody asks meanwhile
            self.assertFalse(self.senders.view().is_settled)

        self.play(work)

    def test_owners_are_counted_at_once_and_forgotten_late(self) -> None:
        async def work() -> None:
            self.owners = {self.own}
            self.assertEqual(1, len((await self.wait(2.0)).owners))
            self.owners = {self.own, *self.others}
            self.assertEqual(3, len((await self.wait(0.1)).owners))
            self.owners = {self.own}
            self.assertEqual(3, len((await self.wait(OWNER_MEMORY_SECONDS - 0.3)).owners))
            self.assertEqual(1, len((await self.wait(0.5)).owners))

        self.play(work)

    def test_young_daemon_sends_no_requests_of_clients(self) -> None:
        async def work() -> None:
            self.assertFalse((await self.wait(YOUNG_SECONDS - 0.3)).is_informed)
            self.assertTrue((await self.wait(0.5)).is_informed)
            self.members.listed = False
            self.assertFalse((await self.wait(0.2)).is_informed)

        self.play(work)

    def test_daemon_that_was_not_told_whom_to_ask_knows_nobody(self) -> None:
        async def work() -> None:
            view = ColdSenders(self.own, self.clock).view()
            self.assertEqual(
                (False, False, True), (view.is_settled, view.is_informed, view.is_blind)
            )

        self.play(work)


class SlidingCountTest(unittest.TestCase):
    """The window, and its edge."""

    def test_edge(self) -> None:
        sent = SlidingCount(WINDOW_SECONDS)
        sent.add(10.0)
        self.assertEqual(1, sent.count(10.0 + WINDOW_SECONDS - 0.001))
        self.assertEqual(0, sent.count(10.0 + WINDOW_SECONDS))

    def test_no_second_has_more_than_was_left_however_the_sends_come(self) -> None:
        chance = random.Random(1)
        limit, sent, times, now = 4, SlidingCount(WINDOW_SECONDS), [], 0.0
        for _ in range(2000):
            now += chance.choice((0.0, 0.01, 0.3, 0.999))
            if sent.count(now) < limit:
                sent.add(now)
                times.append(now)
        check_cold("engine", times, limit)


class RuleTest(unittest.TestCase):
    """The rule of one daemon that is the only owner."""

    def play(self, work, terms: ColdTerms | None = COLD_TERMS) -> None:
        """Runs a test on virtual time with a rule for one cold engine."""

        async def begin() -> None:
            self.clock = LoopClock()
            self.beliefs = Beliefs()
            self.beliefs.configuration.update(CONFIGURATION)
            self.beliefs.directory.update(INFO)
            self.senders = mock.Mock()
            self.senders.view.return_value = settled(names(1)[0], names(1))
            self.rule = ColdRule(terms, self.beliefs, self.clock, EventLog("daemon"), self.senders)
            self.share = owner_sends(BOUND, self.senders.view(), ENGINE, is_engine=True)
            self.beliefs.cold.note(ENGINE, LONG_SECONDS, self.clock.now())
            await work()

        run(begin())

    def admitted(self, work: Work = ITEM_WORK, tries: int = 100) -> int:
        """Returns how many of some sends are let through at this moment."""
        return sum(self.rule.admit(INFO, work).is_allowed for _ in range(tries))

    def test_share_is_let_through_in_each_window(self) -> None:
        async def work() -> None:
            self.assertEqual(self.share, self.admitted())
            await self.clock.sleep(SECOND)
            self.assertEqual(0, self.admitted())
            await self.clock.sleep(WINDOW_SECONDS - SECOND)
            self.assertEqual(self.share, self.admitted())

        self.play(work)

    def test_choice_takes_nothing_and_sees_what_is_left(self) -> None:
        async def work() -> None:
            for _ in range(100):
                self.assertIs(Verdict.ALLOWED, self.rule.judge(INFO, ITEM_WORK))
            self.admitted(tries=self.share)
            self.assertIs(Verdict.COLD, self.rule.judge(INFO, ITEM_WORK))

        self.play(work)

    def test_items_and_reward_calls_share_one_count(self) -> None:
        async def work() -> None:
            self.admitted(tries=self.share)
            self.assertEqual(0, self.admitted(REWARD_WORK))

        self.play(work)

    def test_orders_are_no_requests(self) -> None:
        async def work() -> None:
            self.assertEqual(100, self.admitted(ORDER_WORK))
            self.assertEqual(self.share, self.admitted())

        self.play(work)

    def test_sends_made_while_it_was_warm_count_once_it_is_cold(self) -> None:
        async def work() -> None:
            self.beliefs.cold = self.rule._beliefs.cold = ColdInstances()
            self.assertEqual(8, self.admitted(tries=8))
            self.beliefs.cold.note(ENGINE, LONG_SECONDS, self.clock.now())
            self.assertEqual(0, self.admitted())

        self.play(work)

    def test_daemon_that_hears_nothing_is_limited_at_engines_that_may_have_turned_cold(self):
        async def work() -> None:
            self.beliefs.cold = self.rule._beliefs.cold = ColdInstances()
            self.senders.view.return_value = replace(self.senders.view(), is_blind=True)
            self.assertEqual(self.share, self.admitted())
            self.assertEqual(100, self.admitted(CLIENT_WORK))

        self.play(work)

    def test_places_given_count_until_they_are_sent(self) -> None:
        async def work() -> None:
            for _ in range(self.share):
                self.assertIs(Verdict.ALLOWED, self.rule.judge(INFO, ITEM_WORK))
                self.rule.promise(INFO)
            self.assertIs(Verdict.COLD, self.rule.judge(INFO, ITEM_WORK))
            self.assertEqual(self.share, self.admitted())

        self.play(work)

    def test_shares_of_different_engines_are_independent(self) -> None:
        async def work() -> None:
            other = replace(INFO, id=NEW_ENGINE)
            self.beliefs.cold.note(NEW_ENGINE, LONG_SECONDS, self.clock.now())
            self.admitted()
            self.assertIs(Verdict.ALLOWED, self.rule.judge(other, ITEM_WORK))

        self.play(work)

    def test_warm_again_after_its_time(self) -> None:
        async def work() -> None:
            self.admitted()
            await self.clock.sleep(LONG_SECONDS)
            self.assertFalse(self.rule.is_cold(INFO))
            self.assertEqual(100, self.admitted())

        self.play(work)

    def test_only_a_send_to_a_cold_engine_must_be_made_at_once(self) -> None:
        async def work() -> None:
            placement = Placement(
                self.beliefs.directory, (self.rule,), send_within=self.rule.send_within
            )
            self.assertEqual(SEND_WITHIN_SECONDS, placement.admit(ENGINE, ITEM_WORK))
            await self.clock.sleep(LONG_SECONDS)
            self.assertIsNone(placement.admit(ENGINE, ITEM_WORK))

        self.play(work)

    def test_no_limit_without_terms_or_without_a_rate(self) -> None:
        async def work() -> None:
            self.assertFalse(self.rule.is_cold(INFO))
            self.assertIsNone(self.rule.send_within(INFO))
            self.assertEqual(100, self.admitted())

        async def without_rate() -> None:
            services = {ENGINES: replace(CONFIGURATION.services[ENGINES], cold_rate=0.0)}
            self.beliefs.configuration.update(replace(CONFIGURATION, version=2, services=services))
            await work()

        self.play(work, None)
        self.play(without_rate)

    def test_client_goes_to_a_busy_warm_server_before_a_cold_one(self) -> None:
        async def work() -> None:
            warm = replace(INFO, id=OTHER_ENGINE)
            self.beliefs.directory.update(warm)
            balancer = Balancer(self.beliefs.directory, self.clock, random.Random(), cold=self.rule)
            for _ in range(20):
                balancer.occupy(OTHER_ENGINE)
            found = balancer.candidates(ENGINES)
            self.assertEqual([OTHER_ENGINE, ENGINE], [info.id for info in found])
            balancer.note_cold(OTHER_ENGINE, 2.0)  # its own answer says so
            self.assertEqual(ENGINE, balancer.candidates(ENGINES)[0].id)

        self.play(work)

    def test_refusal_leaves_the_engine_to_others_at_once(self) -> None:
        async def work() -> None:
            placement = Placement(self.beliefs.directory, (self.rule,))
            balancer = Balancer(
                self.beliefs.directory, self.clock, random.Random(), placement=placement
            )
            self.admitted()
            with self.assertRaises(NotRunError) as caught:
                placement.admit(ENGINE, ITEM_WORK)
            self.assertIs(NotRunReason.COLD, caught.exception.reason)
            balancer.note_not_run(ENGINE, caught.exception.reason, 1.0)
            self.assertFalse(balancer.is_avoided(ENGINE))

        self.play(work)


class ReadTest(unittest.TestCase):
    """What operator and servers write."""

    def test_service_with_a_limit_and_one_without(self) -> None:
        services = [
            {"name": "a", "cold-start-s": 3.0, "cold-per-s": 9.3},
            {"name": "b"},
        ]
        document = {"version": 1, "routes": [], "services": services}
        row = Row(RowKey("op", "", "config"), orjson.dumps(document), 1)
        read = read_configuration(row).services
        self.assertEqual((3.0, 9.3), (read["a"].cold_start, read["a"].cold_rate))
        self.assertEqual((0.0, 0.0), (read["b"].cold_start, read["b"].cold_rate))

    def test_entry_that_says_how_long_or_nothing(self) -> None:
        for told, left in (({"cold-left-ms": 1500}, 1.5), ({"cold-left-ms": 0}, 0.0), ({}, None)):
            entry = {"service": "a", "address": "10.0.0.1:1", **told}
            row = Row(RowKey("servers", "", "i"), orjson.dumps(entry), 1)
            self.assertEqual(left, read_instance(row).cold_left)


class NewsTest(unittest.TestCase):
    """What makes an instance count as cold."""

    def play(self, work, *, had_whole_list: bool = True) -> None:
        """Runs a test on virtual time with an intake of rows."""

        async def begin() -> None:
            self.clock = LoopClock()
            self.beliefs = Beliefs()
            self.beliefs.configuration.update(CONFIGURATION)
            self.sound = 100.0
            readers = replace(READERS, instance=lambda row: self.info)
            self.intake = RowIntake(
                readers,
                self.beliefs,
                self.clock,
                EventLog("daemon"),
                lambda: self.sound,
                lambda: 3.0,
                lambda: had_whole_list,
            )
            await work()

        run(begin())

    def take(self, cold_left: float | None) -> float:
        """Takes an entry of the engine, and returns for how long it counts as cold."""
        self.info = replace(INFO, cold_left=cold_left)
        self.intake.take_instance_row(Row(RowKey("instances", "", ENGINE), b"", 1))
        return self.beliefs.cold.left(ENGINE, self.clock.now())

    def test_new_during_traffic_whether_its_entry_says_so_or_nothing(self) -> None:
        for told in (None, 0.5, COLD_SECONDS):

            async def work(told=told) -> None:
                self.assertEqual(COLD_SECONDS, self.take(told))

            self.play(work)

    def test_new_and_said_to_be_warm(self) -> None:
        async def work() -> None:
            self.assertEqual(0.0, self.take(0.0))

        self.play(work)

    def test_listed_when_this_daemon_began(self) -> None:
        async def work() -> None:
            self.assertEqual(0.0, self.take(None))
            self.assertEqual(1.5, self.take(1.5))

        self.play(work, had_whole_list=False)

    def test_back_after_its_entry_went_while_the_store_was_away(self) -> None:
        async def work() -> None:
            self.take(0.0)
            self.sound = 0.0
            self.intake.take_instance_row(
                Row(RowKey("instances", "", ENGINE), b"", 2, removed=True)
            )
            self.assertEqual(0.0, self.take(None))

        self.play(work)

    def test_entry_that_says_it_is_cold_again(self) -> None:
        async def work() -> None:
            self.take(0.0)
            await self.clock.sleep(50.0)
            self.assertEqual(2.0, self.take(2.0))
            self.assertEqual(2.0, self.take(0.0))  # an older statement may come late

        self.play(work)

    def test_zone_whose_evacuation_has_ended(self) -> None:
        async def work() -> None:
            self.take(0.0)
            cold, now = self.beliefs.cold, self.clock.now()
            directory, configuration = self.beliefs.directory, self.beliefs.configuration
            cold.note_zone_returned(ZoneId("other"), directory, configuration, now)
            self.assertEqual(0.0, cold.left(ENGINE, now))
            cold.note_zone_returned(INFO.zone, directory, configuration, now)
            self.assertEqual(COLD_SECONDS, cold.left(ENGINE, now))

        self.play(work)


class GreedyDaemon:
    """A daemon that sends to one cold engine whatever its rule lets through, if it is an owner.

    Attributes:
        delay: seconds after which it hears of owners; if it is cut off it hears of none.
        cut_at: since when it is cut off; None if it is not.
    """

    def __init__(self, own: DaemonId, clock: LoopClock, history: list) -> None:
        self.own = own
        self.clock = clock
        self.history = history
        self.listed = True
        self.delay = 0.05
        self.cut_at: float | None = None
        self.is_owner = False
        beliefs = Beliefs()
        beliefs.configuration.update(CONFIGURATION)
        beliefs.directory.update(INFO)
        beliefs.cold.note(ENGINE, 10 * LONG_SECONDS, clock.now())
        senders = ColdSenders(own, clock)
        senders.follow(self.owners, self, self)
        self.rule = ColdRule(COLD_TERMS, beliefs, clock, EventLog(own), senders)

    def silence(self) -> float:
        """Returns for how long it has heard nothing."""
        return self.clock.now() - self.cut_at if self.cut_at is not None else 0.0

    def is_hearing(self) -> bool:
        """Tells whether it hears the others; see `Membership`."""
        return self.silence() < HEARING_INTERVALS * HEARTBEAT_SECONDS

    def alive(self) -> tuple[DaemonId, ...]:
        """Returns the members."""
        return ()

    def age(self, now: float) -> float:
        """Returns the age of the feed of heads."""
        return self.delay + self.silence()

    def owners(self) -> set[DaemonId]:
        """Returns the owners that it knows of, itself for as long as it believes to be one."""
        known_at = (self.cut_at if self.cut_at is not None else self.clock.now()) - self.delay
        known = next((owners for at, owners in reversed(self.history) if at <= known_at), set())
        if self.cut_at is None:
            self.is_owner = self.own in self.history[-1][1]
        return known - {self.own} | ({self.own} if self.is_owner else set())

    def send(self) -> int:
        """Sends as much as it may at this moment, and returns how much that was."""
        self.owners()
        if not self.is_owner:
            return 0
        return sum(self.rule.admit(INFO, ITEM_WORK).is_allowed for _ in range(10))


class GreedyOwnersTest(unittest.TestCase):
    """Three batches at a time, each step's at new owners, while some are cut off and go on."""

    DAEMONS = 12
    TRAINERS = 3
    STEP_SECONDS = 4.0
    TICK_SECONDS = 0.02
    MOST_CUT = 4

    def play(self, seed: int, cuts: int) -> int:
        """Plays a minute, checks all its seconds, and returns how many requests were sent."""

        async def work() -> list[float]:
            chance, clock, history = random.Random(seed), LoopClock(), [(0.0, set())]
            daemons = [GreedyDaemon(own, clock, history) for own in names(self.DAEMONS)]
            times: list[float] = []
            steps = int(60 / self.TICK_SECONDS)
            for step in range(steps):
                if step % int(self.STEP_SECONDS / self.TICK_SECONDS) == 0:
                    whole = [daemon for daemon in daemons if daemon.cut_at is None]
                    owners = {daemon.own for daemon in chance.sample(whole, self.TRAINERS)}
                    history.append((clock.now(), owners))
                if step % int(LOOK_SECONDS / self.TICK_SECONDS) == 0:
                    for daemon in daemons:
                        await daemon.rule.look()
                self.disturb(chance, daemons, cuts)
                for daemon in chance.sample(daemons, len(daemons)):
                    times += [clock.now()] * daemon.send()
                await clock.sleep(self.TICK_SECONDS)
            return times

        times = run(work())
        check_cold("engine", times, BOUND)
        return len(times)

    def disturb(self, chance: random.Random, daemons: list[GreedyDaemon], cuts: int) -> None:
        """Makes news slow or quick, and cuts a daemon off or heals it, now and then."""
        daemon = chance.choice(daemons)
        if daemon.cut_at is None:
            daemon.delay = chance.choice((0.02, 0.1, 0.5))
        if chance.random() < 0.04:
            is_cut = daemon.cut_at is not None
            if is_cut or sum(other.cut_at is not None for other in daemons) < cuts:
                daemon.cut_at = None if is_cut else daemon.clock.now()

    def test_each_step_has_new_owners(self) -> None:
        for seed in range(10):
            self.assertGreater(self.play(seed, 0), 60 * RATE / 2)

    def test_some_are_cut_off_and_go_on(self) -> None:
        for seed in range(10):
            self.assertGreater(self.play(seed, self.MOST_CUT), 60 * RATE / 2)


class FleetTest(unittest.TestCase):
    """Three owners of batches at once."""

    def play(self, work, engines: int = 0, cold: ColdTerms | None = COLD_TERMS) -> None:
        """Runs a test on virtual time with a fleet."""

        async def begin() -> None:
            self.fleet = PlatformFleet(gateways=3, engines=engines, cold=cold)
            self.oracle = PlatformOracle(self.fleet)
            await self.fleet.wait(4.0)
            await work()
            self.oracle.check()

        run(begin())

    def submit_everywhere(self, items: int = 24) -> list:
        """Hands a batch in at each daemon, all at once."""
        self.specs = [make_batch(f"batch-{number}", items) for number in range(3)]
        return [
            asyncio.create_task(self.oracle.submit(gateway, spec))
            for gateway, spec in zip(self.fleet.gateways, self.specs, strict=True)
        ]

    async def finish(self, seconds: int = 60) -> None:
        """Waits until all batches are whole."""
        for _ in range(seconds):
            if len(self.oracle.accepted) == len(self.specs) and not self.oracle.missing():
                break
            await self.fleet.wait(1.0)
        self.oracle.check()
        for spec in self.specs:
            check_results(self, spec, self.fleet.stored_results(spec.id))

    def test_three_owners_fill_a_new_engine_in_one_instant(self) -> None:
        async def work() -> None:
            await asyncio.gather(*self.submit_everywhere())
            await self.fleet.wait(2.0)
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            await self.finish()
            self.assertGreater(len(state.cold_arrivals), 3 * 24 - 1)

        self.play(work)

    def test_batches_that_begin_while_all_engines_are_cold_still_flow(self) -> None:
        async def work() -> None:
            for number in range(4):
                self.fleet.start_cold_engine(EngineId(f"cold-{number}"), LONG_SECONDS)
            await self.fleet.wait(0.5)
            began = self.fleet.clock.now()
            await asyncio.gather(*self.submit_everywhere())
            await self.finish()
            self.assertLess(self.fleet.clock.now() - began, 5.0)

        self.play(work)

    def test_refusals_count(self) -> None:
        async def work() -> None:
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            state.slots = 0
            await asyncio.gather(*self.submit_everywhere())
            await self.fleet.wait(5.0)
            self.assertGreater(len(state.cold_arrivals), 10)
            state.slots = 8
            await self.finish()

        self.play(work)

    def test_retries_count(self) -> None:
        async def work() -> None:
            state = self.fleet.start_cold_engine(NEW_ENGINE, LONG_SECONDS)
            state.break_after = 1
            await asyncio.gather(*self.submit_everywhere())
            await self.fleet.wait(5.0)
            self.assertGreater(len(state.cold_arrivals), 10)
            state.break_after = None
            await self.finish()

        self.play(work)

    def test_store_away(self) -> None:
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

    def test_cold_again_and_only_its_answers_say_so(self) -> None:
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
            for gateway in self.fleet.gateways:  # the cold one was fast before it turned cold
                for name, pace in ((NEW_ENGINE, 0.01), (ENGINE, 0.03), (OTHER_ENGINE, 0.03)):
                    gateway.balancer.note_pace(name, pace)
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
