"""Tests of parsing servers' entries and reports, including invalid ones."""

import unittest

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.servers.port import EngineReport, ServerLoad
from larkpost.gateway.store.port import Row, RowKey
from larkpost.platform import names
from larkpost.platform.instance_rows import read_instance
from larkpost.platform.operator import UnreadableRowError
from larkpost.platform.server_messages import read_load, read_report

ENTRY = {
    "service": "engines",
    "address": "10.0.0.3:8000",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "models": [{"name": "small", "version": 41}],
    "seq": 4,
    "born": 1_700_000_000_123,
}
"""An entry with all its fields."""
REQUIRED = ("service", "address", "zone", "version", "slots", "state", "cold-left-ms", "seq")

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63 - 1)
    | st.floats()
    | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=6,
)


def read(document: object) -> InstanceInfo:
    """Returns the instance in an entry."""
    return read_instance(Row(RowKey("servers", "", "engine-3"), orjson.dumps(document), 5))


class EntryTest(unittest.TestCase):
    """An entry is used only if all of it is valid."""

    def test_complete_entry(self) -> None:
        expected = InstanceInfo(
            "engine-3@1700000000123",
            "engines",
            "10.0.0.3:8000",
            "north",
            8,
            InstanceState.READY,
            {"small": 41},
            5,
            cold_left=0.0,
        )
        info = read(ENTRY)
        self.assertEqual(expected, info)
        self.assertEqual(("engine-3", 1_700_000_000_123), (info.name, info.started_at_ms))

    def test_each_missing_field_makes_the_entry_invalid(self) -> None:
        for name in REQUIRED:
            with self.subTest(name), self.assertRaisesRegex(UnreadableRowError, name):
                read({field: value for field, value in ENTRY.items() if field != name})

    def test_invalid_values(self) -> None:
        spoiled = {
            "state": ("zombie", None, 7, ["ready"]),
            "address": (5, "nonsense", "host:80", "10.0.0.3", "10.0.0.3:0", "10.0.0.3:70000"),
            "service": (7, "", None),
            "zone": (4, None),
            "slots": (0, -3, 10**9, "8", 8.5, True, None),
            "cold-left-ms": (1e300, -1, "0", True, None),
            "version": (1, None),
            "seq": (-1, "4", None),
            "born": ("1700000000123", 1.5, -1, None, True),
            "models": ("small", [7], [{"name": "small"}], [{"name": 3, "version": 1}], None),
            "preemptible": (1, "yes", None),
        }
        for name, values in spoiled.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    self.assertRaises(UnreadableRowError, read, {**ENTRY, name: value})

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_are_invalid_without_an_error(self, content: bytes) -> None:
        row = Row(RowKey("servers", "", "engine-3"), content, 5)
        self.assertRaises(UnreadableRowError, read_instance, row)

    @settings(max_examples=500, deadline=None)
    @given(st.sampled_from(sorted(ENTRY)), JSON_VALUES)
    def test_arbitrary_field_values_are_accepted_or_rejected_as_a_whole(
        self, name: str, value: object
    ) -> None:
        try:
            info = read({**ENTRY, name: value})
        except UnreadableRowError:
            return
        texts = (info.service, info.address, info.zone)
        self.assertTrue(all(isinstance(text, str) and text for text in texts))
        self.assertTrue(1 <= info.slots <= 65_535)
        self.assertTrue(0 <= info.cold_left <= 86_400)
        self.assertIn(type(info.started_at_ms), (int, type(None)))

    def test_entry_without_a_start_time(self) -> None:
        document = {name: value for name, value in ENTRY.items() if name != "born"}
        self.assertIsNone(read(document).started_at_ms)


class ReportTest(unittest.TestCase):
    """Invalid reports and loads count as missing."""

    def test_report_contains_the_start_time(self) -> None:
        report = read_report(b'{"seq":3,"busy":false,"models":[],"born":1700000000123}')
        self.assertEqual(EngineReport(3, False, 0, 0, {}, 1_700_000_000_123), report)

    def test_invalid_reports(self) -> None:
        for content in (b"", b"[]", b"7", b'{"seq":"3","busy":false}', b'{"seq":3,"busy":0}'):
            self.assertRaises(ValueError, read_report, content)

    def test_loads(self) -> None:
        for text, load in (
            ("3,0,8", ServerLoad(3, 0, 8)),
            ("3, 1, 8, 250", ServerLoad(3, 1, 8, 2.5)),
            ("3,1,8,0", ServerLoad(3, 1, 8)),
            ("3,1", None),
            ("3,1,8,100,5", None),
            ("3,1,8,-5", None),
            ("3,1,8,x", None),
            ("3,1,8,9999999", None),
            ("\u0663,1,8", None),
        ):
            self.assertEqual(load, read_load({names.INSTANCE_LOAD.decode(): text}), text)
