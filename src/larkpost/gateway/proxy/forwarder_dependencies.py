"""What the forwarding of client requests relies on."""

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
    """Returns a route's own priority, whoever the tenant is."""
    return route.priority


@dataclass(frozen=True, slots=True)
class ForwarderDependencies:
    """The parts of a daemon that a forwarder works with.

    Attributes:
        shares: choose the service for a route's next request.
        usage: counts runs for tenants; None if nothing is counted.
        priority_of: returns how urgent a request is, 0 the most.
        crashes: the servers that have crashed, and under which requests.
        trials: lets a quarantined request run once more; None if nothing does.
        ledger: use by tenant in the fleet; None for that of this daemon alone.
        chance: spreads what all daemons would else do alike.
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
