"""Dependencies of batch runs on the rest of the daemon."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import ConfigurationState
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.controllers.engine_allocator import EngineAllocator
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.placement.cold_rate_limit import ColdRateLimit
from larkpost.gateway.proxy.balancer import Balancer
from larkpost.gateway.proxy.service_selection import ServiceSelector
from larkpost.gateway.servers.port import ServerPort


@dataclass(slots=True)
class RunServices:
    """Services of the daemon that batch runs use.

    Attributes:
        store_time: returns the store's clock in seconds; None if unknown.
        store_time_error: returns the maximum error of `store_time` in seconds.
        allocator: knows which engines are assigned to each model.
        cold_rate_limit: limits the requests sent to cold engines; None for no limit.
        reward_call_slots: limits the reward calls that the daemon has in flight.
    """

    configuration: ConfigurationState
    directory: InstanceDirectory
    balancer: Balancer
    servers: ServerPort
    clock: Clock
    log: EventLog
    metrics: Metrics
    service_selector: ServiceSelector
    store_time: Callable[[], float | None]
    store_time_error: Callable[[], float]
    reward_call_slots: asyncio.Semaphore
    allocator: EngineAllocator
    cold_rate_limit: ColdRateLimit | None = None
