"""Ids that distinguish the incarnations of a server that restarts under the same name.

An instance id consists of the server's name and its start time, so state stored under an id never
applies to a later incarnation. The id of a server that does not report its start time is its name.
"""

from larkpost.common.ids import InstanceId, InstanceName

START_TIME_SEPARATOR = "@"


def instance_id(name: InstanceName, started_at_ms: int | None) -> InstanceId:
    """Returns the id of an incarnation.

    Args:
        name: the server's name.
        started_at_ms: Unix time of its start in milliseconds; None if it does not report it.
    """
    if started_at_ms is not None:
        return InstanceId(f"{name}{START_TIME_SEPARATOR}{started_at_ms}")
    is_ambiguous = START_TIME_SEPARATOR in name
    return InstanceId(f"{name}{START_TIME_SEPARATOR}" if is_ambiguous else name)


def split_instance_id(instance: InstanceId) -> tuple[InstanceName, int | None]:
    """Returns a server's name and its start time in Unix milliseconds, None if not reported."""
    name, separator, started_at_ms = instance.rpartition(START_TIME_SEPARATOR)
    if not separator:
        return InstanceName(instance), None
    return InstanceName(name), int(started_at_ms) if started_at_ms else None
