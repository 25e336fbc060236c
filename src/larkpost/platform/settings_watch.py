"""Watches the settings file of a running daemon and puts changed settings into force.

Only what may change while the daemon runs is put into force: the addresses of the store and of the
duties, the times, and the regions. Everything else holds until the next start.
"""

import asyncio
from dataclasses import dataclass
from pathlib import Path

from larkpost.common.errors import SettingsError
from larkpost.gateway.assembly.environment import GatewaySettings
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.platform.assembly import gateway_settings
from larkpost.platform.duties import HttpDuties
from larkpost.platform.settings import PlatformSettings, load_platform_settings
from larkpost.platform.store import HttpStore

SETTINGS_POLL_SECONDS = 1.0
"""Between two checks of the file when no signal comes. A changed file is in force within about a
second, and a check is one read of a small file."""

RELOADABLE_TIMES = ("contact_time", "lease_time", "apply_time", "grace_time", "batch_lifetime")


@dataclass(frozen=True, slots=True)
class LiveSettings:
    """The parts of a running daemon that take changed settings.

    Attributes:
        gateway: the daemon's settings in force, changed in place.
        duties: None if the platform takes no calls of duties.
    """

    gateway: GatewaySettings
    store: HttpStore
    duties: HttpDuties | None

    def apply(self, settings: PlatformSettings) -> None:
        """Puts changed settings into force."""
        self.store.set_address(settings.store)
        if self.duties is not None and settings.duties is not None:
            self.duties.set_address(settings.duties)
        changed = gateway_settings(settings)
        for name in RELOADABLE_TIMES:
            setattr(self.gateway, name, getattr(changed, name))
        self.gateway.regions.update_from(changed.regions)


class SettingsWatcher:
    """Reads the settings again after a signal, and whenever the file alone has changed.

    Args:
        content: the file as it was read before the settings in force were taken from it.
        reload: is set by the signal.
    """

    def __init__(
        self, path: Path, content: bytes, reload: asyncio.Event, live: LiveSettings, log: EventLog
    ) -> None:
        self._path = path
        self._content = content
        self._reload = reload
        self._live = live
        self._log = log

    async def watch(self) -> None:
        """Checks the file until it is cancelled; unusable settings change nothing."""
        while True:
            await self._wait()
            self._check()

    async def _wait(self) -> None:
        """Waits for the signal, but not longer than the file may go without a check."""
        try:
            async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                await self._reload.wait()
        except TimeoutError:
            pass  # no signal: check the file
        self._reload.clear()

    def _check(self) -> None:
        found = read_content(self._path)
        if found == self._content:
            return
        self._content = found
        try:
            settings = load_platform_settings(self._path)
        except SettingsError as error:
            self._log.record(Event.SETTINGS, outcome="refused", error=str(error))
            return
        self._live.apply(settings)
        self._log.record(Event.SETTINGS, outcome="taken")


def read_content(path: Path) -> bytes:
    """Returns a file's content; empty if it cannot be read, as loading it reports the cause."""
    try:
        return path.read_bytes()
    except OSError:
        return b""  # loading it reports what is wrong
