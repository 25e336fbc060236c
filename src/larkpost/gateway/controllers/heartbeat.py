"""Heartbeats: the content of a daemon's row in the store, and the ids of daemons."""

import secrets
from dataclasses import dataclass, field
from typing import Any

import orjson

from larkpost.common.ids import Address, DaemonId, InstanceName, ZoneId
from larkpost.common.incarnations import instance_id, split_instance_id
from larkpost.gateway.blackboard.daemon_report import DaemonReport
from larkpost.gateway.blackboard.instance_usage import InstanceUsage
from larkpost.gateway.controllers.report_codec import read_report, report_fields

INCARNATION_SEPARATOR = "/"
"""Separates the machine name from the incarnation in daemon ids; part of the keys of stored
rows."""


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
        ValueError: the value is not a heartbeat.
    """
    try:
        document = orjson.loads(value)
        address = document.get("address")
        zone = document.get("zone")
        return Heartbeat(
            float(document["interval"]),
            _read_uses(document),
            Address(address) if address else None,
            bool(document.get("coordinates")),
            bool(document.get("leaving")),
            document.get("clock_offset"),
            ZoneId(zone) if zone else None,
            read_report(document),
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"row is not a heartbeat: {error!r}") from None


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
    starts = document.get("born") or {}
    return {
        instance_id(InstanceName(name), starts.get(name)): use
        for name, use in (document.get("uses") or {}).items()
    }
