"""Keeps descriptors free, so that a daemon that says it is ready can accept connections.

Where a process has used up its descriptors, the event loop stops accepting for a second, and again
as long as none is free. So resting client connections are closed before that, and a daemon whose
connections are all in use says that it is not ready until some have ended.
"""

import asyncio
from collections.abc import Callable

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.eventlog import Event, EventLog

LOOK_INTERVAL_SECONDS = 0.5
FILE_DESCRIPTORS = 200
"""Left to files, listeners and the event loop itself, and to what is not counted."""
SHED_SHARE = 0.85
"""Share of the descriptors from which on resting connections are closed."""
CALM_SHARE = 0.75
"""They are closed until no more than this share is held, so that it is not done at each look."""
FULL_SHARE = 0.95
"""Share from which on the daemon is not ready: the rest is for connections to servers."""


class DescriptorGuard:
    """Watches how many descriptors one daemon holds.

    Args:
        limit: the most that it may hold.
        held: returns how many sockets it holds.
        shed: closes up to so many resting client connections, and returns how many there were.
    """

    def __init__(
        self,
        limit: int,
        held: Callable[[], int],
        shed: Callable[[int], int],
        lifecycle: Lifecycle,
        log: EventLog,
    ) -> None:
        self._limit = max(1, limit - FILE_DESCRIPTORS)
        self._held = held
        self._shed = shed
        self._lifecycle = lifecycle
        self._log = log

    async def watch(self) -> None:
        """Looks again and again."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_INTERVAL_SECONDS)

    def look(self) -> None:
        """Closes resting connections if too many are held, and says whether more can be taken."""
        held = self._held()
        shed = 0
        if held >= self._limit * SHED_SHARE:
            shed = self._shed(held - int(self._limit * CALM_SHARE))
        self._settle(held, shed, accepting=held - shed < self._limit * FULL_SHARE)

    def record_failure(self, _loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Takes an error of the event loop: of accepting, or another one, which is passed on."""
        if not _is_accept_failure(context):
            _loop.default_exception_handler(context)
            return
        shed = self._shed(max(1, self._held() - int(self._limit * CALM_SHARE)))
        self._settle(self._held(), shed, accepting=shed > 0)

    def _settle(self, held: int, shed: int, *, accepting: bool) -> None:
        if shed or accepting is not self._lifecycle.accepting:
            self._log.record(
                Event.DESCRIPTORS, held=held, limit=self._limit, closed=shed, accepting=accepting
            )
        self._lifecycle.accepting = accepting


def _is_accept_failure(context: dict) -> bool:
    return "accept()" in context.get("message", "")
