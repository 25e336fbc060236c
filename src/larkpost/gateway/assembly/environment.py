"""The settings of a daemon, and its interfaces to the outside."""

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
    """Settings of a daemon; durations in seconds.

    Attributes:
        machine: name of the machine, for logs.
        contact_time: time without store errors after which removals in the store are trusted.
        lease_time: time after a holder's last order before another holder may give orders.
        apply_time: time within which a new configuration must be active on all daemons.
        grace_time: time between the stop request and the kill.
        batch_lifetime: time for which a batch must remain readable.
        peer_address: address at which it relays store calls for other daemons, or None.
        scaling_mode: whether lost servers are replaced by new ones, where possible.
        usage: schedule of usage reports; None if usage is not reported.
        regions: regions of the deployment's zones, relative to this daemon.
        cold: limits for cold instances; None for no limits.
        memory_bytes: maximum memory of the process; None for no limit.
        cores: CPU limit in cores; None if unknown.
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
        """Memory budget for buffered requests and batches in bytes; None if unlimited."""
        return byte_budget_for(self.memory_bytes)


@dataclass(slots=True)
class GatewayPorts:
    """Interfaces to everything outside the daemon.

    Attributes:
        relay: the same store, if it can be reached through peers; else None.
        usage: receiver of usage reports; None if there is none.
        scaling: receiver of server orders; None if there is none.
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
