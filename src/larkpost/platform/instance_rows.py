"""Parses the entries that servers write into the store, and fields of their reports.

Entries are validated strictly: a missing field, a wrong type, a value out of bounds or an unknown
state rejects the whole entry. Unknown fields are ignored.
"""

import ipaddress
import math
from collections.abc import Mapping
from typing import Any

import orjson

from larkpost.common.addresses import split_address
from larkpost.common.ids import Address, InstanceName, ZoneId
from larkpost.common.incarnations import instance_id
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.store.port import Row
from larkpost.platform.operator import UnreadableRowError

STATES = {"ready": InstanceState.READY, "draining": InstanceState.LEAVING}
MAX_SLOTS = 65_535
"""Each request uses its own connection, and a caller can have at most this many to one port."""
MAX_COLD_MS = 86_400_000
"""One day."""
MAX_SAFE_INTEGER = 2**53
"""Largest integer that JSON implementations with double-precision numbers represent exactly."""


def read_instance(row: Row) -> InstanceInfo:
    """Returns the instance in a row of the servers' table.

    Raises:
        UnreadableRowError: the entry is invalid; the message names the field.
    """
    try:
        return _read_entry(row)
    except ValueError as error:
        raise UnreadableRowError(f"server {row.key.key}: {error}") from None


def _read_entry(row: Row) -> InstanceInfo:
    document = read_json_object(row.value)
    _text(document, "version")  # the software release; validated but not used
    read_int(document, "seq")  # the number of writes; validated but not used
    return InstanceInfo(
        id=instance_id(InstanceName(row.key.key), read_start_ms(document)),
        service=ServiceName(_text(document, "service")),
        address=_address(document),
        zone=ZoneId(_text(document, "zone")),
        slots=read_int(document, "slots", minimum=1, maximum=MAX_SLOTS),
        state=_state(document),
        versions=read_versions(document),
        listed_version=row.version,
        is_preemptible=_boolean(document, "preemptible"),
        cold_left=_cold_milliseconds(document) / 1000,
    )


def read_json_object(content: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    Raises:
        ValueError: the content is not JSON or not an object.
    """
    document = orjson.loads(content)
    if not isinstance(document, dict):
        raise ValueError("not a JSON object")
    return document


def read_versions(document: Mapping[str, Any]) -> dict[ModelName, int]:
    """Returns the weight version of each model named in a server's entry or report.

    Raises:
        ValueError: the list of models is malformed.
    """
    models = document.get("models", [])
    if not isinstance(models, list) or not all(isinstance(model, dict) for model in models):
        raise ValueError("models is not a list of objects")
    return {ModelName(_text(model, "name")): read_int(model, "version") for model in models}


def read_start_ms(document: Mapping[str, Any]) -> int | None:
    """Returns a server's start time in Unix milliseconds; None if it is not given.

    Raises:
        ValueError: it is not an integer.
    """
    return read_int(document, "born") if "born" in document else None


def read_int(
    document: Mapping[str, Any], name: str, *, minimum: int = 0, maximum: int = MAX_SAFE_INTEGER
) -> int:
    """Returns an integer field.

    Raises:
        ValueError: the field is missing, not an integer, or out of bounds.
    """
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ValueError(f"{name} is {value!r}, but must be an integer from {minimum} to {maximum}")
    return value


def _cold_milliseconds(document: Mapping[str, Any]) -> float:
    value = document.get("cold-left-ms")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or not 0 <= value <= MAX_COLD_MS:
        raise ValueError(
            f"cold-left-ms is {value!r}, but must be a number of milliseconds from 0 to "
            f"{MAX_COLD_MS}"
        )
    return float(value)


def _text(document: Mapping[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is {value!r}, but must be a non-empty string")
    return value


def _boolean(document: Mapping[str, Any], name: str) -> bool:
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is {value!r}, but must be true or false")
    return value


def _address(document: Mapping[str, Any]) -> Address:
    value = _text(document, "address")
    host, _ = split_address(value)
    ipaddress.ip_address(host)
    return Address(value)


def _state(document: Mapping[str, Any]) -> InstanceState:
    value = _text(document, "state")
    if value not in STATES:
        raise ValueError(f"state is {value!r}, but must be one of {', '.join(STATES)}")
    return STATES[value]
