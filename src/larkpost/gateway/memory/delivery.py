"""Tracks the delivery of one response, and how fast the client reads it.

Counts the bytes written to the connection; the connection reports how many are unsent.
"""

from collections.abc import Callable
from typing import Protocol

from larkpost.common.clock import Clock
from larkpost.common.errors import LarkpostError, Ran
from larkpost.gateway.memory.slow_clients import STALLED_SECONDS, ReadRate

POLL_SECONDS = 0.25
"""Interval between two checks for whether a slow client has read anything."""


class SlowClientError(LarkpostError):
    """The client was disconnected because it read its response too slowly."""

    code = "reader_cut"
    status = 502
    remedy = "Read responses as they arrive."


class ClientConnection(Protocol):
    """A connection to a client."""

    @property
    def is_full(self) -> bool:
        """Whether nothing more should be written now."""

    @property
    def unsent(self) -> int:
        """Bytes written to it that the client has not accepted yet."""

    @property
    def has_next_request(self) -> bool:
        """Whether another request has been read that waits for the end of the current one."""

    @property
    def is_serving(self) -> bool:
        """Whether a request on it is being served and its response is incomplete."""

    async def wait_until_writable(self, seconds: float) -> None:
        """Waits until it is not full, for at most ``seconds``."""

    def disconnect(self) -> None:
        """Closes the connection at once; unsent bytes are dropped."""


class Delivery:
    """A response that is being delivered.

    Args:
        count_held: returns the bytes that are reserved for the request.
        on_slow: called when the client starts to fall behind.
        on_stalled: called before a client that has read nothing for too long is disconnected.
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
        self._written = connection.unsent  # rest of the previous response, which is sent first
        self._slow_since: float | None = None
        self._read_before_slow = 0
        self._last_unsent = 0
        self._last_progress_at = 0.0
        self._is_complete = False
        self.is_disconnected = False

    @property
    def is_superseded(self) -> bool:
        """Whether this response is complete and the next request on the connection is being served.

        From then on, that request's delivery tracks how fast the client reads.
        """
        return self._is_complete and self._connection.is_serving

    @property
    def is_writable(self) -> bool:
        """Whether more can be written without waiting."""
        return not self._connection.is_full

    @property
    def unsent(self) -> int:
        """Bytes written to the connection that the client has not accepted yet."""
        return self._connection.unsent

    def record_written(self, size: int) -> None:
        """Records that bytes were written to the connection."""
        self._written += size
        self._last_unsent += size

    def read_rate(self) -> ReadRate:
        """Returns how fast the client reads.

        A client that has read everything is not slow, even while its server sends nothing.
        """
        if self._connection.unsent == 0 or self.is_superseded:
            self._slow_since = None
        since = self._slow_since
        seconds = self._clock.now() - since if since is not None else 0.0
        return ReadRate(self._count_held(), self._bytes_read() - self._read_before_slow, seconds)

    async def wait_until_writable(self) -> None:
        """Waits until more can be written to the connection.

        Raises:
            SlowClientError: the client read nothing for too long, or was disconnected.
        """
        if self._connection.unsent == 0:
            self._slow_since = None
        while self._connection.is_full:
            self._mark_slow()
            await self._connection.wait_until_writable(POLL_SECONDS)
            self._check_progress()

    async def wait_until_drained(self) -> None:
        """Waits until a complete response is sent, or the next request on the connection is served.

        Raises:
            SlowClientError: the client read nothing for too long, or was disconnected.
        """
        self._is_complete = True
        while self._connection.unsent and not self.is_superseded:
            self._mark_slow()
            await self._clock.sleep(POLL_SECONDS)
            if not self.is_superseded:
                self._check_progress()

    def disconnect(self) -> None:
        """Disconnects the client."""
        self.is_disconnected = True
        self._connection.disconnect()

    def _bytes_read(self) -> int:
        return max(0, self._written - self._connection.unsent)

    def _mark_slow(self) -> None:
        if self._slow_since is not None:
            return
        self._slow_since = self._last_progress_at = self._clock.now()
        self._read_before_slow = self._bytes_read()
        self._last_unsent = self._connection.unsent
        self._on_slow(self)

    def _check_progress(self) -> None:
        unsent, now = self._connection.unsent, self._clock.now()
        if unsent < self._last_unsent:
            self._last_progress_at = now
        self._last_unsent = unsent
        if self.is_disconnected:
            raise SlowClientError(
                "the client read too slowly and was disconnected", ran=Ran.UNKNOWN
            )
        if unsent and now - self._last_progress_at >= STALLED_SECONDS:
            self._on_stalled(self)
            self.disconnect()
            raise SlowClientError("the client read nothing for too long", ran=Ran.UNKNOWN)
