"""Runs one daemon as a process: HTTP and UDP listeners, signals and graceful shutdown."""

import asyncio
import random
import signal
import sys

import aiohttp
from eliot import to_file

from larkpost.common.clock import LoopClock
from larkpost.common.errors import SettingsError
from larkpost.common.http_server import HttpServer
from larkpost.common.steady_time import run_on_steady_loop
from larkpost.standalone.api.app import make_app
from larkpost.standalone.daemon import Daemon, Ports
from larkpost.standalone.engines.http_adapter import HttpEnginePort, close_session
from larkpost.standalone.settings import Settings
from larkpost.standalone.table_service.http_adapter import HttpPlatform
from larkpost.standalone.wire.http_peer import HttpPeerTransport, TelemetrySource

KEEPALIVE_TIMEOUT_SECONDS = 30
"""Seconds for which an idle connection to an engine, peer or the platform is kept open."""


def run_server(settings: Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then drains and stops it."""
    to_file(sys.stdout)
    run_on_steady_loop(serve(settings))


async def serve(settings: Settings) -> None:
    """Runs a daemon on the running event loop until it is told to stop."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS)
    session = aiohttp.ClientSession(connector=connector)
    source = TelemetrySource()
    transport = HttpPeerTransport(session, source)
    platform = HttpPlatform(session, settings.platform)
    ports = Ports(LoopClock(), transport, HttpEnginePort(session), platform, platform)
    daemon = Daemon(settings, ports, random.Random())
    source.telemetry = daemon.telemetry
    server = HttpServer(make_app(daemon), settings.listen)
    stop = _listen_for_stop()
    try:
        await _listen(server, transport, daemon)
        daemon.start()
        await stop.wait()
        await daemon.drain()
        await server.close()
        daemon.stop()
    finally:
        transport.close()
        await close_session(session)


async def _listen(server: HttpServer, transport: HttpPeerTransport, daemon: Daemon) -> None:
    """Opens the HTTP and UDP listeners.

    Raises:
        SettingsError: the address cannot be bound for one of them.
    """
    address = daemon.settings.listen
    try:
        await server.start()
        await transport.listen(address, daemon.gossip.receive)
    except OSError as error:
        raise SettingsError(
            f"listen: {address} cannot be bound for HTTP and UDP: {error}",
            remedy="Choose an address of this machine whose port is free for TCP and UDP.",
        ) from None


def _listen_for_stop() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop
