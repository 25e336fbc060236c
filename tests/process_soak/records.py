"""Records written by the stand-in servers of a soak."""

import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

import orjson

from larkpost.common.ids import ZoneId

FAILING_CALL = "/-/failing"
"""Path of the call that makes a server respond to all pages with 500, or stops it."""


CRASHING_PAGE = "crashing-"
"""Prefix of the last path segment of a page that crashes every server that starts to run it."""
SLOW_CALL = "/-/slow"
"""Path of the call that sets an engine's seconds per event."""
LATE_ORDERS_CALL = "/-/late-orders"
"""Path of the call that makes an engine execute orders late without a response, or stops it."""
STORE_FAULTS_CALL = "/-/faults"
"""Path of the call that sets the faults of the daemons' calls to the store."""
FORGET_CALL = "/-/forget"
"""Path of the call that makes the store drop its history."""


class RecordKind(StrEnum):
    """Kinds of records written by a server."""

    RUN = "run"
    WHOLE = "whole"
    ORDER = "order"
    USAGE = "usage"
    CRASH = "crash"


def write_record(kind: RecordKind, **fields) -> None:
    """Writes a record; all processes of a machine share the monotonic clock."""
    print(orjson.dumps({"kind": kind, "at": time.monotonic()} | fields).decode(), flush=True)


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request; `began` is monotonic time, `tenant` the request's tenant.

    Attributes:
        zone: zone of the server that ran it.
    """

    path: str
    began: float
    signature: str
    status: int
    tenant: str | None = None
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Usage:
    """An accepted usage report; `at` is monotonic time."""

    window: int
    counts: dict[str, int]
    holder: str
    token: int
    at: float


@dataclass(frozen=True, slots=True)
class Order:
    """An order received by an instance; `at` is monotonic time."""

    holder: str
    token: int
    at: float


@dataclass(frozen=True, slots=True)
class CrashingRun:
    """A run that crashed its server; `began` is monotonic time."""

    request: str
    began: float


@dataclass(slots=True)
class Evacuation:
    """An evacuation; `began_at`: the store acknowledged it, `ended_at`: its end was sent."""

    zone: ZoneId
    began_at: float
    ended_at: float = float("inf")


@dataclass(slots=True)
class Records:
    """All records of all servers so far.

    Attributes:
        runs: by request.
        whole_at: when a stream of the request was first complete.
        orders: by instance, in order of arrival.
        usage: all accepted usage reports, in order of arrival.
        crashes: by path, in order of their start.
    """

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    whole_at: dict[str, float] = field(default_factory=dict)
    orders: dict[str, list[Order]] = field(default_factory=lambda: defaultdict(list))
    usage: list[Usage] = field(default_factory=list)
    crashes: dict[str, list[CrashingRun]] = field(default_factory=lambda: defaultdict(list))

    def take(self, document: dict[str, Any]) -> None:
        """Adds one record."""
        match document["kind"]:
            case RecordKind.RUN:
                run = Run(
                    document["path"],
                    document["began"],
                    document["signature"],
                    document["status"],
                    document["tenant"],
                    document["zone"],
                )
                self.runs[document["request"]].append(run)
            case RecordKind.WHOLE:
                name = document["request"]
                self.whole_at[name] = min(document["at"], self.whole_at.get(name, document["at"]))
            case RecordKind.ORDER:
                order = Order(document["holder"], document["token"], document["at"])
                self.orders[document["instance"]].append(order)
            case RecordKind.CRASH:
                run = CrashingRun(document["request"], document["at"])
                self.crashes[document["path"]].append(run)
            case RecordKind.USAGE:
                fields = ("window", "counts", "holder", "token", "at")
                self.usage.append(Usage(*(document[name] for name in fields)))


def read_records(files: Iterable[Path]) -> Records:
    """Reads the records in the servers' output files; skips lines truncated by a kill."""
    records = Records()
    for file in files:
        for line in file.read_bytes().splitlines():
            try:
                document = orjson.loads(line)
            except ValueError:
                continue
            records.take(document)
    return records
