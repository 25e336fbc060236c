"""Tests that log lines can be parsed, whatever their fields contain."""

import os
import unittest

import orjson

from larkpost.gateway.observability.eventlog import Event, EventLog, NonBlockingWriter
from larkpost.gateway.placement.decision import PlacementDecision


class LineTest(unittest.TestCase):
    """Lines written to a pipe."""

    def test_dictionaries_keyed_by_enum_members(self) -> None:
        reader, writer = os.pipe()
        log = EventLog("daemon-1", NonBlockingWriter(writer))
        log.record(Event.REQUEST_FAILED, request="r1", verdicts={PlacementDecision.COLD: 2})
        log.close()
        os.close(writer)
        with os.fdopen(reader, "rb") as lines:
            fields = orjson.loads(lines.readline())
        self.assertEqual(Event.REQUEST_FAILED, fields["message_type"])
        self.assertEqual({"cold": 2}, fields["verdicts"])


if __name__ == "__main__":
    unittest.main()
