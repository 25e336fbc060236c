"""What daemons report to each other with their heartbeats, beside their use of instances."""

from dataclasses import dataclass, field
from typing import NamedTuple

from larkpost.common.ids import BatchId, InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName


class FlowGroup(NamedTuple):
    """The requests that compete for the same places as equals.

    Attributes:
        priority: of the requests, 0 the most urgent.
    """

    service: ServiceName
    priority: int


class Flow(NamedTuple):
    """The requests of one tenant in a group; without tenants, those of one route.

    Attributes:
        name: the tenant's, or what `route_flow_name` makes of a route's.
    """

    group: FlowGroup
    name: str


def route_flow_name(route: str) -> str:
    """Returns the name of the flow of a route's callers that are no tenant's."""
    return f"route/{route}"


class FlowUsage(NamedTuple):
    """What one daemon holds for one tenant, or another flow, at a moment.

    Attributes:
        running: its requests at servers.
        waiting: its requests that wait for a place.
    """

    running: int
    waiting: int


class BatchProgress(NamedTuple):
    """How far a batch is, as its owner knows it at a moment.

    Attributes:
        waiting: items that wait for a place at an engine.
        work: tokens that its items are expected to take yet.
        long_item: tokens that one of the longer items is expected to take yet; nine in ten take
            no more.
    """

    waiting: int
    work: int
    p90_item_work: int


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """What one daemon reports; what it does not say is unknown.

    Attributes:
        paces: seconds that a unit of work lastingly takes at instances, short bursts of slowness
            left out, as far as it has learnt that itself.
        tenants: use by its flows with the greatest use, of bounded number, at services that lack
            places.
        capacity: what its machine can bear beside clients, without unit; None if not known.
        batches: progress of the batches that it owns, of bounded number.
    """

    paces: dict[InstanceId, float] = field(default_factory=dict)
    tenants: dict[Flow, FlowUsage] = field(default_factory=dict)
    capacity: float | None = None
    batches: dict[BatchId, BatchProgress] = field(default_factory=dict)
