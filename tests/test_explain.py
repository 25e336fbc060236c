"""Tests of `explain`, of the documentation of events and metrics, and of slow log readers."""

import os
import time
import unittest
from pathlib import Path

import orjson

from larkpost.gateway.observability.eventlog import (
    MAX_LINES_PER_SECOND,
    MAX_PENDING_BYTES,
    Event,
    EventLog,
    NonBlockingWriter,
)
from larkpost.gateway.observability.explain import explain
from larkpost.gateway.observability.metrics import COUNTERS, GAUGES, HISTOGRAMS, Count, Metrics

DOCS = Path(__file__).resolve().parent.parent / "docs"


def line(at: float, daemon: str, event: Event, prefix: str = "", **fields) -> str:
    """Returns a log line."""
    document = {"timestamp": at, "daemon": daemon, "message_type": event.value} | fields
    return prefix + orjson.dumps(document).decode()


LINES = [
    "not a line of a log",
    line(11.0, "b", Event.ITEM_RUN, batch="B", item="i1", engine="e1", outcome="silent"),
    line(10.0, "a", Event.BATCH_ACCEPTED, "  10.0 a ", batch="B", items=2),
    line(10.1, "a", Event.BATCH_OWNED, batch="B", fresh=True),
    line(12.0, "b", Event.ITEM_RUN, batch="B", item="i2", engine="e2", outcome="whole"),
    line(13.0, "b", Event.APPENDED, batch="B", position=0, items=["i1", "i2"]),
    line(14.0, "c", Event.REQUEST_FAILED, request="r", outcome="refused", held=0.1),
]


class ExplainTest(unittest.TestCase):
    """Explanations from a few log lines."""

    def test_item_is_explained_with_its_batch_in_order(self):
        story = explain(LINES, "i1")
        events = [entry.split()[3] for entry in story if " s  " in entry]
        self.assertEqual(["batch_accepted", "batch_owned", "item_run", "appended"], events)
        self.assertNotIn("i2 ", "".join(story[2:3]))
        self.assertIn("missing: the batch's end", story[-1])

    def test_finished_request_has_nothing_missing(self):
        story = explain(LINES, "r")
        self.assertEqual(1, len(story))
        self.assertIn("outcome=refused", story[0])

    def test_server_name_matches_all_its_incarnations(self):
        lines = [
            f'{{"timestamp":{at},"message_type":"instance","instance":"{instance}"}}'
            for at, instance in ((1, "i-7@1700000000000"), (2, "i-7@1700000004000"), (3, "i-70"))
        ]
        self.assertEqual(2, len(explain(lines, "i-7")))
        self.assertEqual(1, len(explain(lines, "i-7@1700000004000")))

    def test_unknown_id_is_reported(self):
        self.assertIn("no line names", explain(LINES, "nobody")[0])


class DocumentationTest(unittest.TestCase):
    """Every event and every metric is documented."""

    def test_every_event_is_documented(self):
        text = (DOCS / "LOGS.md").read_text(encoding="utf-8")
        self.assertEqual([], [event for event in Event if f"`{event.value}`" not in text])

    def test_every_metric_is_documented(self):
        text = (DOCS / "LOGS.md").read_text(encoding="utf-8")
        names = [*COUNTERS, *GAUGES, *HISTOGRAMS]
        self.assertEqual([], [name for name in names if f"`{name.value}`" not in text])


class BoundedLogTest(unittest.TestCase):
    """The log is bounded and never blocks the process."""

    def test_stopped_reader_does_not_block(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        lines = NonBlockingWriter(writer)
        text = b"x" * 1000 + b"\n"
        began = time.monotonic()
        for _ in range(2 * MAX_PENDING_BYTES // len(text)):
            lines.write(text)
        self.assertLess(time.monotonic() - began, 5.0)
        self.assertGreater(lines.dropped, 0)

    def test_lines_over_the_limit_are_counted(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        metrics = Metrics()
        log = EventLog("d", NonBlockingWriter(writer), metrics)
        for _ in range(5 * MAX_LINES_PER_SECOND):
            log.record(Event.ITEM_RUN, batch="b")
        name = Count.LINES_LEFT_OUT.value
        left_out = metrics.registry.get_sample_value(name, {"event": Event.ITEM_RUN.value})
        self.assertGreaterEqual(left_out, 3 * MAX_LINES_PER_SECOND)
        log.close()
