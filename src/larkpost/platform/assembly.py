"""Builds the parts of a daemon from its settings.

The caller starts and closes the parts. Parts that hold sessions need a running event loop.
"""

import random
from dataclasses import dataclass

from larkpost.common.clock import LoopClock
from larkpost.common.ids import Address
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.controllers.row_recorder import RowReaders
from larkpost.gateway.daemon import Gateway
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.store.relay import RelayedStore
from larkpost.platform import instance_rows, names, operator
from larkpost.platform.dead_connections import UpstreamKind
from larkpost.platform.descriptors import DescriptorMonitor
from larkpost.platform.duties import HttpDuties
from larkpost.platform.http_protocol import Listener
from larkpost.platform.ingress import Ingress
from larkpost.platform.peer_store import PeerStoreApp
from larkpost.platform.servers import HttpServers
from larkpost.platform.settings import PlatformSettings
from larkpost.platform.status_apps import MetricsApp, ReadinessApp
from larkpost.platform.store import HttpStore

READERS = RowReaders(
    operator_table=names.OPERATOR_TABLE,
    instance_table=names.SERVER_TABLE,
    configuration=operator.read_configuration,
    weight_target=operator.read_weight_target,
    instance=instance_rows.read_instance,
    evacuation=operator.read_evacuation,
)


@dataclass(frozen=True, slots=True)
class Clients:
    """The clients of the services that the daemon calls.

    Attributes:
        store: the store, called directly.
        relayed_store: the store, called through peers when direct calls fail.
        servers: the model servers.
        duties: the platform's API, which one daemon at a time calls; None if no address is set.
    """

    store: HttpStore
    relayed_store: RelayedStore
    servers: HttpServers
    duties: HttpDuties | None

    async def close(self) -> None:
        """Closes all connections."""
        await self.servers.close()
        if self.duties is not None:
            await self.duties.close()
        await self.relayed_store.close()
        await self.store.close()


def open_clients(settings: PlatformSettings, metrics: Metrics, log: EventLog) -> Clients:
    """Returns the clients; they connect on their first call."""
    store = HttpStore(settings.store, settings.row_bytes, metrics, log)

    def open_peer(address: Address) -> HttpStore:
        return HttpStore(address, settings.row_bytes, metrics, log, UpstreamKind.PEER)

    return Clients(
        store=store,
        relayed_store=RelayedStore(store, open_peer, LoopClock(), log, random.Random()),
        servers=HttpServers(metrics, log),
        duties=HttpDuties(settings.duties) if settings.duties is not None else None,
    )


def make_gateway(
    settings: PlatformSettings, clients: Clients, metrics: Metrics, log: EventLog
) -> Gateway:
    """Returns the gateway, not yet started."""
    ports = GatewayPorts(
        clients.relayed_store,
        clients.servers,
        LoopClock(),
        READERS,
        log,
        metrics,
        relay=clients.relayed_store,
        usage=clients.duties,
        scaling=clients.duties if settings.orders_servers else None,
    )
    return Gateway(gateway_settings(settings), ports)


def gateway_settings(settings: PlatformSettings) -> GatewaySettings:
    """Returns the gateway's settings."""
    return GatewaySettings(
        machine=settings.machine,
        contact_time=settings.contact_time,
        lease_time=settings.lease_time,
        apply_time=settings.apply_time,
        grace_time=settings.grace_time,
        batch_lifetime=settings.batch_lifetime,
        peer_address=settings.peer,
        usage=settings.usage,
        cold=settings.cold,
        regions=settings.regions,
        memory_bytes=settings.memory_bytes,
        cores=settings.cores,
    )


@dataclass(frozen=True, slots=True)
class Listeners:
    """The HTTP servers at which the daemon listens.

    Attributes:
        front: for clients.
        others: for readiness, and for metrics and peers if configured.
    """

    front: Listener
    others: tuple[Listener, ...]

    def in_start_order(self) -> tuple[Listener, ...]:
        """Returns all listeners in start order."""
        return (self.front, *self.others)

    def count_connections(self) -> int:
        """Returns the number of open connections at all listeners."""
        return sum(len(listener.connections) for listener in self.in_start_order())


def make_listeners(settings: PlatformSettings, gateway: Gateway, store: HttpStore) -> Listeners:
    """Returns the listeners, not yet started."""
    others = [Listener(ReadinessApp(gateway.lifecycle), settings.ready)]
    if settings.metrics is not None:
        port, path = settings.metrics
        address = Address(f"{settings.ip}:{port}")
        others.append(Listener(MetricsApp(gateway.read_metrics, path), address))
    if settings.peer is not None:
        relay = PeerStoreApp(store, gateway.memory.budget, gateway.lifecycle)
        others.append(Listener(relay, settings.peer))
    return Listeners(_make_front(settings, gateway), tuple(others))


def _make_front(settings: PlatformSettings, gateway: Gateway) -> Listener:
    ingress = Ingress(
        gateway.configuration,
        gateway.lifecycle,
        gateway.admission,
        gateway.forwarder,
        gateway.batches,
        gateway.memory,
    )
    return Listener(ingress, settings.front, ingress.limits)


def make_descriptor_monitor(
    limit: int, servers: HttpServers, listeners: Listeners, lifecycle: Lifecycle, log: EventLog
) -> DescriptorMonitor:
    """Returns the monitor of the descriptors; it closes idle client connections.

    Args:
        limit: maximum number of descriptors of the process.
    """

    def count_sockets() -> int:
        return servers.open_connections + listeners.count_connections()

    return DescriptorMonitor(limit, count_sockets, listeners.front.close_idle, lifecycle, log)
