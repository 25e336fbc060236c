"""Keeps descriptors free, so that a daemon that reports that it is ready can accept connections.

Where a process has used up its descriptors, the event loop stops accepting for a second, and again
as long as none is free. So idle client connections are closed before that, and a daemon whose
connections are all in use reports that it is not ready until some have ended.

Decides when connections are closed and when the daemon is not ready; owns nothing else.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.eventlog import Event, EventLog

CHECK_INTERVAL_SECONDS = 0.5
"""Between two checks. A check counts sets, and connections come in more slowly."""
RESERVED_DESCRIPTORS = 200
"""Left to files, listeners and the event loop itself, and to what is not counted."""
CLOSE_IDLE_THRESHOLD = 0.85
"""Share of the descriptors from which on idle connections are closed."""
CLOSE_IDLE_TARGET = 0.75
"""They are closed until no more than this share is used, so that it is not done at each check."""
NOT_READY_THRESHOLD = 0.95
"""Share from which on the daemon is not ready: the rest is for connections to servers."""


@dataclass(frozen=True, slots=True)
class DescriptorUse:
    """How many sockets are open, and how many may be.

    Attributes:
        used: sockets that are open.
        limit: descriptors that are left to sockets.
    """

    used: int
    limit: int

    def count_excess(self) -> int:
        """Returns how many connections must be closed until no more than `CALM_SHARE` is used."""
        return self.used - int(self.limit * CLOSE_IDLE_TARGET)

    def must_close_idle(self) -> bool:
        """Returns whether idle connections must be closed."""
        return self.used >= self.limit * CLOSE_IDLE_THRESHOLD

    def can_accept(self, closed: int) -> bool:
        """Returns whether connections can be accepted once ``closed`` ones have been closed."""
        return self.used - closed < self.limit * NOT_READY_THRESHOLD


class DescriptorMonitor:
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
        close_idle: Callable[[int], int],
        lifecycle: Lifecycle,
        log: EventLog,
    ) -> None:
        self._limit = max(1, limit - RESERVED_DESCRIPTORS)
        self._count_sockets = count_sockets
        self._close_idle = close_idle
        self._lifecycle = lifecycle
        self._log = log

    async def watch(self) -> None:
        """Checks again and again, until it is cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Closes idle connections if too many are open, and sets whether more can be accepted."""
        use = self._measure()
        closed = self._close_idle(use.count_excess()) if use.must_close_idle() else 0
        self._set_accepting(use.used, closed, accepting=use.can_accept(closed))

    def handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Handles an error of the event loop: of accepting, or another one, which is passed on."""
        if not _is_accept_failure(context):
            loop.default_exception_handler(context)
            return
        closed = self._close_idle(max(1, self._measure().count_excess()))
        self._set_accepting(self._count_sockets(), closed, accepting=closed > 0)

    def _measure(self) -> DescriptorUse:
        return DescriptorUse(self._count_sockets(), self._limit)

    def _set_accepting(self, used: int, closed: int, *, accepting: bool) -> None:
        if closed or accepting is not self._lifecycle.accepting:
            self._log.record(
                Event.DESCRIPTORS, held=used, limit=self._limit, closed=closed, accepting=accepting
            )
        self._lifecycle.accepting = accepting


def _is_accept_failure(context: dict) -> bool:
    return "accept()" in context.get("message", "")
