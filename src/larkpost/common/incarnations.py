"""Tells the incarnations of a server apart, which may start again under the name that it had.

An id is a server's name and the time of its start, so whatever is remembered by an id ends with the
incarnation: nothing that was learnt of an earlier one is ever taken for the new one's. A server
that does not say when it started is known by its name alone.
"""

from larkpost.common.ids import InstanceId, InstanceName

START_TIME_SEPARATOR = "@"


def instance_id(name: InstanceName, started_at_ms: int | None) -> InstanceId:
    """Returns the id of an incarnation.

    Args:
        born: Unix millisecond of its start; None if it does not say it.
    """
    if started_at_ms is not None:
        return InstanceId(f"{name}{START_TIME_SEPARATOR}{started_at_ms}")
    is_ambiguous = START_TIME_SEPARATOR in name
    return InstanceId(f"{name}{START_TIME_SEPARATOR}" if is_ambiguous else name)


def split_instance_id(instance: InstanceId) -> tuple[InstanceName, int | None]:
    """Returns a server's name and the Unix millisecond of its start; None if it does not say it."""
    name, separator, started_at_ms = instance.rpartition(START_TIME_SEPARATOR)
    if not separator:
        return InstanceName(instance), None
    return InstanceName(name), int(started_at_ms) if started_at_ms else None
