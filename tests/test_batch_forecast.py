"""Deadline forecasts of batches of different length, and the progress reports they are based on."""

import unittest
from dataclasses import replace

from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.daemon_report import BatchProgress, DaemonReport
from larkpost.gateway.blackboard.weight_targets import DeadlineForecast, ModelDemand
from larkpost.gateway.controllers.batch_forecast import (
    INFEASIBLE_DELAY_SECONDS,
    MIN_SPARE_SECONDS,
    BatchCapacity,
    forecast_deadline,
    most_urgent_forecast,
    remaining_seconds,
)
from larkpost.gateway.controllers.heartbeat import Heartbeat, decode_heartbeat, encode_heartbeat
from larkpost.gateway.controllers.heartbeat_intervals import DEAD_AFTER_SECONDS
from larkpost.gateway.rollouts.batch_forecaster import (
    LOWEST_PRIORITY,
    REPORT_LIFETIME_SECONDS,
    BatchForecaster,
    ForecastInputs,
    ModelHeads,
)
from larkpost.gateway.rollouts.model import BatchHead, Item, ItemId
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.remaining_work import (
    OVERRUN_SHARE,
    remaining_tokens,
    summarize_progress,
)
from tests.platform_fleet import MODEL, PlatformFleet, make_batch
from tests.virtual import run

POOL = BatchCapacity(
    available_slots=58, total_slots=176, token_time=0.000625, fastest_token_time=0.0006
)
"""A third of 22 engines with 8 slots, where an event of 80 tokens takes 0.05 s."""
UNEVEN = BatchCapacity(
    available_slots=48, total_slots=192, token_time=0.001, fastest_token_time=0.0007
)
"""A quarter of 24 engines; slow ones take 1.7 times the usual service time, the others 0.7."""
LONG = BatchProgress(0, work=1848 * 80, p90_item_work=149 * 80)
SHORT = BatchProgress(0, work=864 * 80, p90_item_work=84 * 80)
TOKENS = 80


class ForecastTest(unittest.TestCase):
    """Cases of the forecast rules."""

    def test_deadline_forecasts(self):
        ended = BatchProgress(0, 0, 0)
        cases = (
            ("short items, all the time", SHORT, 7.5, POOL, DeadlineForecast.TO_SPARE),
            ("long items, all the time", LONG, 7.5, POOL, DeadlineForecast.TIGHT),
            (
                "long items, nearly done",
                left_of(LONG, 4000, 2000),
                4.0,
                POOL,
                DeadlineForecast.TO_SPARE,
            ),
            ("late, but not by much", LONG, 6.5, POOL, DeadlineForecast.TIGHT),
            ("a long item may be shorter than expected", LONG, 2.0, POOL, DeadlineForecast.TIGHT),
            (
                "infeasible: more work than all engines can do",
                LONG,
                -0.5,
                POOL,
                DeadlineForecast.INFEASIBLE,
            ),
            ("long since due", SHORT, -1.0, POOL, DeadlineForecast.INFEASIBLE),
            (
                "long since due, all but done",
                BatchProgress(0, 80, 80),
                -3,
                POOL,
                DeadlineForecast.TIGHT,
            ),
            (
                "due a moment ago, all but done",
                BatchProgress(0, 80, 80),
                -0.2,
                POOL,
                DeadlineForecast.TIGHT,
            ),
            ("all is done", ended, 3.0, POOL, DeadlineForecast.TO_SPARE),
            ("short items at uneven engines", SHORT, 11.0, UNEVEN, DeadlineForecast.TO_SPARE),
            ("long ones: in time at the fast", LONG, 7.5, UNEVEN, DeadlineForecast.TIGHT),
            (
                "more work than the fast engines can do",
                LONG,
                -0.5,
                UNEVEN,
                DeadlineForecast.INFEASIBLE,
            ),
            (
                "no service time is known",
                SHORT,
                7.5,
                BatchCapacity(0, 0, 0.0, 0.0),
                DeadlineForecast.UNKNOWN,
            ),
        )
        for name, progress, due_in, capacity, expected in cases:
            with self.subTest(name):
                self.assertIs(expected, forecast_deadline(progress, due_in, capacity))

    def test_limits(self):
        needed = remaining_seconds(SHORT, POOL.available_slots, POOL.token_time)
        cases = (
            (needed + MIN_SPARE_SECONDS + 0.01, DeadlineForecast.TO_SPARE),
            (needed + MIN_SPARE_SECONDS - 0.01, DeadlineForecast.TIGHT),
            (864 * 80 * 0.0006 / 176 - INFEASIBLE_DELAY_SECONDS + 0.01, DeadlineForecast.TIGHT),
            (
                864 * 80 * 0.0006 / 176 - INFEASIBLE_DELAY_SECONDS - 0.01,
                DeadlineForecast.INFEASIBLE,
            ),
        )
        for due_in, expected in cases:
            with self.subTest(due_in=due_in):
                self.assertIs(expected, forecast_deadline(SHORT, due_in, POOL))

    def test_many_short_items_need_time_too(self):
        many = BatchProgress(400, work=58 * 16000, p90_item_work=800)
        self.assertAlmostEqual(10.5, remaining_seconds(many, POOL.available_slots, POOL.token_time))
        self.assertIs(DeadlineForecast.TIGHT, forecast_deadline(many, 7.5, POOL))

    def test_which_batch_of_a_model_counts(self):
        tight, unknown = DeadlineForecast.TIGHT, DeadlineForecast.UNKNOWN
        hopeless, spare = DeadlineForecast.INFEASIBLE, DeadlineForecast.TO_SPARE
        cases = (
            ((), unknown),
            ((spare,), spare),
            ((spare, hopeless), hopeless),
            ((hopeless, unknown), unknown),
            ((spare, unknown), unknown),
            ((spare, hopeless, unknown, tight), tight),
        )
        for forecasts, expected in cases:
            with self.subTest(forecasts):
                self.assertIs(expected, most_urgent_forecast(forecasts))


class RemainingWorkTest(unittest.TestCase):
    """Estimates of the remaining work."""

    def test_remaining_tokens(self):
        item = Item(ItemId("i"), "/p", (), b"", tokens=4000, group="g", length_hint=1600)
        cases = (
            ("not started", item, 0, 1600),
            ("half done", item, 10, 800),
            ("as long as expected", item, 20, int(1600 * OVERRUN_SHARE)),
            ("longer than expected", item, 30, int(2400 * OVERRUN_SHARE)),
            ("near its maximum", item, 45, 400),
            ("beyond its maximum", item, 60, TOKENS),
            ("no length hint", replace(item, length_hint=0), 10, 3200),
        )
        for name, case, events, expected in cases:
            with self.subTest(name):
                progress = Progress(case, [b"x"] * events)
                self.assertEqual(expected, remaining_tokens(progress, TOKENS))
                self.assertEqual(0, remaining_tokens(replace(progress, whole=True), TOKENS))

    def test_sum(self):
        for count, p90_item_work in ((3, 2), (20, 18)):
            items = make_batch(items=count).items
            works = sorted(item.expected_work for item in items)
            expected = BatchProgress(2, sum(works), works[p90_item_work])
            self.assertEqual(
                expected, summarize_progress((Progress(item) for item in items), TOKENS, 2)
            )
        self.assertEqual(BatchProgress(0, 0, 0), summarize_progress((), TOKENS, 0))


class ReportTest(unittest.TestCase):
    """Progress reports in heartbeats."""

    def read(self, report: DaemonReport) -> DaemonReport:
        """Returns a report as another daemon decodes it."""
        return decode_heartbeat(encode_heartbeat(Heartbeat(0.25, report=report))).report

    def test_round_trip(self):
        report = DaemonReport(batches={BatchId("b"): BatchProgress(3, 12000, 900)})
        self.assertEqual(report, self.read(report))
        self.assertEqual(DaemonReport(), self.read(DaemonReport()))
        self.assertNotIn(b"batches", encode_heartbeat(Heartbeat(0.25)))

    def test_malformed_reports_are_ignored(self):
        for value in (b"7", b"[1]", b'{"b":[1,2]}', b'{"b":[1,2,-3]}', b'{"b":[1,"2",3]}'):
            with self.subTest(value):
                row = b'{"interval":0.25,"batches":' + value + b"}"
                self.assertEqual({}, decode_heartbeat(row).report.batches)


class BatchForecasterTest(unittest.TestCase):
    """Forecasts from the owners' reports, and without reports."""

    async def begin(self) -> PlatformFleet:
        """Prepares the forecasts of a batch that another daemon owns, due in some seconds."""
        fleet = PlatformFleet(gateways=1, engines=2)
        await fleet.wait(1.0)
        gateway = fleet.gateways[0]
        self.clock = fleet.clock
        inputs = ForecastInputs(
            gateway.blackboard.configuration,
            gateway.directory,
            lambda _: 0.05,
            fleet.clock,
            lambda: 100.0,
        )
        self.forecaster = BatchForecaster(inputs)
        spec = make_batch(items=1)
        self.due = gateway.blackboard.configuration.current.match(spec.host, spec.path.encode()).due
        self.head = BatchHead(
            spec.id, spec.host, spec.path, MODEL, 0, 0, 1, 1, DaemonId("o"), 100.0, False, "u"
        )
        return fleet

    def demand(self, own: dict[BatchId, BatchProgress] | None = None) -> ModelDemand:
        """Returns the demand of the model."""
        demands = {MODEL: ModelDemand(10, True)}
        return self.forecaster.add_forecasts(demands, ModelHeads([self.head]), own or {})[MODEL]

    def test_report_expires(self):
        async def play():
            await self.begin()
            self.assertIs(DeadlineForecast.UNKNOWN, self.demand().deadline_forecast)
            reported = {self.head.id: BatchProgress(4, 100, 10)}
            self.forecaster.record_report(DaemonId("o"), reported)
            self.assertEqual(4, self.demand().waiting)
            self.assertNotEqual(DeadlineForecast.UNKNOWN, self.demand().deadline_forecast)
            await self.clock.sleep(REPORT_LIFETIME_SECONDS + 0.1)
            self.assertEqual(ModelDemand(10, True), self.demand())

        run(play())

    def test_empty_report_replaces_the_last_one(self):
        async def play():
            await self.begin()
            self.forecaster.record_report(DaemonId("o"), {self.head.id: BatchProgress(4, 1, 1)})
            self.forecaster.record_report(DaemonId("o"), {})
            self.assertEqual(ModelDemand(10, True), self.demand())

        run(play())

    def test_priority_is_kept_between_two_steps_when_no_batch_is_open(self):
        """Weights are loaded between steps, and engines are lent by priority."""

        async def play():
            await self.begin()
            demands = {MODEL: ModelDemand(10)}
            while_open = self.demand().priority
            ended = self.forecaster.add_forecasts(demands, ModelHeads([], [self.head]), {})[MODEL]
            self.assertEqual(while_open, ended.priority)
            unknown = self.forecaster.add_forecasts(demands, ModelHeads([]), {})[MODEL]
            self.assertEqual(LOWEST_PRIORITY, unknown.priority)
            self.assertLess(while_open, LOWEST_PRIORITY)

        run(play())

    def test_own_progress_takes_precedence_over_reports(self):
        async def play():
            await self.begin()
            self.forecaster.record_report(DaemonId("o"), {self.head.id: BatchProgress(4, 1, 1)})
            self.assertEqual(7, self.demand({self.head.id: BatchProgress(7, 1, 1)}).waiting)

        run(play())

    def test_due_time_counts(self):
        async def play():
            await self.begin()
            self.assertGreater(self.due, 0)
            self.forecaster.record_report(DaemonId("o"), {self.head.id: BatchProgress(0, 1, 1)})
            self.assertIs(DeadlineForecast.TO_SPARE, self.demand().deadline_forecast)
            self.head = replace(
                self.head, created_at=100.0 - self.due - 2 * INFEASIBLE_DELAY_SECONDS
            )
            self.assertIs(
                DeadlineForecast.TIGHT, self.demand().deadline_forecast, "little is left of it"
            )
            much = {self.head.id: BatchProgress(0, 10**6, 10**5)}
            self.forecaster.record_report(DaemonId("o"), much)
            self.assertIs(DeadlineForecast.INFEASIBLE, self.demand().deadline_forecast)

        run(play())


class FleetTest(unittest.TestCase):
    """Progress of a batch at the other daemons, before and after a failover."""

    def test_progress_reaches_the_others_also_after_a_failover(self):
        async def play():
            fleet = PlatformFleet(gateways=3, engines=2)
            for state in fleet.model_engines():
                state.event_seconds = 0.3
            await fleet.wait(3.0)
            owner = await fleet.submit(make_batch(items=60))
            await fleet.wait(1.0)
            others = [gateway for gateway in fleet.gateways if not gateway.batch_manager.owned()]
            self.assertEqual(2, len(others))
            for gateway in others:
                self.assertGreater(gateway.batch_manager.demands()[MODEL].waiting, 0)
                self.assertIsNot(
                    DeadlineForecast.UNKNOWN,
                    gateway.batch_manager.demands()[MODEL].deadline_forecast,
                )
            fleet.kill(owner)
            await fleet.wait(DEAD_AFTER_SECONDS + 1.5)
            owners = [gateway for gateway in others if gateway.batch_manager.owned()]
            self.assertEqual(1, len(owners))
            for gateway in others:  # reported by the new owner
                self.assertIsNot(
                    DeadlineForecast.UNKNOWN,
                    gateway.batch_manager.demands()[MODEL].deadline_forecast,
                )

        run(play())


def left_of(progress: BatchProgress, work: int, p90_item_work: int) -> BatchProgress:
    """Returns a copy of the progress with this much remaining work."""
    return progress._replace(work=work, p90_item_work=p90_item_work)


if __name__ == "__main__":
    unittest.main()
