"""Converts between the wire formats of servers and larkpost's types: headers, reports, orders."""

import re
from collections.abc import Mapping

from larkpost.gateway.servers.port import EngineReport, RunningWork, ServerLoad, VersionOrder
from larkpost.platform import names
from larkpost.platform.instance_rows import (
    read_int,
    read_json_object,
    read_start_ms,
    read_versions,
)

ORDER_MODES = {
    RunningWork.CARRY: "retain",
    RunningWork.FINISH: "wait",
    RunningWork.INTERRUPT: "preempt",
}
"""How a server treats requests that run under the old version while it loads the new one."""
LOAD_VALUE_COUNTS = (3, 4)
"""Number of values in a server's load header: running, waiting, slots and, optionally, the current
service time in per cent of the usual one."""
LOAD_VALUE = re.compile(r"[0-9]{1,6}")
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


def read_int_header(headers: Mapping[str, str], name: bytes) -> int | None:
    """Returns a header's value as an integer; None if it is missing or not an integer."""
    text = headers.get(name.decode())
    return int(text) if text is not None and text.isdigit() else None


def read_keep_alive(headers: Mapping[str, str]) -> float | None:
    """Returns the server's keep-alive timeout in seconds; None if it announces none."""
    found = KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
    return float(found[1]) if found is not None else None


def read_cold_seconds(headers: Mapping[str, str]) -> float | None:
    """Returns the seconds for which a server stays cold; None if it does not report them."""
    cold_ms = read_int_header(headers, names.COLD_MS)
    return cold_ms / 1000 if cold_ms is not None else None


def read_load(headers: Mapping[str, str]) -> ServerLoad | None:
    """Returns a server's load; None if the header is missing or malformed."""
    parts = [part.strip() for part in headers.get(names.INSTANCE_LOAD.decode(), "").split(",")]
    if len(parts) not in LOAD_VALUE_COUNTS or not all(LOAD_VALUE.fullmatch(part) for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    per_cent = int(parts[3]) if len(parts) > 3 else 0
    return ServerLoad(running, waiting, slots, per_cent / 100 if per_cent else None)


def read_report(content: bytes) -> EngineReport:
    """Parses an engine's report.

    Raises:
        ValueError: the report is invalid.
    """
    document = read_json_object(content)
    busy = document.get("busy")
    if not isinstance(busy, bool):
        raise ValueError(f"busy is {busy!r}, but must be true or false")
    return EngineReport(
        orders=read_int(document, "seq"),  # the number of orders, not of reports
        busy=busy,
        running=read_int(document, "running") if "running" in document else 0,
        waiting=read_int(document, "waiting") if "waiting" in document else 0,
        versions=read_versions(document),
        started_at_ms=read_start_ms(document),
    )


def order_document(order: VersionOrder) -> dict[str, object]:
    """Returns the document of an order."""
    return {
        "op": "version",
        "model": order.model,
        "version": order.version,
        "mode": ORDER_MODES[order.running_work],
        "holder": order.holder,
        "fence": order.fencing_token,
        "expected": order.expected_orders,  # the number of orders that the engine reported
    }
