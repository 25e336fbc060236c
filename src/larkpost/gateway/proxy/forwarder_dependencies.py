"""The dependencies of the forwarder of client requests."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.known_crashes import KnownCrashes
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.quarantine.trial_claims import TrialClaims
from larkpost.gateway.servers.port import ServerPort
from larkpost.gateway.usage.counter import UsageCounter

PriorityOf = Callable[[TenantName | None, Route], int]


def route_priority(_: TenantName | None, route: Route) -> int:
    """Returns the priority of a route, for any tenant."""
    return route.priority


@dataclass(frozen=True, slots=True)
class ForwarderDependencies:
    """The components of a daemon that a forwarder uses.

    Attributes:
        service_selector: selects the service for a route's next request.
        usage: counts runs for tenants; None to count nothing.
        priority_of: returns the priority of a request; 0 is the most urgent.
        crashes: the servers that crashed, and the requests that they were running.
        trials: grants trial runs to quarantined requests; None for no trials.
        ledger: use by flow in the fleet; None to count this daemon only.
        rng: random generator that spreads actions which all daemons would otherwise take alike.
    """

    directory: InstanceDirectory
    balancer: Balancer
    servers: ServerPort
    clock: Clock
    log: EventLog
    metrics: Metrics
    service_selector: ServiceSelector
    usage: UsageCounter | None = None
    priority_of: PriorityOf = route_priority
    crashes: KnownCrashes = field(default_factory=KnownCrashes)
    trials: TrialClaims | None = None
    ledger: FlowLedger | None = None
    rng: random.Random = field(default_factory=lambda: random.Random(0))
