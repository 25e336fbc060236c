"""Reads what servers write of themselves into the store, and their reports.

An entry may come from another writer. Whatever is missing, of another type, out of bounds or not
among the agreed words makes it no server at all; what else it says is not used either.
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
"""A server serves each request on a connection of its own, and a port has no more of them to one
caller."""
MAX_COLD_MS = 86_400_000
"""One day."""
MAX_SAFE_INTEGER = 2**53
"""The largest whole number that all JSON writers keep exactly."""


def read_instance(row: Row) -> InstanceInfo:
    """Returns the instance in a row of the servers' table.

    Raises:
        UnreadableRowError: the row holds no server's entry; the message names the field.
    """
    try:
        return _read_entry(row)
    except ValueError as error:
        raise UnreadableRowError(f"server {row.key.key}: {error}") from None


def _read_entry(row: Row) -> InstanceInfo:
    document = read_json_object(row.value)
    _text(document, "version")  # the release of its software, which nothing depends on
    read_int(document, "seq")  # counts its writes, and is checked only as all of the entry is
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
    """Returns the table that a text of JSON holds.

    Raises:
        ValueError: it is not JSON, or holds something else.
    """
    document = orjson.loads(content)
    if not isinstance(document, dict):
        raise ValueError("no table of fields")
    return document


def read_versions(document: Mapping[str, Any]) -> dict[ModelName, int]:
    """Returns the weight version of each model named in a server's entry or report.

    Raises:
        ValueError: the models are not in the agreed form.
    """
    models = document.get("models", [])
    if not isinstance(models, list) or not all(isinstance(model, dict) for model in models):
        raise ValueError("models is no list of tables")
    return {ModelName(_text(model, "name")): read_int(model, "version") for model in models}


def read_start_ms(document: Mapping[str, Any]) -> int | None:
    """Returns the Unix millisecond of a server's start; None if it does not say it.

    Raises:
        ValueError: it is no whole number.
    """
    return read_int(document, "born") if "born" in document else None


def read_int(
    document: Mapping[str, Any], name: str, *, minimum: int = 0, maximum: int = MAX_SAFE_INTEGER
) -> int:
    """Returns a field that is a whole number within bounds.

    Raises:
        ValueError: it is missing, or something else.
    """
    value = document.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ValueError(f"{name} is {value!r}, not a whole number from {minimum} to {maximum}")
    return value


def _cold_milliseconds(document: Mapping[str, Any]) -> float:
    value = document.get("cold-left-ms")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or not 0 <= value <= MAX_COLD_MS:
        raise ValueError(f"cold-left-ms is {value!r}, not milliseconds from 0 to {MAX_COLD_MS}")
    return float(value)


def _text(document: Mapping[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is {value!r}, not a text")
    return value


def _boolean(document: Mapping[str, Any], name: str) -> bool:
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is {value!r}, not true or false")
    return value


def _address(document: Mapping[str, Any]) -> Address:
    value = _text(document, "address")
    host, _ = split_address(value)
    ipaddress.ip_address(host)
    return Address(value)


def _state(document: Mapping[str, Any]) -> InstanceState:
    value = _text(document, "state")
    if value not in STATES:
        raise ValueError(f"state is {value!r}, not one of {', '.join(STATES)}")
    return STATES[value]
