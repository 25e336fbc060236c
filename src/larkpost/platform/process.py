"""Runs a daemon as a process, from loading its settings to its graceful stop.

It defines the start and stop order of the parts that `larkpost.platform.assembly` builds, handles
the process's signals, and runs the settings watcher and the descriptor monitor.
"""

import asyncio
import faulthandler
import gc
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from larkpost.common.early_signals import HANDLED_SIGNALS, block_signals, take_recorded
from larkpost.common.steady_time import run_on_steady_loop
from larkpost.gateway.observability.eventlog import Event, EventLog, NonBlockingWriter
from larkpost.gateway.observability.metrics import Metrics
from larkpost.platform.assembly import (
    make_descriptor_monitor,
    make_gateway,
    make_listeners,
    open_clients,
)
from larkpost.platform.idle_connections import close_idle_while_stopping
from larkpost.platform.settings import PlatformSettings, load_platform_settings, settings_path
from larkpost.platform.settings_watch import ReloadTargets, SettingsWatcher, read_content

STACK_SIGNAL = signal.SIGUSR1
"""Signal on which the process writes to standard error where it stands, also if its event loop does
not go on."""


def run() -> None:
    """Runs a daemon until it is asked to stop."""
    run_on_steady_loop(serve(settings_path()))


async def serve(path: Path) -> None:
    """Runs a daemon on the running event loop until a signal asks it to stop.

    Raises:
        SettingsError: the settings are invalid.
        OSError: an address cannot be bound.
    """
    content = read_content(path)  # before loading, so that no change in between is missed
    process = Process(load_platform_settings(path))
    watcher = process.watch_file(path, content)
    process.handle_signals()
    if not process.is_stop_requested:
        await process.start()
        await process.run_until_stopped(watcher.watch)
    await process.close()
    block_signals()


class Process:
    """A daemon with its clients and listeners."""

    def __init__(self, settings: PlatformSettings) -> None:
        metrics = Metrics()
        self._log = EventLog(settings.machine, NonBlockingWriter(), metrics)
        self._clients = open_clients(settings, metrics, self._log)
        self._gateway = make_gateway(settings, self._clients, metrics, self._log)
        self._listeners = make_listeners(settings, self._gateway, self._clients.store)
        self._descriptor_monitor = make_descriptor_monitor(
            settings.max_descriptors,
            self._clients.servers,
            self._listeners,
            self._gateway.lifecycle,
            self._log,
        )
        self._has_started = False
        self._stop = asyncio.Event()
        self._reload = asyncio.Event()

    def watch_file(self, path: Path, content: bytes) -> SettingsWatcher:
        """Returns the watcher of the settings file, not yet started.

        Args:
            content: the file's content, read before the settings were loaded.
        """
        targets = ReloadTargets(self._gateway.settings, self._clients.store, self._clients.duties)
        return SettingsWatcher(path, content, self._reload, targets, self._log)

    def handle_signals(self) -> None:
        """Installs handlers for signals, which take earlier ones too, and for event loop errors."""
        loop = asyncio.get_running_loop()
        for number in HANDLED_SIGNALS:
            loop.add_signal_handler(number, self._handle_signal, number)
        for number in take_recorded():
            self._handle_signal(number)
        loop.set_exception_handler(self._descriptor_monitor.handle_loop_error)
        faulthandler.register(STACK_SIGNAL)

    def _handle_signal(self, number: signal.Signals) -> None:
        (self._reload if number is signal.SIGHUP else self._stop).set()

    @property
    def is_stop_requested(self) -> bool:
        """Whether a signal has asked the daemon to stop."""
        return self._stop.is_set()

    async def start(self) -> None:
        """Starts the daemon, then its listeners."""
        self._has_started = True
        self._gateway.start()
        for listener in self._listeners.in_start_order():
            await listener.start()
        gc.freeze()

    async def run_until_stopped(self, watch_settings: Callable[[], Awaitable[None]]) -> None:
        """Runs until a signal asks to stop and the daemon has drained."""
        settings_task = asyncio.create_task(watch_settings())
        descriptor_task = asyncio.create_task(self._descriptor_monitor.watch())
        await self._stop.wait()
        idle_task = asyncio.create_task(
            close_idle_while_stopping(self._gateway.lifecycle, self._listeners.front)
        )
        await self._gateway.drain()
        idle_task.cancel()
        settings_task.cancel()
        descriptor_task.cancel()

    async def close(self) -> None:
        """Stops the daemon, then its listeners, then its clients; also one that never started."""
        self._gateway.stop()
        if not self._has_started:
            self._log.record(Event.STOP, unfinished=0, open_requests=0, seconds=0.0)
            await self._clients.close()
            return
        await asyncio.gather(*(listener.close() for listener in self._listeners.in_start_order()))
        await self._clients.close()


if __name__ == "__main__":
    run()
