"""Keeps descriptors free, so that a daemon that reports that it is ready can accept connections.

Where a process has used up its descriptors, the event loop stops accepting for a second, and again
as long as none is free. So idle client connections are closed before that, and a daemon whose
connections are all in use reports that it is not ready until some have ended.

Decides when connections are closed and when the daemon is not ready; owns nothing else.
"""

import asyncio
from collections.abc import Callable

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.eventlog import Event, EventLog

CHECK_INTERVAL_SECONDS = 0.5
"""Between two checks. Not measured: a check counts sets, and connections come in more slowly."""
RESERVED_DESCRIPTORS = 200
"""Left to files, listeners and the event loop itself, and to what is not counted. Not measured."""
SHED_SHARE = 0.85
"""Share of the descriptors from which on idle connections are closed. Not measured."""
CALM_SHARE = 0.75
"""They are closed until no more than this share is used, so that it is not done at each check. Not
measured."""
FULL_SHARE = 0.95
"""Share from which on the daemon is not ready: the rest is for connections to servers. Not
measured."""


class DescriptorGuard:
    """Watches how many descriptors one daemon uses.

    Args:
        limit: the most descriptors that it may use.
        count_sockets: returns how many sockets it uses.
        shed: closes up to so many idle client connections, and returns how many it closed.
    """

    def __init__(
        self,
        limit: int,
        count_sockets: Callable[[], int],
        shed: Callable[[int], int],
        lifecycle: Lifecycle,
        log: EventLog,
    ) -> None:
        self._limit = max(1, limit - RESERVED_DESCRIPTORS)
        self._count_sockets = count_sockets
        self._shed = shed
        self._lifecycle = lifecycle
        self._log = log

    async def watch(self) -> None:
        """Checks again and again, until it is cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Closes idle connections if too many are open, and sets whether more can be accepted."""
        used = self._count_sockets()
        closed = 0
        if used >= self._limit * SHED_SHARE:
            closed = self._shed(used - int(self._limit * CALM_SHARE))
        self._set_accepting(used, closed, accepting=used - closed < self._limit * FULL_SHARE)

    def record_failure(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Handles an error of the event loop: of accepting, or another one, which is passed on."""
        if not _is_accept_failure(context):
            loop.default_exception_handler(context)
            return
        closed = self._shed(max(1, self._count_sockets() - int(self._limit * CALM_SHARE)))
        self._set_accepting(self._count_sockets(), closed, accepting=closed > 0)

    def _set_accepting(self, used: int, closed: int, *, accepting: bool) -> None:
        if closed or accepting is not self._lifecycle.accepting:
            self._log.record(
                Event.DESCRIPTORS, held=used, limit=self._limit, closed=closed, accepting=accepting
            )
        self._lifecycle.accepting = accepting


def _is_accept_failure(context: dict) -> bool:
    return "accept()" in context.get("message", "")
