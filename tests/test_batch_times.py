"""Tests of the timeline of batches derived from daemons' logs."""

import unittest

from larkpost.gateway.observability.batch_times import COLUMNS, read_batch_times, table
from larkpost.gateway.observability.eventlog import Event
from tests.test_explain import line

LINES = [
    "not a line of a log",
    line(100.5, "a", Event.BATCH_ACCEPTED, batch="B", items=2, desired_groups=1, seconds=0.5),
    line(100.5, "a", Event.BATCH_OWNED, batch="B", fresh=True),
    line(
        101.0, "a", Event.ITEM_RUN, batch="B", item="i1", group="g", events=0, seconds=0.1
    ).replace("}", ',"outcome":"full"}'),
    line(
        103.0, "a", Event.ITEM_RUN, batch="B", item="i1", group="g", events=9, seconds=1.0
    ).replace("}", ',"outcome":"whole"}'),
    line(
        105.0, "a", Event.ITEM_RUN, batch="B", item="i2", group="g", events=9, seconds=3.0
    ).replace("}", ',"outcome":"whole"}'),
    line(105.2, "a", Event.REWARD_CALL, batch="B", item="i2", outcome="failed"),
    line(105.4, "a", Event.REWARD_CALL, batch="B", item="i2", outcome="scored"),
    line(103.5, "a", Event.APPENDED, batch="B", position=0, items=["i1"]),
    line(105.5, "a", Event.APPENDED, batch="B", position=1, items=["i2"]),
    line(106.0, "b", Event.BATCH_READ, batch="B", position=0, results=2),
    line(106.5, "c", Event.BATCH_ENDED, batch="B"),
    line(103.0, "c", Event.BATCH_ACCEPTED, batch="C", items=5, desired_groups=2, seconds=0.0),
]


class BatchTimesTest(unittest.TestCase):
    """One batch that ran, and one that was only accepted."""

    def row(self, number: int) -> dict[str, str]:
        """Returns a row of the table, by column name."""
        rows = table(read_batch_times(LINES))
        self.assertEqual(2, len(rows))
        return dict(zip(COLUMNS, rows[number], strict=True))

    def test_times_are_counted_from_the_acceptance(self):
        row = self.row(0)
        self.assertEqual("0.00", row["accepted"])
        self.assertEqual("2.0/2.0", row["began"])
        self.assertEqual("5.0/5.0", row["whole"])
        self.assertEqual("5.4/5.4", row["scored"])
        self.assertEqual("5.5/5.5", row["listed"])
        self.assertEqual("6.0/6.0", row["read"])
        self.assertEqual("5.5", row["wanted"])
        self.assertEqual("6.5", row["ended"])

    def test_outcomes_are_counted(self):
        row = self.row(0)
        self.assertEqual("whole:2 full:1", row["runs"])
        self.assertEqual("failed:1 scored:1", row["reward calls"])

    def test_times_missing_from_the_logs_are_empty(self):
        row = self.row(1)
        self.assertEqual("3.00", row["accepted"])
        self.assertEqual("-", row["whole"])
        self.assertEqual("-", row["wanted"])

    def test_no_lines_give_no_rows(self):
        self.assertEqual([], table(read_batch_times(["nothing"])))


if __name__ == "__main__":
    unittest.main()
