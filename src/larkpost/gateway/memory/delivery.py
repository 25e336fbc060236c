"""One answer on its way to its client, and how fast the client takes it.

Owns the record of what a connection was given; it relies on the connection for what was not sent.
"""

from collections.abc import Callable
from typing import Protocol

from larkpost.common.clock import Clock
from larkpost.common.errors import LarkpostError, Ran
from larkpost.gateway.memory.slow_clients import STALLED_SECONDS, ReadRate

POLL_SECONDS = 0.25
"""Between two looks at whether a client that does not keep up has taken anything."""


class SlowClientError(LarkpostError):
    """The client's connection was cut, as it took its answer too slowly."""

    code = "reader_cut"
    status = 502
    remedy = "Read answers as they come."


class ClientConnection(Protocol):
    """A connection to a client."""

    @property
    def is_full(self) -> bool:
        """Whether it should be given no more now."""

    @property
    def unsent(self) -> int:
        """The bytes that it was given and that its client has not made room for."""

    @property
    def is_serving(self) -> bool:
        """Whether a request that came on it is served and its response not complete."""

    async def wait_until_writable(self, seconds: float) -> None:
        """Waits until it is not full, at most so long."""

    def disconnect(self) -> None:
        """Breaks the connection off; what is unsent is dropped."""


class Delivery:
    """An answer under way.

    Args:
        count_held: returns the bytes reserved for its request.
        on_behind: called once the client does not keep up.
        on_stalled: called when the client has taken nothing for too long, before it is cut.
    """

    def __init__(
        self,
        connection: ClientConnection,
        clock: Clock,
        count_held: Callable[[], int],
        on_slow: Callable[["Delivery"], None],
        on_stalled: Callable[["Delivery"], None],
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._count_held = count_held
        self._on_slow = on_slow
        self._on_stalled = on_stalled
        self._written = connection.unsent  # of the response before, which is taken first
        self._slow_since: float | None = None
        self._taken_at_start = 0
        self._last_unsent = 0
        self._last_progress_at = 0.0
        self._is_complete = False
        self.is_disconnected = False

    @property
    def is_superseded(self) -> bool:
        """Whether the next request on the connection is served, after this answer.

        Its own delivery tells then how the client takes what it is given.
        """
        return self._is_complete and self._connection.is_serving

    @property
    def is_writable(self) -> bool:
        """Whether the connection may be given more at once."""
        return not self._connection.is_full

    @property
    def unsent(self) -> int:
        """The bytes that the connection was given and that its client has not made room for."""
        return self._connection.unsent

    def record_written(self, size: int) -> None:
        """Records that the connection was given bytes."""
        self._written += size
        self._last_unsent += size

    def read_rate(self) -> ReadRate:
        """Returns how the client takes what it is given.

        One that has taken everything is not behind, however long its server sends nothing more.
        """
        if self._connection.unsent == 0 or self.is_superseded:
            self._slow_since = None
        since = self._slow_since
        seconds = self._clock.now() - since if since is not None else 0.0
        return ReadRate(self._count_held(), self._taken() - self._taken_at_start, seconds)

    async def wait_until_writable(self) -> None:
        """Waits until the connection may be given more.

        Raises:
            ReaderCutError: the client took nothing for too long.
        """
        if self._connection.unsent == 0:
            self._slow_since = None
        while self._connection.is_full:
            self._mark_slow()
            await self._connection.wait_until_writable(POLL_SECONDS)
            self._check_progress()

    async def wait_until_drained(self) -> None:
        """Waits until a complete answer is taken, or the next request on its connection is served.

        Raises:
            ReaderCutError: the client took nothing for too long.
        """
        self._is_complete = True
        while self._connection.unsent and not self.is_superseded:
            self._mark_slow()
            await self._clock.sleep(POLL_SECONDS)
            if not self.is_superseded:
                self._check_progress()

    def disconnect(self) -> None:
        """Breaks the connection off."""
        self.is_disconnected = True
        self._connection.disconnect()

    def _taken(self) -> int:
        return max(0, self._written - self._connection.unsent)

    def _mark_slow(self) -> None:
        if self._slow_since is not None:
            return
        self._slow_since = self._last_progress_at = self._clock.now()
        self._taken_at_start = self._taken()
        self._last_unsent = self._connection.unsent
        self._on_slow(self)

    def _check_progress(self) -> None:
        unsent, now = self._connection.unsent, self._clock.now()
        if unsent < self._last_unsent:
            self._last_progress_at = now
        self._last_unsent = unsent
        if self.is_disconnected:
            raise SlowClientError("its connection was cut", ran=Ran.UNKNOWN)
        if unsent and now - self._last_progress_at >= STALLED_SECONDS:
            self._on_stalled(self)
            self.disconnect()
            raise SlowClientError("it took nothing for too long", ran=Ran.UNKNOWN)
