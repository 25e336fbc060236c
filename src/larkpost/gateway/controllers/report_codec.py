"""Encodes and decodes a daemon's report in its heartbeat row.

Empty fields are omitted. Fields in an unknown format, perhaps of a later version, count as missing.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from larkpost.common.ids import BatchId, InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.daemon_report import (
    BatchProgress,
    DaemonReport,
    Flow,
    FlowGroup,
    FlowUsage,
)

PACES_FIELD = "paces"
TENANTS_FIELD = "tenants"
CAPACITY_FIELD = "capacity"
BATCHES_FIELD = "batches"
TENANT_ROW_LENGTH = 5
"""A flow's use is written as service, priority, name, running requests, waiting requests."""
_Value = TypeVar("_Value")


def report_fields(report: DaemonReport) -> dict[str, object]:
    """Returns the fields that a report adds to a heartbeat row."""
    fields: dict[str, object] = {}
    if report.paces:
        fields[PACES_FIELD] = report.paces
    if report.tenants:
        fields[TENANTS_FIELD] = [
            (*flow.group, flow.name, *use) for flow, use in report.tenants.items()
        ]
    if report.capacity is not None:
        fields[CAPACITY_FIELD] = report.capacity
    if report.batches:
        fields[BATCHES_FIELD] = {name: list(entry) for name, entry in report.batches.items()}
    return fields


def read_report(document: Mapping[str, Any]) -> DaemonReport:
    """Returns the report in a heartbeat row; missing or unreadable fields stay empty."""
    paces = _read_table(document.get(PACES_FIELD), read_number)
    batches = _read_table(document.get(BATCHES_FIELD), _read_batch_progress)
    return DaemonReport(
        {InstanceId(name): service_time for name, service_time in paces.items()},
        _read_tenants(document.get(TENANTS_FIELD)),
        read_number(document.get(CAPACITY_FIELD)),
        {BatchId(name): progress for name, progress in batches.items()},
    )


def _read_table(value: Any, read: Callable[[Any], _Value | None]) -> dict[str, _Value]:
    """Returns the readable entries of a table."""
    if not isinstance(value, dict):
        return {}
    entries = ((name, read(entry)) for name, entry in value.items())
    return {name: entry for name, entry in entries if entry is not None}


def _read_tenants(value: Any) -> dict[Flow, FlowUsage]:
    """Returns the readable uses by flow."""
    if not isinstance(value, list):
        return {}
    rows = (row for row in value if isinstance(row, list) and len(row) == TENANT_ROW_LENGTH)
    return {
        Flow(FlowGroup(ServiceName(service), priority), name): FlowUsage(running, waiting)
        for service, priority, name, running, waiting in rows
        if isinstance(service, str) and isinstance(name, str)
        if all(map(is_whole, (priority, running, waiting)))
    }


def _read_batch_progress(value: Any) -> BatchProgress | None:
    if not isinstance(value, list) or len(value) != len(BatchProgress._fields):
        return None
    return BatchProgress(*value) if all(is_whole(number) for number in value) else None


def read_number(value: Any) -> float | None:
    """Returns a number that is not negative; None for anything else."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and value >= 0 else None


def is_whole(value: Any) -> bool:
    """Returns whether a value is an integer that is not negative."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0
