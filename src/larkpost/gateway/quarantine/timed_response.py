"""Times the output of a response, to tell how long a request has run well at its server."""

from collections.abc import AsyncIterator, Callable

from larkpost.common.clock import Clock
from larkpost.gateway.servers.port import Headers, ServerLoad, ServerResponse, StreamEvent


class OutputTimer:
    """Measures for how long a response has been producing output.

    Attributes:
        on_output: called at each part of the output with the seconds since the first part; None for
            no calls.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._first_at: float | None = None
        self.on_output: Callable[[float], None] | None = None

    def record_output(self) -> None:
        """Records that a part of the output has arrived."""
        if self._first_at is None:
            self._first_at = self._clock.now()
        if self.on_output is not None:
            self.on_output(self.output_seconds())

    def output_seconds(self) -> float:
        """Returns the seconds since the first part of the output; 0 without output."""
        return 0.0 if self._first_at is None else self._clock.now() - self._first_at


class TimedResponse:
    """A response whose output is timed; implements `ServerResponse`."""

    def __init__(self, response: ServerResponse, timer: OutputTimer) -> None:
        self._response = response
        self._timer = timer
        self.status: int = response.status
        self.headers: Headers = response.headers
        self.load: ServerLoad | None = response.load
        self.version: int | None = response.version
        self.signature: str | None = response.signature
        self.cold_left: float | None = response.cold_left

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; see the port."""
        async for chunk in self._response.chunks():
            self._timer.record_output()
            yield chunk

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the body's events; see the port."""
        async for event in self._response.events():
            self._timer.record_output()
            yield event
