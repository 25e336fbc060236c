"""Heartbeats: the content of a daemon's row in the store, and the ids of daemons."""

import math
import secrets
from dataclasses import dataclass, field
from typing import Any

import orjson

from larkpost.common.ids import Address, DaemonId, InstanceName, ZoneId
from larkpost.common.incarnations import instance_id, split_instance_id
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.blackboard.instance_usage import InstanceUsage
from larkpost.gateway.controllers.report_codec import (
    is_whole,
    read_number,
    read_report,
    report_fields,
)

INCARNATION_SEPARATOR = "/"
"""Separates the machine name from the incarnation in daemon ids; part of the keys of stored
rows."""
USE_LENGTH = 2
"""An instance's use is written as number of requests, service time in seconds."""
MAX_INTERVAL_SECONDS = 600.0
"""Longest interval that a row may name, far above those of daemons: one that is silent for some
intervals is considered dead, so a row with a longer one would count as alive for good."""


def new_incarnation(machine: str) -> DaemonId:
    """Returns the id of a new incarnation of a machine's daemon."""
    return DaemonId(f"{machine}{INCARNATION_SEPARATOR}{secrets.token_hex(4)}")


def machine_of(daemon: DaemonId) -> str:
    """Returns the machine that a daemon runs on."""
    return daemon.rpartition(INCARNATION_SEPARATOR)[0]


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The content of a daemon's row.

    Attributes:
        interval: seconds until its next heartbeat.
        uses: its use of instances, as reported to the others.
        address: where it relays store calls for daemons that the store rejects, or None.
        coordinates: whether it is a coordinator.
        leaving: whether this is its last heartbeat.
        clock_offset: seconds by which its time of day is ahead of the store's clock, or None.
        zone: where it runs; None in rows of earlier versions.
        report: what else it reports to the others; empty in rows of earlier versions.
    """

    interval: float
    uses: InstanceUsage = field(default_factory=dict)
    address: Address | None = None
    coordinates: bool = False
    leaving: bool = False
    clock_offset: float | None = None
    zone: ZoneId | None = None
    report: DaemonReport = field(default_factory=DaemonReport)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Returns a heartbeat as a row's value; empty fields are omitted."""
    fields: dict[str, object] = {"interval": heartbeat.interval}
    if heartbeat.uses:
        fields.update(_use_fields(heartbeat.uses))
    if heartbeat.address is not None:
        fields["address"] = heartbeat.address
    if heartbeat.coordinates:
        fields["coordinates"] = True
    if heartbeat.leaving:
        fields["leaving"] = True
    if heartbeat.clock_offset is not None:
        fields["clock_offset"] = round(heartbeat.clock_offset, 4)
    if heartbeat.zone is not None:
        fields["zone"] = heartbeat.zone
    fields.update(report_fields(heartbeat.report))
    return orjson.dumps(fields)


def decode_heartbeat(value: bytes) -> Heartbeat:
    """Parses a row's value.

    Raises:
        ValueError: the value is not a heartbeat. Other fields than the interval count as missing
            if their format is unknown, perhaps that of a later version.
    """
    document = orjson.loads(value)
    if not isinstance(document, dict):
        raise ValueError("row is not a heartbeat: it is no JSON object")
    address, zone = document.get("address"), document.get("zone")
    return Heartbeat(
        _read_interval(document),
        _read_uses(document),
        Address(address) if address and isinstance(address, str) else None,
        document.get("coordinates") is True,
        document.get("leaving") is True,
        _read_offset(document.get("clock_offset")),
        ZoneId(zone) if zone and isinstance(zone, str) else None,
        read_report(document),
    )


def _read_interval(document: dict[str, Any]) -> float:
    interval = read_number(document.get("interval"))
    if interval is None or not 0.0 < interval <= MAX_INTERVAL_SECONDS:
        raise ValueError(
            f"row is not a heartbeat: interval is {document.get('interval')!r}, but must be a "
            f"number of seconds up to {MAX_INTERVAL_SECONDS:g}"
        )
    return interval


def _read_offset(value: Any) -> float | None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and math.isfinite(value) else None


def _use_fields(uses: InstanceUsage) -> dict[str, object]:
    """Returns the fields of a use summary: uses by name as in earlier versions, and start times."""
    named = {split_instance_id(instance): use for instance, use in uses.items()}
    fields: dict[str, object] = {"uses": {name: use for (name, _), use in named.items()}}
    starts = {name: started_at_ms for name, started_at_ms in named if started_at_ms is not None}
    if starts:
        fields["born"] = starts
    return fields


def _read_uses(document: dict[str, Any]) -> InstanceUsage:
    """Parses a use summary; without a start time, the instance id is the name alone."""
    uses, starts = document.get("uses"), document.get("born")
    if not isinstance(uses, dict):
        return {}
    start_times = starts if isinstance(starts, dict) else {}
    return {
        instance_id(InstanceName(name), _read_start_ms(start_times.get(name))): use
        for name, use in uses.items()
        if _is_use(use)
    }


def _is_use(value: Any) -> bool:
    """Returns whether a value is an instance's number of requests and service time."""
    return (
        isinstance(value, list)
        and len(value) == USE_LENGTH
        and is_whole(value[0])
        and read_number(value[1]) is not None
    )


def _read_start_ms(value: Any) -> int | None:
    return value if is_whole(value) else None
