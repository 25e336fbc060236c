"""The network of a simulated fleet, with the platform, daemons and engines by address.

A `World` updates it; the ports of daemons and callers read it.
"""

import asyncio
from dataclasses import dataclass, field

from larkpost.common.ids import Address, PolicyId, ZoneId
from larkpost.rehearsal.engine_model import EngineModel
from larkpost.rehearsal.platform_model import (
    PlatformDownError,
    PlatformModel,
    RateLimitedError,
)
from larkpost.rehearsal.simulation.network import Host, HostUnreachableError, Network
from larkpost.standalone.daemon import Daemon

PLATFORM_ZONE = ZoneId("platform")
PLATFORM_ADDRESS = Address("platform:1")
WEIGHT_FETCH_ATTEMPTS = 10
WEIGHT_FETCH_RETRY_SECONDS = 0.3
WEIGHT_FETCH_TIMEOUT_SECONDS = 5.0
"""Retries of an engine's weight fetch, far longer in total than the platform's rate limit delays
it."""


@dataclass(slots=True)
class DaemonNode:
    """A running daemon and its host."""

    host: Host
    daemon: Daemon
    stopping: bool = False


@dataclass(slots=True)
class EngineNode:
    """A running engine and its host."""

    host: Host
    model: EngineModel


@dataclass(slots=True)
class Fabric:
    """The network, the platform, and the daemons and engines that listen on it."""

    network: Network
    platform: PlatformModel = field(default_factory=PlatformModel)
    platform_host: Host = field(default_factory=lambda: Host(PLATFORM_ADDRESS, PLATFORM_ZONE))
    daemons: dict[Address, DaemonNode] = field(default_factory=dict)
    engines: dict[Address, EngineNode] = field(default_factory=dict)

    def daemon_at(self, address: Address) -> DaemonNode | None:
        """Returns the daemon that listens at an address."""
        return self.daemons.get(address)

    def engine_at(self, address: Address) -> EngineNode | None:
        """Returns the engine that listens at an address."""
        return self.engines.get(address)

    async def fetch_weights(self, host: Host, policy: PolicyId, version: int) -> bool:
        """Fetches weights for an engine; returns False if the platform does not provide them."""
        for _ in range(WEIGHT_FETCH_ATTEMPTS):
            try:
                return await self.network.call(
                    host,
                    self.platform_host,
                    lambda: self.platform.fetch_weights(policy, version),
                    timeout=WEIGHT_FETCH_TIMEOUT_SECONDS,
                )
            except RateLimitedError:
                await asyncio.sleep(WEIGHT_FETCH_RETRY_SECONDS)
            except (HostUnreachableError, PlatformDownError):
                return False
        return False
