"""Reloads the settings file of a running daemon.

It reloads the addresses of the store and of the platform's API, the settings in `RELOADABLE_TIMES`,
and the regions. Changes to other settings take effect at the next start.
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
"""Interval at which the file is checked if there is no signal."""

RELOADABLE_TIMES = ("contact_time", "lease_time", "apply_time", "grace_time", "batch_lifetime")


@dataclass(frozen=True, slots=True)
class ReloadTargets:
    """The parts of a running daemon to which reloaded settings are applied.

    Attributes:
        settings: the gateway's current settings; changed in place.
        duties: the client of the platform's API; None if no address was set at the start.
    """

    settings: GatewaySettings
    store: HttpStore
    duties: HttpDuties | None

    def apply(self, settings: PlatformSettings) -> None:
        """Applies changed settings."""
        self.store.set_address(settings.store)
        if self.duties is not None and settings.duties is not None:
            self.duties.set_address(settings.duties)
        changed = gateway_settings(settings)
        for name in RELOADABLE_TIMES:
            setattr(self.settings, name, getattr(changed, name))
        self.settings.regions.update_from(changed.regions)


class SettingsWatcher:
    """Reloads the settings when the file has changed; a signal triggers an immediate check.

    Args:
        content: the file's content, read before the current settings were loaded.
        reload: event that the signal sets.
        targets: the parts to which changed settings are applied.
    """

    def __init__(
        self,
        path: Path,
        content: bytes,
        reload: asyncio.Event,
        targets: ReloadTargets,
        log: EventLog,
    ) -> None:
        self._path = path
        self._content = content
        self._reload = reload
        self._live = targets
        self._log = log

    async def watch(self) -> None:
        """Checks the file until cancelled; invalid settings are logged and not applied."""
        while True:
            await self._wait()
            self._check()

    async def _wait(self) -> None:
        """Waits for the signal for at most `SETTINGS_POLL_SECONDS`."""
        try:
            async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                await self._reload.wait()
        except TimeoutError:
            pass  # no signal: check the file
        self._reload.clear()

    def _check(self) -> None:
        new_content = read_content(self._path)
        if new_content == self._content:
            return
        self._content = new_content
        try:
            settings = load_platform_settings(self._path)
        except SettingsError as error:
            self._log.record(Event.SETTINGS, outcome="refused", error=str(error))
            return
        self._live.apply(settings)
        self._log.record(Event.SETTINGS, outcome="taken")


def read_content(path: Path) -> bytes:
    """Returns a file's content; empty if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError:
        return b""  # loading the settings reports the cause
