"""Builds the rows that the operator, the trainers and the servers write."""

from dataclasses import dataclass
from typing import Any

import orjson

from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName, ServiceName
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.store.port import RowKey, Transaction
from larkpost.platform import names

HOST = "users.example"
TRAINING = TenantName("training")
READING = TenantName("reading")
TENANTS = (TRAINING, READING)
"""The tenants that submit batches and that request pages."""
BATCH_PREFIX = "/rollouts/"
PAGE_PREFIX = "/pages/"
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 33554432,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
"""The daemons' limits on requests and connections."""


@dataclass(frozen=True, slots=True)
class StandInServer:
    """The entry of a server.

    Attributes:
        versions: weight version of each model; empty if the server is not an engine.
    """

    id: InstanceId
    service: ServiceName
    address: Address
    zone: ZoneId
    slots: int
    versions: dict[ModelName, int]
    leaving: bool = False


def tenant_api_key(tenant: TenantName, version: int) -> str:
    """Returns the API key that a version of the configuration introduces for a tenant.

    The key is valid in that version and the next one.
    """
    return f"key-of-{tenant}-{version}"


def configuration_transaction(
    version: int,
    engines: ServiceName,
    pages: ServiceName,
    slots: int,
    models: tuple[ModelName, ...],
) -> Transaction:
    """Returns the transaction that writes a configuration with one route for each service."""
    document = {
        "version": version,
        "routes": [_rollout_route(engines), _page_route(pages)],
        "services": [
            {
                "name": engines,
                "health-path": "/health",
                "max-conns": 170,
                "engine": {"slots": slots, "models": [{"name": model} for model in models]},
            },
            {"name": pages, "health-path": "/health", "max-conns": 100},
        ],
        "tenants": [
            {
                "name": tenant,
                "api-keys": [tenant_api_key(tenant, version), tenant_api_key(tenant, version - 1)],
            }
            for tenant in TENANTS
        ],
        "limits": LIMITS,
    }
    key = RowKey(names.OPERATOR_TABLE, "", names.CONFIGURATION_KEY)
    return Transaction(puts=((key, orjson.dumps(document)),))


def _rollout_route(engines: ServiceName) -> dict[str, Any]:
    """Returns the route of the batches."""
    return {
        "name": "rollouts",
        "host": HOST,
        "path-prefix": BATCH_PREFIX,
        "kind": "rollout",
        "timeout-ms": 10000,
        "target-ms": 400,
        "priority": 1,
        "service": engines,
        "max-attempts": 3,
        "queue-ttl-s": 40.0,
        "result-due-ms": 7500,
        "resumable": True,
    }


def _page_route(pages: ServiceName) -> dict[str, Any]:
    """Returns the route of the clients' requests."""
    return {
        "name": "pages",
        "host": HOST,
        "path-prefix": PAGE_PREFIX,
        "kind": "idempotent",
        "timeout-ms": 1500,
        "target-ms": 192,
        "priority": 2,
        "service": pages,
        "max-attempts": 2,
    }


def version_transaction(model: ModelName, version: int) -> Transaction:
    """Returns the transaction by which a trainer publishes a weight version."""
    key = RowKey(names.OPERATOR_TABLE, "", f"{names.VERSION_KEY_PREFIX}{model}")
    value = orjson.dumps({"model": model, "version": version})
    return Transaction(puts=((key, value),))


def evacuation_transaction(zone: ZoneId, *, is_on: bool) -> Transaction:
    """Returns the transaction that starts or ends the evacuation of a zone."""
    key = RowKey(names.OPERATOR_TABLE, "", f"{names.EVACUATION_KEY_PREFIX}{zone}")
    return Transaction(puts=((key, b"{}"),)) if is_on else Transaction(removals=(key,))


def server_transaction(server: StandInServer) -> Transaction:
    """Returns the transaction by which a server writes its own entry."""
    document = {
        "service": server.service,
        "address": server.address,
        "zone": server.zone,
        "version": "1",
        "slots": server.slots,
        "state": "draining" if server.leaving else "ready",
        "cold-left-ms": 0,
        "seq": 0,
        "models": [
            {"name": model, "version": version} for model, version in server.versions.items()
        ],
    }
    key = RowKey(names.SERVER_TABLE, "", server.id)
    return Transaction(puts=((key, orjson.dumps(document)),))
