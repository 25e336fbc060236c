"""Parses the rows that the operator and the trainers write into the operator's table.

The keys are in `larkpost.platform.names`; the parts of a configuration are parsed in
`larkpost.platform.configuration_document`.
"""

import orjson

from larkpost.common.ids import ZoneId
from larkpost.gateway.blackboard.configuration import Configuration, ModelName
from larkpost.gateway.blackboard.evacuations import ZoneEvacuation
from larkpost.gateway.blackboard.weight_targets import WeightTarget
from larkpost.gateway.store.port import Row
from larkpost.platform import names
from larkpost.platform.configuration_document import (
    read_limits,
    read_route,
    read_service,
    read_tenants,
)

PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
"""Errors that parsing a malformed document raises."""


class UnreadableRowError(ValueError):
    """A row is malformed; it is skipped and counted."""


def read_configuration(row: Row) -> Configuration | None:
    """Parses a configuration row; returns None for a row of another kind or a removed one.

    Raises:
        UnreadableRowError: the document cannot be parsed.
    """
    if row.key.key != names.CONFIGURATION_KEY or row.removed:
        return None
    try:
        document = orjson.loads(row.value)
        services = [read_service(entry) for entry in document.get("services", ())]
        return Configuration(
            version=int(document["version"]),
            routes=tuple(read_route(entry) for entry in document["routes"]),
            services={service.name: service for service in services},
            limits=read_limits(document.get("limits") or {}),
            tenants=read_tenants(document.get("tenants")),
        )
    except PARSE_ERRORS as error:
        raise UnreadableRowError(f"configuration: {error!r}") from None


def read_weight_target(row: Row) -> WeightTarget | None:
    """Parses a weight version row; returns None for a row of another kind or a removed one.

    Raises:
        UnreadableRowError: the document cannot be parsed.
    """
    if not row.key.key.startswith(names.VERSION_KEY_PREFIX) or row.removed:
        return None
    try:
        document = orjson.loads(row.value)
        return WeightTarget(ModelName(document["model"]), int(document["version"]))
    except PARSE_ERRORS as error:
        raise UnreadableRowError(f"weight version: {error!r}") from None


def read_evacuation(row: Row) -> ZoneEvacuation | None:
    """Parses an evacuation row; returns None for a row of another kind.

    The evacuation is on as long as the row exists, whatever its value.

    Raises:
        UnreadableRowError: the row names no zone.
    """
    if not row.key.key.startswith(names.EVACUATION_KEY_PREFIX):
        return None
    zone = row.key.key.removeprefix(names.EVACUATION_KEY_PREFIX)
    if not zone:
        raise UnreadableRowError("evacuation: the row names no zone")
    return ZoneEvacuation(ZoneId(zone), is_on=not row.removed)
