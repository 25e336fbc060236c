"""Runs one daemon as a process of the platform: listeners, settings, signals, planned stop."""

import asyncio
import gc
import random
import signal
from pathlib import Path

from larkpost.common.clock import LoopClock
from larkpost.common.errors import SettingsError
from larkpost.common.ids import Address
from larkpost.common.steady_time import run_steadily
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.controllers.row_intake import RowReaders
from larkpost.gateway.daemon import Gateway
from larkpost.gateway.observability.eventlog import Event, EventLog, LineWriter
from larkpost.gateway.observability.metrics import Metrics
from larkpost.gateway.store.relay import RelayedStore
from larkpost.platform import names, operator
from larkpost.platform.descriptors import DescriptorGuard
from larkpost.platform.duties import HttpDuties
from larkpost.platform.http_protocol import Listener
from larkpost.platform.ingress import Ingress
from larkpost.platform.peer_store import PeerStoreApp
from larkpost.platform.servers import HttpServers
from larkpost.platform.settings import (
    PlatformSettings,
    load_platform_settings,
    settings_path,
)
from larkpost.platform.silence import Peer
from larkpost.platform.status_apps import MetricsApp, ReadinessApp
from larkpost.platform.store import HttpStore

SETTINGS_POLL_SECONDS = 1.0

READERS = RowReaders(
    operator_table=names.OPERATOR_TABLE,
    instance_table=names.SERVER_TABLE,
    configuration=operator.read_configuration,
    weight_target=operator.read_weight_target,
    instance=operator.read_instance,
    evacuation=operator.read_evacuation,
)


def run() -> None:
    """Runs a daemon until it is asked to stop."""
    run_steadily(serve(settings_path()))


async def serve(path: Path) -> None:
    """Runs a daemon on the running loop.

    Raises:
        SettingsError: the settings cannot be used.
    """
    content = _read(path)
    settings = load_platform_settings(path)
    metrics = Metrics()
    log = EventLog(settings.machine, LineWriter(), metrics)
    direct = HttpStore(settings.store, settings.row_bytes, metrics, log)
    store = RelayedStore(
        direct,
        lambda address: HttpStore(address, settings.row_bytes, metrics, log, Peer.PEER),
        LoopClock(),
        log,
        random.Random(),
    )
    servers = HttpServers(metrics, log)
    duties = HttpDuties(settings.duties) if settings.duties is not None else None
    gateway = Gateway(
        _gateway_settings(settings),
        GatewayPorts(
            store,
            servers,
            LoopClock(),
            READERS,
            log,
            metrics,
            relay=store,
            usage=duties,
            scaling=duties if settings.orders_servers else None,
        ),
    )
    ingress = Ingress(
        gateway.configuration,
        gateway.lifecycle,
        gateway.admission,
        gateway.forwarder,
        gateway.batches,
    )
    front = Listener(ingress, settings.front, ingress.limits)
    listeners = [front, Listener(ReadinessApp(gateway.lifecycle), settings.ready)]
    if settings.metrics is not None:
        port, metrics_path = settings.metrics
        address = Address(f"{settings.ip}:{port}")
        listeners.append(Listener(MetricsApp(gateway.read_metrics, metrics_path), address))
    if settings.peer is not None:
        listeners.append(Listener(PeerStoreApp(direct), settings.peer))
    guard = DescriptorGuard(
        settings.max_descriptors,
        lambda: servers.held + sum(len(listener.connections) for listener in listeners),
        front.shed,
        gateway.lifecycle,
        log,
    )
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    loop.set_exception_handler(guard.record_failure)
    gateway.start()
    for listener in listeners:
        await listener.start()
    gc.freeze()
    watcher = asyncio.create_task(
        watch_settings(path, content, reload, gateway.settings, direct, duties, log)
    )
    guarding = asyncio.create_task(guard.watch())
    await stop.wait()
    await gateway.drain()
    watcher.cancel()
    guarding.cancel()
    gateway.stop()
    await asyncio.gather(*(listener.close() for listener in listeners))
    await servers.close()
    if duties is not None:
        await duties.close()
    await store.close()
    await direct.close()


def _read(path: Path) -> bytes:
    """Returns a file's content; empty if it cannot be read, which loading it will tell."""
    try:
        return path.read_bytes()
    except OSError:
        return b""  # loading it tells what is wrong


def _gateway_settings(settings: PlatformSettings) -> GatewaySettings:
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
    )


async def watch_settings(
    path: Path,
    content: bytes,
    reload: asyncio.Event,
    current: GatewaySettings,
    store: HttpStore,
    duties: HttpDuties | None,
    log: EventLog,
) -> None:
    """Takes changed settings, told by a signal or by the file alone; bad ones change nothing.

    Args:
        content: the file as it was read before the settings in force were taken from it.
        current: the settings in force, changed in place.
    """
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                await reload.wait()
        except TimeoutError:
            pass  # no signal: look at the file
        reload.clear()
        try:
            found = _read(path)
            if found == content:
                continue
            content = found
            settings = load_platform_settings(path)
        except SettingsError as error:
            log.record(Event.SETTINGS, outcome="refused", error=str(error))
            continue
        store.move(settings.store)
        if duties is not None and settings.duties is not None:
            duties.move(settings.duties)
        changed = _gateway_settings(settings)
        for name in ("contact_time", "lease_time", "apply_time", "grace_time", "batch_lifetime"):
            setattr(current, name, getattr(changed, name))
        current.regions.take(changed.regions)
        log.record(Event.SETTINGS, outcome="taken")


if __name__ == "__main__":
    run()
