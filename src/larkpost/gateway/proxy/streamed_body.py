"""Reads the body of a streamed response while it is forwarded, and records how it ended.

The deadline of a request limits the time that the server takes for the body; the time that the
client takes to read it does not count.
"""

import asyncio
from collections.abc import AsyncIterator

from larkpost.common.clock import Clock
from larkpost.gateway.proxy.attempts import Attempts
from larkpost.gateway.proxy.outcomes import Outcomes
from larkpost.gateway.proxy.request import StreamedResponse
from larkpost.gateway.servers.port import BrokenResponseError


class StreamedBody:
    """The remaining chunks of a streamed body; iteration ends normally only if it is complete."""

    def __init__(
        self, response: StreamedResponse, attempts: Attempts, outcomes: Outcomes, clock: Clock
    ) -> None:
        self._response = response
        self._attempts = attempts
        self._outcomes = outcomes
        self._clock = clock
        self._time_left = attempts.waiter.deadlines.expires_at - clock.now()

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
                return await anext(self._response.rest)
        finally:
            self._time_left -= self._clock.now() - started_at

    def _record_failed(self, reason: str, *, timed_out: bool) -> None:
        """Records the failure; the client already has part of the response and gets no error."""
        self._outcomes.record_broken(self._response.instance, self._attempts, reason)
        self._outcomes.failure(self._attempts, timed_out=timed_out)
