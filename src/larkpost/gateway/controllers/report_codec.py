"""The fields of a heartbeat's row that hold a daemon's report.

Fields that hold nothing are left out. What another daemon wrote in another form counts as not said:
it may be of a later version.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from larkpost.common.ids import BatchId, InstanceId
from larkpost.gateway.blackboard.daemon_report import BatchProgress, DaemonReport, TenantUse
from larkpost.gateway.blackboard.tenants import TenantName

PACES_FIELD = "paces"
TENANTS_FIELD = "tenants"
CAPACITY_FIELD = "capacity"
BATCHES_FIELD = "batches"
_Value = TypeVar("_Value")


def report_fields(report: DaemonReport) -> dict[str, object]:
    """Returns the fields that a report adds to a heartbeat's row."""
    fields: dict[str, object] = {}
    if report.paces:
        fields[PACES_FIELD] = report.paces
    if report.tenants:
        fields[TENANTS_FIELD] = {name: list(use) for name, use in report.tenants.items()}
    if report.capacity is not None:
        fields[CAPACITY_FIELD] = report.capacity
    if report.batches:
        fields[BATCHES_FIELD] = {name: list(entry) for name, entry in report.batches.items()}
    return fields


def read_report(document: Mapping[str, Any]) -> DaemonReport:
    """Returns the report in a heartbeat's row; what is missing or unreadable is not said."""
    paces = _read_table(document.get(PACES_FIELD), _read_number)
    tenants = _read_table(document.get(TENANTS_FIELD), _read_tenant_use)
    batches = _read_table(document.get(BATCHES_FIELD), _read_batch_progress)
    return DaemonReport(
        {InstanceId(name): pace for name, pace in paces.items()},
        {TenantName(name): use for name, use in tenants.items()},
        _read_number(document.get(CAPACITY_FIELD)),
        {BatchId(name): progress for name, progress in batches.items()},
    )


def _read_table(value: Any, read: Callable[[Any], _Value | None]) -> dict[str, _Value]:
    """Returns the entries of a table that can be read."""
    if not isinstance(value, dict):
        return {}
    entries = ((name, read(entry)) for name, entry in value.items())
    return {name: entry for name, entry in entries if entry is not None}


def _read_tenant_use(value: Any) -> TenantUse | None:
    if not isinstance(value, list) or len(value) != len(TenantUse._fields):
        return None
    running, waiting = value
    return TenantUse(running, waiting) if _is_whole(running) and _is_whole(waiting) else None


def _read_batch_progress(value: Any) -> BatchProgress | None:
    if not isinstance(value, list) or len(value) != len(BatchProgress._fields):
        return None
    return BatchProgress(*value) if all(_is_whole(figure) for figure in value) else None


def _read_number(value: Any) -> float | None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and value >= 0 else None


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0
