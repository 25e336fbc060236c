"""Streams a response body to a client, and reads ahead of a slow client.

A server aborts a response that nobody reads for some seconds, and fails if many of its responses
stay unread. Responses to slow clients are therefore buffered here, as far as the memory budget
allows.
"""

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass, field

from larkpost.gateway.memory.budget import Reservation
from larkpost.gateway.memory.daemon_memory import DaemonMemory
from larkpost.gateway.memory.delivery import Delivery

MAX_PAUSED_READ_SECONDS = 2.0
"""Maximum time without reading from the server. Then one more chunk is read beyond the limit, or
the slowest client is disconnected if memory is low."""
BUDGET_POLL_SECONDS = 0.1
"""Interval between two checks for whether memory has been freed."""


@dataclass(slots=True)
class BufferedBody:
    """A response body that is streamed to the client.

    Attributes:
        source: yields the rest of the body from the server.
        reservation: memory of the buffered chunks.
        buffered: chunks that were read and not yet passed on, in order.
    """

    source: AsyncIterator[bytes]
    reservation: Reservation
    buffered: deque[bytes] = field(default_factory=deque)

    def pop_chunk(self) -> bytes:
        """Removes and returns the next buffered chunk, and releases its memory."""
        chunk = self.buffered.popleft()
        self.reservation.shrink(len(chunk))
        return chunk


async def read_ahead(
    body: BufferedBody, delivery: Delivery | None, memory: DaemonMemory
) -> AsyncGenerator[bytes, None]:
    """Yields the chunks of a response body; the caller waits until the client can take each.

    Nothing is read ahead while the client keeps up, or if memory is unlimited.

    Raises:
        BrokenResponseError: the body ended early.
    """
    if delivery is None or not memory.is_limited:
        async for chunk in body.source:
            yield chunk
        return
    while body.buffered and delivery.is_writable:
        yield body.pop_chunk()
    if delivery.is_writable:
        async for chunk in body.source:
            yield chunk
            if not delivery.is_writable:
                break
        else:
            return
    ahead = _ReadAhead(body, memory)
    try:
        async for chunk in ahead.chunks():
            yield chunk
    finally:
        await ahead.close()


class _ReadAhead:
    """Reads one response in the background while the client takes earlier chunks."""

    def __init__(self, body: BufferedBody, memory: DaemonMemory) -> None:
        self._body = body
        self._memory = memory
        self._changed = asyncio.Event()
        self._reading = asyncio.create_task(self._read())
        self._reading.add_done_callback(lambda _: self._changed.set())

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the chunks in order, then raises the error that ended the reading, if any."""
        while True:
            while self._body.buffered:
                yield self._body.pop_chunk()
            if self._reading.done() and not self._body.buffered:
                self._reading.result()
                return
            self._changed.clear()
            await self._changed.wait()

    async def close(self) -> None:
        """Stops reading."""
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)

    async def _read(self) -> None:
        async for chunk in self._body.source:
            await self._wait_for_budget(len(chunk))
            self._body.reservation.force_grow(len(chunk))
            self._body.buffered.append(chunk)
            self._changed.set()

    async def _wait_for_budget(self, size: int) -> None:
        """Waits until a chunk may be held; always allowed while no other chunk is held."""
        loop = asyncio.get_running_loop()
        reservation = self._body.reservation
        pause_ends_at = loop.time() + MAX_PAUSED_READ_SECONDS
        while reservation.size and not reservation.fits_response_limit(size):
            if loop.time() >= pause_ends_at:
                if not self._memory.budget.is_low:
                    return
                self._memory.disconnect_slowest()
                pause_ends_at = loop.time() + MAX_PAUSED_READ_SECONDS
            await asyncio.sleep(BUDGET_POLL_SECONDS)
