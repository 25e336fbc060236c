"""What a daemon is given: its settings, and the ports to everything outside it."""

import random
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.common.ids import Address
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.row_recorder import RowReaders
from larkpost.gateway.memory.sizing import byte_budget_for
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.scaling.port import ScalingMode, ScalingPort
from larkpost.gateway.servers.port import ServerPort
from larkpost.gateway.store.port import Store
from larkpost.gateway.store.relay import RelayedStore
from larkpost.gateway.usage.port import UsagePort, UsageTerms


@dataclass(slots=True)
class GatewaySettings:
    """What a daemon needs to know of its surroundings; durations in seconds.

    Attributes:
        machine: name of the machine, for logs.
        contact_time: time without a fault after which what the store says is believed.
        lease_time: time after a holder's last order before another holder may order.
        apply_time: time within which a new configuration is to be in force everywhere.
        grace_time: time between the request to stop and the kill.
        batch_lifetime: time for which a batch must be readable.
        peer_address: where it makes calls to the store for other daemons, or None.
        scaling_mode: whether lost servers are ordered anew where they can be ordered.
        usage: what is agreed about usage reports; None if there are none.
        regions: where the deployment's zones lie, seen from this daemon's.
        cold: what is agreed about cold instances; None if they have no limits.
        memory_bytes: the most memory that the daemon may use; None if there is no limit.
        cores: what it may use of a processor, in ordinary cores; None if that is not said.
    """

    machine: str
    contact_time: float = 3.0
    lease_time: float = 3.0
    apply_time: float = 2.0
    grace_time: float = 8.0
    batch_lifetime: float = 120.0
    peer_address: Address | None = None
    scaling_mode: ScalingMode = ScalingMode.ANNOUNCE
    usage: UsageTerms | None = None
    regions: RegionMap = field(default_factory=RegionMap)
    cold: ColdTerms | None = None
    memory_bytes: int | None = None
    cores: float | None = None

    @property
    def byte_budget(self) -> int | None:
        """The most bytes that the daemon may hold for others; None if there is no limit."""
        return byte_budget_for(self.memory_bytes)


@dataclass(slots=True)
class GatewayPorts:
    """Everything outside the daemon.

    Attributes:
        relay: the store itself, if it can be reached by way of peers.
        usage: takes usage reports; None if nobody does.
        scaling: takes orders of servers; None if nobody does.
    """

    store: Store
    servers: ServerPort
    clock: Clock
    readers: RowReaders
    log: EventLog
    metrics: Metrics = field(default_factory=Metrics)
    relay: RelayedStore | None = None
    usage: UsagePort | None = None
    scaling: ScalingPort | None = None
    rng: random.Random = field(default_factory=random.Random)
