"""The log gets few lines when engines are lent and returned many times a second."""

import unittest

from larkpost.common.clock import LoopClock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.weight_targets import DeadlineForecast, ModelDemand
from larkpost.gateway.controllers.lending import Lending, LendingRole
from larkpost.gateway.controllers.lending_log import LOG_INTERVAL_SECONDS, LendingLog
from larkpost.gateway.observability.eventlog import Event
from tests.recording_log import RecordingLog
from tests.server_parts import FIRST, SECOND, TWO_MODELS
from tests.virtual import run

LENT = Lending({FIRST: [InstanceId("e1")]})
DEMANDS = {
    FIRST: ModelDemand(9, open=True, submit_delay=0.1, deadline_forecast=DeadlineForecast.TIGHT)
}


class LendingLogTest(unittest.TestCase):
    """Which lendings are logged."""

    def lines(self, *steps: tuple[float, Lending]) -> list[dict]:
        """Returns the log lines for lendings that follow each other after these seconds."""

        async def play() -> list[dict]:
            clock, log = LoopClock(), RecordingLog()
            record = LendingLog(log, clock)
            for seconds, lending in steps:
                await clock.sleep(seconds)
                record.record(TWO_MODELS, lending, DEMANDS)
            return [fields for event, fields in log.events if event is Event.ENGINES_LENT]

        return run(play())

    def test_no_lending_logs_nothing(self):
        self.assertEqual([], self.lines((0.0, Lending()), (5.0, Lending())))

    def test_line_names_borrowers_and_reasons(self):
        (line,) = self.lines((0.0, LENT), (5.0, LENT))
        self.assertEqual({FIRST: ["e1"]}, line["lent"])
        self.assertEqual({FIRST: LendingRole.BORROWER, SECOND: LendingRole.NONE}, line["standings"])
        self.assertEqual({FIRST: "tight", SECOND: "unknown"}, line["outlooks"])
        self.assertEqual({FIRST: 0.1, SECOND: None}, line["asked_after"])

    def test_lines_are_bounded(self):
        steps = [(LOG_INTERVAL_SECONDS / 10, (LENT, Lending())[n % 2]) for n in range(40)]
        self.assertLessEqual(len(self.lines(*steps)), 5)

    def test_end_of_lending_is_logged(self):
        lines = self.lines((0.0, LENT), (LOG_INTERVAL_SECONDS, Lending()))
        self.assertEqual([{FIRST: ["e1"]}, {}], [line["lent"] for line in lines])


if __name__ == "__main__":
    unittest.main()
