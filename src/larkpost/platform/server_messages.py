"""What servers say of themselves and what they are told, on the wire and as larkpost's types."""

import re
from collections.abc import Mapping

import orjson

from larkpost.gateway.servers.port import EngineReport, RunningWork, ServerLoad, VersionOrder
from larkpost.platform import names
from larkpost.platform.instance_rows import read_versions

ORDER_MODES = {
    RunningWork.CARRY: "retain",
    RunningWork.FINISH: "wait",
    RunningWork.INTERRUPT: "preempt",
}
"""How a server treats the work that runs under the old version while it changes to the new one."""
IDLE_TIME = re.compile(r"timeout=(\d+)")


def read_whole(headers: Mapping[str, str], name: bytes) -> int | None:
    """Returns a header that is a whole number; None if it is none."""
    text = headers.get(name.decode())
    return int(text) if text is not None and text.isdigit() else None


def read_idle_time(headers: Mapping[str, str]) -> float | None:
    """Returns the seconds for which a server leaves an idle connection open; None if not said."""
    found = IDLE_TIME.search(headers.get("Keep-Alive", ""))
    return float(found[1]) if found is not None else None


def read_cold(headers: Mapping[str, str]) -> float | None:
    """Returns the seconds for which a server says that it stays cold; None if it says nothing."""
    left = read_whole(headers, names.COLD_MS)
    return left / 1000 if left is not None else None


def read_load(headers: Mapping[str, str]) -> ServerLoad | None:
    """Returns what a server says of its load; None if it says nothing."""
    parts = headers.get(names.INSTANCE_LOAD.decode(), "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ServerLoad(running, waiting, slots)


def read_report(content: bytes) -> EngineReport:
    """Reads an engine's report.

    Raises:
        ValueError, KeyError, TypeError: it is none.
    """
    document = orjson.loads(content)
    return EngineReport(
        orders=int(document["seq"]),  # the count of orders, not of reports
        busy=bool(document["busy"]),
        running=int(document.get("running", 0)),
        waiting=int(document.get("waiting", 0)),
        versions=read_versions(document),
    )


def order_document(order: VersionOrder) -> dict[str, object]:
    """Returns an order as an engine takes it."""
    return {
        "op": "version",
        "model": order.model,
        "version": order.version,
        "mode": ORDER_MODES[order.running_work],
        "holder": order.holder,
        "fence": order.fencing_token,
        "expected": order.expected_orders,  # the count of orders that the engine reported
    }
