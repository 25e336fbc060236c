"""The progress of one request over its attempts, and validation of answer chunks."""

from dataclasses import dataclass, field

from larkpost.common.errors import Ran
from larkpost.common.ids import EngineId
from larkpost.standalone.engines.port import EngineChunk, EngineOutcomeUnknownError, GenerateRequest
from larkpost.standalone.routing.work import TokenRun


@dataclass(slots=True)
class Progress:
    """State of one request over its attempts.

    Attributes:
        tokens: the tokens of the answer so far.
        attempts: number of attempts begun.
        failures: number of attempts that failed.
        outcome_unknown: whether an attempt may have run without a known outcome.
        excluded: engines that are not tried again while others are available.
        finished: whether the answer is complete.
    """

    tokens: list[int] = field(default_factory=list)
    attempts: int = 0
    failures: int = 0
    outcome_unknown: bool = False
    excluded: set[EngineId] = field(default_factory=set)
    finished: bool = False

    @property
    def ran(self) -> Ran:
        """Whether an error may report that the request did not run."""
        return Ran.UNKNOWN if self.outcome_unknown else Ran.NO


def apply_chunk(chunk: EngineChunk, request: GenerateRequest, progress: Progress) -> TokenRun:
    """Validates a chunk, adds its new tokens to the progress, and returns them as a run.

    Raises:
        EngineOutcomeUnknownError: the chunk belongs to another attempt, leaves a gap, contradicts
            earlier tokens, or states a wrong total.
    """
    if chunk.attempt != request.attempt:
        raise EngineOutcomeUnknownError(
            f"received a chunk of attempt {chunk.attempt!r} instead of {request.attempt!r}"
        )
    received = len(progress.tokens)
    if chunk.offset > received:
        raise EngineOutcomeUnknownError(
            f"received a chunk at token {chunk.offset} after only {received} tokens"
        )
    new_tokens = chunk.tokens[received - chunk.offset :]
    repeated = chunk.tokens[: received - chunk.offset]
    if repeated != tuple(progress.tokens[chunk.offset : chunk.offset + len(repeated)]):
        raise EngineOutcomeUnknownError(
            f"a repeated chunk at token {chunk.offset} differs from the tokens received before"
        )
    progress.tokens.extend(new_tokens)
    if chunk.total is not None:
        if chunk.total != len(progress.tokens):
            raise EngineOutcomeUnknownError(
                f"the answer ended after {len(progress.tokens)} of {chunk.total} tokens"
            )
        progress.finished = True
    return TokenRun(received, new_tokens, chunk.version)
