"""Saves changes to crash records in the store, and retries while the store is unavailable.

Owns the unsaved changes; relies on the repository for the rows.
"""

import asyncio

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.known_crashes import Crash
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.quarantine.repository import MAX_ROWS, CrashRepository

RETRY_SECONDS = 0.2
"""Delay after a failed write."""
MAX_UNSAVED = 2000
"""Limit on unsaved changes; beyond it the oldest ones are dropped."""


class CrashWriter:
    """Saves changes in order, and retries until the store has them."""

    def __init__(self, repository: CrashRepository, clock: Clock) -> None:
        self._repository = repository
        self._clock = clock
        self._unsaved: dict[tuple[ContentDigest, InstanceId], Crash | None] = {}
        """Changes that the store does not have yet; None for a removal."""
        self._wake = asyncio.Event()

    def time(self) -> float | None:
        """Returns the store's time in seconds; None if it is unknown."""
        return self._repository.time()

    def schedule_save(
        self, content: ContentDigest, instance: InstanceId, crash: Crash | None
    ) -> None:
        """Queues a change; it replaces any earlier unsaved change of the same row.

        Args:
            crash: None to remove the row.
        """
        self._unsaved.pop((content, instance), None)
        self._unsaved[content, instance] = crash
        while len(self._unsaved) > MAX_UNSAVED:
            del self._unsaved[next(iter(self._unsaved))]
        self._wake.set()

    async def run(self) -> None:
        """Saves queued changes forever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._unsaved:
                if not await self._save_some():
                    await self._clock.sleep(RETRY_SECONDS)

    async def _save_some(self) -> bool:
        """Saves the oldest changes, and returns whether it succeeded."""
        taken = dict(list(self._unsaved.items())[:MAX_ROWS])
        removed = [Crash(*key, 0.0) for key, crash in taken.items() if crash is None]
        added = [crash for crash in taken.values() if crash is not None]
        is_done = await self._repository.save(added, removed)
        if is_done:
            for key, crash in taken.items():
                if key in self._unsaved and self._unsaved[key] is crash:
                    del self._unsaved[key]
        return is_done
