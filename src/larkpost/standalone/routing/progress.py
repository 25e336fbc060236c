"""The progress of one piece of work, and the rule by which a chunk of an answer counts."""

from dataclasses import dataclass, field

from larkpost.common.errors import Ran
from larkpost.common.ids import EngineId
from larkpost.standalone.engines.port import EngineChunk, EngineOutcomeUnknownError, GenerateRequest
from larkpost.standalone.routing.work import TokenRun


@dataclass(slots=True)
class Progress:
    """State of one piece of work over its attempts.

    Attributes:
        tokens: the tokens of the answer so far.
        attempts: attempts begun.
        failures: attempts that failed.
        uncertain: whether the outcome of an attempt is unknown.
        excluded: engines that are not tried again, as long as there are others.
        finished: whether the answer is whole.
    """

    tokens: list[int] = field(default_factory=list)
    attempts: int = 0
    failures: int = 0
    outcome_unknown: bool = False
    excluded: set[EngineId] = field(default_factory=set)
    finished: bool = False

    @property
    def ran(self) -> Ran:
        """What a failure answer may say."""
        return Ran.UNKNOWN if self.outcome_unknown else Ran.NO


def apply_chunk(chunk: EngineChunk, request: GenerateRequest, progress: Progress) -> TokenRun:
    """Adds a chunk to the progress and returns what is new in it.

    Raises:
        EngineBrokenError: the chunk is another attempt's, out of place, or ends the answer wrongly.
    """
    if chunk.attempt != request.attempt:
        raise EngineOutcomeUnknownError(f"got a chunk of attempt {chunk.attempt!r}")
    have = len(progress.tokens)
    if chunk.offset > have:
        raise EngineOutcomeUnknownError(f"a gap: token {chunk.offset} came after {have} tokens")
    fresh = chunk.tokens[have - chunk.offset :]
    repeated = chunk.tokens[: have - chunk.offset]
    if repeated != tuple(progress.tokens[chunk.offset : chunk.offset + len(repeated)]):
        raise EngineOutcomeUnknownError("a repeated chunk differs from the first one")
    progress.tokens.extend(fresh)
    if chunk.total is not None:
        if chunk.total != len(progress.tokens):
            raise EngineOutcomeUnknownError(
                f"the answer ends at {len(progress.tokens)} of {chunk.total} tokens"
            )
        progress.finished = True
    return TokenRun(have, fresh, chunk.version)
