"""Reads the body of a streamed response while it is forwarded, and records how it ended.

The deadline of a request limits the time that the server takes for the body; the time that the
client takes to read it does not count. Bytes that are always there, as those of a body without end,
take the server no time, so what follows after the deadline is limited as well: in bytes, and in
time unless the response has declared a length within that limit.
"""

import asyncio
import math
from collections.abc import AsyncIterator

from larkpost.common.clock import Clock
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.outcomes import Outcomes
from larkpost.gateway.proxy.request import StreamedResponse
from larkpost.gateway.servers.port import BrokenResponseError, Headers

MAX_LATE_BYTES = 33_554_432
"""Bytes passed on after the deadline to a client that takes them slowly; a client on a link of
1 Gbit/s has them in 0.3 s."""
MAX_LATE_SECONDS = 8.0
"""Time for which a body that may have no end is passed on after the deadline to such a client; as
long as a planned stop leaves an open response."""


class StreamedBody:
    """The remaining chunks of a streamed body; iteration ends normally only if it is complete."""

    def __init__(
        self, response: StreamedResponse, attempts: Attempts, outcomes: Outcomes, clock: Clock
    ) -> None:
        self._response = response
        self._attempts = attempts
        self._outcomes = outcomes
        self._clock = clock
        self._expires_at = attempts.waiter.deadlines.expires_at
        self._time_left = self._expires_at - clock.now()
        self._late_bytes = 0
        self._ends_at = self._expires_at + _late_seconds(response.headers)

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        Raises:
            BrokenResponseError: the body was cut off, or the server took too long for it.
        """
        try:
            return await self._next_in_time()
        except StopAsyncIteration:
            self._outcomes.record_done(self._attempts, self._response.status)
            raise
        except TimeoutError:
            self._record_failed("the body was incomplete at the request's deadline", timed_out=True)
            raise BrokenResponseError(
                "the server did not send the whole body before the deadline"
            ) from None
        except BrokenResponseError as error:
            self._record_failed(error.message, timed_out=False)
            raise

    async def _next_in_time(self) -> bytes:
        started_at = self._clock.now()
        try:
            async with asyncio.timeout(self._time_left):
                chunk = await anext(self._response.rest)
        finally:
            self._time_left -= self._clock.now() - started_at
        if self._clock.now() > self._expires_at:
            self._late_bytes += len(chunk)
        if self._late_bytes > MAX_LATE_BYTES or self._clock.now() > self._ends_at:
            raise TimeoutError
        return chunk

    def _record_failed(self, reason: str, *, timed_out: bool) -> None:
        """Records the failure; the client already has part of the response and gets no error."""
        self._outcomes.record_broken(self._response.instance, self._attempts, reason)
        self._outcomes.failure(self._attempts, timed_out=timed_out)


def _late_seconds(headers: Headers) -> float:
    """Returns the seconds after the deadline for which a body is passed on; infinite for none.

    A body of a declared length within `MAX_LATE_BYTES` has an end, however slowly it is read.
    """
    lengths = [value for name, value in headers if name.lower() == b"content-length"]
    has_end = bool(lengths) and lengths[0].isdigit() and int(lengths[0]) <= MAX_LATE_BYTES
    return math.inf if has_end else MAX_LATE_SECONDS
