"""Passes an answer on to a client, and reads ahead of one that does not keep up.

A server cuts an answer that stays unread for some seconds, and falls over if many do. So what a
slow client has not taken yet is read from the server all the same, as far as the budget allows.
"""

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass, field

from larkpost.gateway.memory.budget import Reservation
from larkpost.gateway.memory.daemon_memory import DaemonMemory
from larkpost.gateway.memory.delivery import Delivery

MAX_PAUSED_READ_SECONDS = 2.0
"""After so long without room to read an answer on, a little more is read beyond its share; where
room is short, the slowest client is cut instead: the servers' patience is some seconds."""
BUDGET_POLL_SECONDS = 0.1
"""Between two looks at whether others have left room."""


@dataclass(slots=True)
class BufferedBody:
    """The body of an answer that is passed on as it comes.

    Attributes:
        source: yields what is still to be read.
        reservation: the bytes of what was read and not yet passed on.
        begun: these, in order.
    """

    source: AsyncIterator[bytes]
    reservation: Reservation
    buffered: deque[bytes] = field(default_factory=deque)

    def pop_chunk(self) -> bytes:
        """Returns the next of what was read; it is held no longer."""
        chunk = self.buffered.popleft()
        self.reservation.shrink(len(chunk))
        return chunk


async def read_ahead(
    answer: BufferedBody, delivery: Delivery | None, memory: DaemonMemory
) -> AsyncGenerator[bytes, None]:
    """Yields an answer's body; whoever takes a part waits until the client has room for it.

    While the client keeps up, or without a limit on memory, nothing is read ahead.

    Raises:
        BrokenResponseError: the body broke off.
    """
    if delivery is None or not memory.is_limited:
        async for chunk in answer.source:
            yield chunk
        return
    while answer.buffered and delivery.is_writable:
        yield answer.pop_chunk()
    if delivery.is_writable:
        async for chunk in answer.source:
            yield chunk
            if not delivery.is_writable:
                break
        else:
            return
    ahead = _ReadAhead(answer, memory)
    try:
        async for chunk in ahead.chunks():
            yield chunk
    finally:
        await ahead.close()


class _ReadAhead:
    """Reads one answer in the background, while its client takes what was read before."""

    def __init__(self, answer: BufferedBody, memory: DaemonMemory) -> None:
        self._answer = answer
        self._memory = memory
        self._changed = asyncio.Event()
        self._reading = asyncio.create_task(self._read())
        self._reading.add_done_callback(lambda _: self._changed.set())

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields what was read, in order, then raises what ended the reading, if anything did."""
        while True:
            while self._answer.buffered:
                yield self._answer.pop_chunk()
            if self._reading.done() and not self._answer.buffered:
                self._reading.result()
                return
            self._changed.clear()
            await self._changed.wait()

    async def close(self) -> None:
        """Ends the reading."""
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)

    async def _read(self) -> None:
        async for chunk in self._answer.source:
            await self._wait_for_budget(len(chunk))
            self._answer.reservation.force_grow(len(chunk))
            self._answer.buffered.append(chunk)
            self._changed.set()

    async def _wait_for_budget(self, size: int) -> None:
        """Waits until a chunk may be held; one chunk may be, however little room there is."""
        loop = asyncio.get_running_loop()
        reservation = self._answer.reservation
        relieve_at = loop.time() + MAX_PAUSED_READ_SECONDS
        while reservation.size and not reservation.fits_answer_limit(size):
            if loop.time() >= relieve_at:
                if not self._memory.budget.is_low:
                    return
                self._memory.disconnect_slowest()
                relieve_at = loop.time() + MAX_PAUSED_READ_SECONDS
            await asyncio.sleep(BUDGET_POLL_SECONDS)
