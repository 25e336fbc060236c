"""Reports that daemons exchange with their heartbeats, in addition to instance usage."""

from dataclasses import dataclass, field
from typing import NamedTuple

from larkpost.common.ids import BatchId, InstanceId
from larkpost.gateway.blackboard.configuration import ServiceName


class FlowGroup(NamedTuple):
    """The flows that share the slots of one service at one priority.

    Attributes:
        priority: priority of the requests; 0 is the most urgent.
    """

    service: ServiceName
    priority: int


class Flow(NamedTuple):
    """The requests of one tenant in a group; without tenants, of one route.

    Attributes:
        name: the tenant's name, or `route_flow_name` of the route.
    """

    group: FlowGroup
    name: str


def route_flow_name(route: str) -> str:
    """Returns the flow name of a route's requests that have no tenant."""
    return f"route/{route}"


class FlowUsage(NamedTuple):
    """One daemon's current number of requests of a flow.

    Attributes:
        running: requests at servers.
        waiting: requests that wait for a slot.
    """

    running: int
    waiting: int


class BatchProgress(NamedTuple):
    """Progress of a batch, as reported by its owner.

    Attributes:
        waiting: items that wait for a slot at an engine.
        work: expected tokens that are left in all items.
        p90_item_work: 90th percentile of the expected tokens that are left in an item.
    """

    waiting: int
    work: int
    p90_item_work: int


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """The report of one daemon; everything that it omits is unknown.

    Attributes:
        paces: long-term service time of each instance, in seconds per unit of work and without
            short slowdowns; only values that the daemon measured itself.
        tenants: usage of its largest flows at services that lack slots; bounded in number.
        capacity: relative capacity of its machine for work besides client requests; None if
            unknown.
        batches: progress of the batches that it owns; bounded in number.
    """

    paces: dict[InstanceId, float] = field(default_factory=dict)
    tenants: dict[Flow, FlowUsage] = field(default_factory=dict)
    capacity: float | None = None
    batches: dict[BatchId, BatchProgress] = field(default_factory=dict)
