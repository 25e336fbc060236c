"""What the stand-ins of a soak have recorded of their work."""

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
"""Tells a server whether to answer all pages with 500."""


CRASHING_PAGE = "crashing-"
"""Begins the last part of the path of a page that crashes each server that begins to make it."""
LATE_ORDERS_CALL = "/-/late-orders"
"""Tells an engine whether to leave orders unanswered and carry them out later."""
STORE_FAULTS_CALL = "/-/faults"
"""Sets the faults that strike the daemons' calls to the store."""
FORGET_CALL = "/-/forget"
"""Makes the store forget its history."""


class RecordKind(StrEnum):
    """Kinds of records that a server writes."""

    RUN = "run"
    WHOLE = "whole"
    ORDER = "order"
    USAGE = "usage"
    CRASH = "crash"


def write_record(kind: RecordKind, **fields) -> None:
    """Writes a record; all processes of a machine share the steady clock."""
    print(orjson.dumps({"kind": kind, "at": time.monotonic()} | fields).decode(), flush=True)


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request; `began` is steady time, `tenant` what the request named.

    Attributes:
        zone: of the server that ran it.
    """

    path: str
    began: float
    signature: str
    status: int
    tenant: str | None = None
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Usage:
    """A usage report that was taken; `at` is steady time."""

    window: int
    counts: dict[str, int]
    holder: str
    token: int
    at: float


@dataclass(frozen=True, slots=True)
class Order:
    """An order that reached an instance; `at` is steady time."""

    holder: str
    token: int
    at: float


@dataclass(frozen=True, slots=True)
class CrashingRun:
    """A run that crashed its server; `began` is steady time."""

    request: str
    began: float


@dataclass(slots=True)
class Evacuation:
    """An evacuation; `began_at` is when the store acknowledged it, `ended_at` when its end went."""

    zone: ZoneId
    began_at: float
    ended_at: float = float("inf")


@dataclass(slots=True)
class Records:
    """All records of all servers so far.

    Attributes:
        runs: by request.
        whole_at: when a stream of the request first came to its end.
        orders: by instance, as they arrived.
        usage: all usage reports that were taken, as they arrived.
        crashes: by path, as they began.
    """

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    whole_at: dict[str, float] = field(default_factory=dict)
    orders: dict[str, list[Order]] = field(default_factory=lambda: defaultdict(list))
    usage: list[Usage] = field(default_factory=list)
    crashes: dict[str, list[CrashingRun]] = field(default_factory=lambda: defaultdict(list))

    def take(self, document: dict[str, Any]) -> None:
        """Takes one record."""
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
    """Reads the records in the servers' outputs; a line cut off by a kill is passed over."""
    records = Records()
    for file in files:
        for line in file.read_bytes().splitlines():
            try:
                document = orjson.loads(line)
            except ValueError:
                continue
            records.take(document)
    return records
