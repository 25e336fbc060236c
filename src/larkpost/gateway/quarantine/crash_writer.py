"""Brings changes of what is known of crashes into the store, however long it is away.

Owns the changes that the store does not have yet; relies on the repository for the rows.
"""

import asyncio

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.known_crashes import Crash
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.quarantine.repository import MAX_ROWS, CrashRepository

RETRY_SECONDS = 0.2
"""Pause after a write that the store did not carry out."""
MAX_UNSAVED = 2000
"""Changes that wait for the store; when it is away for long, the oldest ones are dropped."""


class CrashWriter:
    """Saves changes in the order in which they came, until the store has them."""

    def __init__(self, repository: CrashRepository, clock: Clock) -> None:
        self._repository = repository
        self._clock = clock
        self._unsaved: dict[tuple[ContentDigest, InstanceId], Crash | None] = {}
        """Changes that the store does not have yet; None for a removal."""
        self._wake = asyncio.Event()

    def time(self) -> float | None:
        """Returns the store's time in seconds; None if it is not known."""
        return self._repository.time()

    def schedule_save(
        self, content: ContentDigest, instance: InstanceId, crash: Crash | None
    ) -> None:
        """Has a change saved soon; the newest one for a row replaces those before it.

        Args:
            crash: None to remove the row.
        """
        self._unsaved.pop((content, instance), None)
        self._unsaved[content, instance] = crash
        while len(self._unsaved) > MAX_UNSAVED:
            del self._unsaved[next(iter(self._unsaved))]
        self._wake.set()

    async def run(self) -> None:
        """Saves what comes, for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._unsaved:
                if not await self._save_some():
                    await self._clock.sleep(RETRY_SECONDS)

    async def _save_some(self) -> bool:
        """Saves the oldest changes, and returns whether that is done."""
        taken = dict(list(self._unsaved.items())[:MAX_ROWS])
        removed = [Crash(*key, 0.0) for key, crash in taken.items() if crash is None]
        added = [crash for crash in taken.values() if crash is not None]
        is_done = await self._repository.save(added, removed)
        if is_done:
            for key, crash in taken.items():
                if key in self._unsaved and self._unsaved[key] is crash:
                    del self._unsaved[key]
        return is_done
