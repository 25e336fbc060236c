"""State of one attempt in a stand-in engine: its generated tokens, and the chunks sent."""

import asyncio
from dataclasses import dataclass, field

from larkpost.rehearsal.engine_types import EngineRecord, UnknownAttemptError
from larkpost.rehearsal.tokens import token_at
from larkpost.standalone.engines.port import EngineChunk, GenerateRequest


@dataclass(slots=True)
class Sequence:
    """An attempt in the engine.

    Attributes:
        record: what the engine did for it.
        seed: determines its tokens.
        length: number of tokens of its complete answer.
        arrival: its sequence number in order of arrival.
        tokens: the prefix of the request, then the tokens generated so far.
        prefilled: whether its prompt has been computed.
        updated: set when a token is added or the attempt is cancelled.
    """

    request: GenerateRequest
    record: EngineRecord
    seed: int
    length: int
    arrival: int
    tokens: list[int]
    prefilled: bool = False
    cancelled: bool = False
    updated: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def done(self) -> bool:
        """Whether its answer is complete."""
        return len(self.tokens) >= self.length

    @property
    def scheduling_key(self) -> tuple[int, int]:
        """Sort key by which the batch is filled, lowest first."""
        return (
            -self.request.priority,
            self.arrival,
        )

    def add_token(self, version: int) -> None:
        """Generates the next token with a weight version."""
        index = len(self.tokens)
        self.tokens.append(token_at(self.seed, index, version))
        spans = self.record.spans
        if spans and spans[-1][0] == version:
            spans[-1][2] += 1
        else:
            spans.append([version, index, 1])

    async def next_chunk(self, offset: int) -> EngineChunk:
        """Waits for the chunk that begins at ``offset`` and returns it.

        Raises:
            UnknownAttemptError: the attempt is cancelled.
        """
        wanted = self.request.chunk_tokens
        while True:
            if self.cancelled:
                raise UnknownAttemptError(self.request.attempt)
            version, end = self._span_end(offset)
            span_closed = end < len(self.tokens)
            if self.done or span_closed or end - offset >= wanted:
                total = self.length if self.done and end >= self.length else None
                tokens = tuple(self.tokens[offset:end])
                return EngineChunk(self.request.attempt, offset, tokens, version, total)
            self.updated.clear()
            await self.updated.wait()

    def misdirected_chunk(self, chunk: EngineChunk) -> EngineChunk:
        """Returns another attempt's chunk with this attempt's id and tokens in place of its own."""
        tokens = tuple(self.tokens[: max(len(chunk.tokens), 1)])
        return EngineChunk(self.request.attempt, chunk.offset, tokens, chunk.version, chunk.total)

    def _span_end(self, offset: int) -> tuple[int, int]:
        """Returns the version at ``offset`` and the current end of its token span."""
        for version, first, count in self.record.spans:
            if first <= offset < first + count:
                return version, first + count
        return 0, offset
