"""Keeps file descriptors free, so that a ready daemon can accept connections.

When a process runs out of descriptors, the event loop stops accepting connections for a second at a
time. To avoid that, idle client connections are closed when many descriptors are in use. If closing
them does not free enough descriptors, the daemon reports that it is not ready.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.eventlog import Event, EventLog

CHECK_INTERVAL_SECONDS = 0.5
"""Interval between checks."""
RESERVED_DESCRIPTORS = 200
"""Descriptors reserved for all but connections: files, listeners, the event loop and others."""
CLOSE_IDLE_THRESHOLD = 0.85
"""Fraction of descriptors in use from which idle connections are closed."""
CLOSE_IDLE_TARGET = 0.75
"""Fraction in use at which closing stops; below the threshold, so that connections are not closed
at every check."""
NOT_READY_THRESHOLD = 0.95
"""Fraction in use from which the daemon is not ready; the rest is for connections to servers."""


@dataclass(frozen=True, slots=True)
class DescriptorUse:
    """The use of descriptors by sockets.

    Attributes:
        used: open sockets.
        limit: descriptors available to sockets.
    """

    used: int
    limit: int

    def count_excess(self) -> int:
        """Returns the number of open sockets above `CLOSE_IDLE_TARGET`; negative if below."""
        return self.used - int(self.limit * CLOSE_IDLE_TARGET)

    def must_close_idle(self) -> bool:
        """Returns whether idle connections must be closed."""
        return self.used >= self.limit * CLOSE_IDLE_THRESHOLD

    def can_accept(self, closed: int) -> bool:
        """Returns whether the daemon can accept connections after ``closed`` sockets are closed."""
        return self.used - closed < self.limit * NOT_READY_THRESHOLD


class DescriptorMonitor:
    """Monitors the file descriptors of one daemon.

    Args:
        limit: maximum number of descriptors of the process.
        count_sockets: returns the number of open sockets.
        close_idle: closes up to the given number of idle client connections and returns how many
            it closed.
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
        """Checks periodically until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Closes idle connections if too many sockets are open, and updates readiness."""
        use = self._measure()
        closed = self._close_idle(use.count_excess()) if use.must_close_idle() else 0
        self._set_accepting(use.used, closed, accepting=use.can_accept(closed))

    def handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Closes idle connections after a failure to accept; passes other errors on.

        The default handler of the event loop handles the other errors.
        """
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
