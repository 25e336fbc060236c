"""Checks that only platform/ and deploy/ use names of the users' platform."""

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "larkpost"
HEADERS = re.compile(r"larkpost-(?!wire)[a-z]+(-[a-z]+)+", re.IGNORECASE)
OWN_HEADERS = {"larkpost-request-id", "larkpost-run-once", "larkpost-deadline-seconds"}
CALLS = re.compile(r"/-/[a-z]")
FIELDS = (
    "after-rev",
    "wait-ms",
    "next-token",
    "min-version",
    "max-attempts",
    "weighted-services",
    "path-prefix",
    "timeout-ms",
    "target-ms",
    "result-due-ms",
    "queue-ttl-s",
    "cold-left-ms",
    "cold-start-s",
    "cold-per-s",
    "cold-overage",
    "cold-slack",
    "kv-capacity",
    "max-conns",
    "idle-timeout-ms",
    "max-header-bytes",
    "contact-ms",
    "grace-s",
    "lease-ms",
    "status-s",
    "port-range",
    "machine-class",
    "target-version",
    "last-event-id",
    "retry-after-s",
    "now_ms",
    "LARKPOST_NODE_FILE",
)


class BoundaryTest(unittest.TestCase):
    """Searches the sources outside platform/ for headers, paths and fields of the platform."""

    def sources(self):
        """Yields each source outside platform/ with its text."""
        for path in sorted(SOURCE.rglob("*.py")):
            if path.relative_to(SOURCE).parts[0] != "platform" and "_pb2" not in path.name:
                yield path, path.read_text(encoding="utf-8")

    def test_no_header_of_the_platform(self):
        for path, text in self.sources():
            found = {name.lower() for name in (m.group() for m in HEADERS.finditer(text))}
            self.assertEqual(set(), found - OWN_HEADERS, path)

    def test_no_call_of_the_platform(self):
        for path, text in self.sources():
            self.assertIsNone(CALLS.search(text), path)

    def test_no_field_of_the_platform(self):
        for path, text in self.sources():
            found = [name for name in FIELDS if f'"{name}"' in text]
            self.assertEqual([], found, path)
