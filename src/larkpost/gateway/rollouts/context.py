"""The parts of a daemon that batches rely on, passed together."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ConfigurationState
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.known_crashes import KnownCrashes
from larkpost.gateway.controllers.engine_allocator import EngineAllocator
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.placement.cold_rate_limit import ColdRateLimit
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.servers.port import ServerPort


@dataclass(slots=True)
class RunServices:
    """The parts of a daemon that batches use.

    Attributes:
        store_time: returns the store's clock in seconds, or None if it is not known.
        division: knows which engines are a model's own.
        cold: limits what is sent to cold engines; None if nothing does.
        crashes: the servers that have crashed, and under which requests.
        reward_places: bounds the reward calls that the daemon has at servers at once.
    """

    configuration: ConfigurationState
    directory: InstanceDirectory
    balancer: Balancer
    servers: ServerPort
    clock: Clock
    log: EventLog
    metrics: Metrics
    shares: ServiceSelector
    store_time: Callable[[], float | None]
    reward_call_slots: asyncio.Semaphore
    division: EngineAllocator
    cold: ColdRateLimit | None = None
    crashes: KnownCrashes = field(default_factory=KnownCrashes)
