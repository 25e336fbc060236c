"""Data types of the data path: a request, and the token runs of its answer."""

from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.ids import PoolId, RequestId

CLIENT_CHUNK_TOKENS = 1
"""Maximum tokens per chunk for client requests, which stream each token at once."""
ROLLOUT_CHUNK_TOKENS = 16
"""Maximum tokens per chunk for rollouts, which need no low latency."""


class WorkClass(StrEnum):
    """Class of a request; client requests take precedence over rollouts."""

    CLIENT = "client"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class Work:
    """A request in the data path.

    Attributes:
        caller: service or trainer whose retry budget the request spends.
        deadline: local monotonic time after which the caller no longer waits.
        run_once: whether the request must not run more than once.
        min_version: lowest weight version that may produce the first token.
        chunk_tokens: maximum number of tokens that the engine may collect in one chunk.
    """

    request: RequestId
    caller: str
    work_class: WorkClass
    pool: PoolId
    prompt: str
    max_tokens: int
    priority: int
    deadline: float
    run_once: bool = False
    min_version: int = 0
    chunk_tokens: int = 1


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """A run of consecutive tokens that one weight version produced."""

    version: int
    first_token: int
    count: int


@dataclass(frozen=True, slots=True)
class TokenRun:
    """Consecutive tokens of an answer from one weight version; runs follow without gaps."""

    offset: int
    tokens: tuple[int, ...]
    version: int


@dataclass(slots=True)
class Answer:
    """Collects token runs into an answer with its version spans."""

    tokens: list[int] = field(default_factory=list)
    spans: list[VersionSpan] = field(default_factory=list)

    def append(self, run: TokenRun) -> None:
        """Appends a run, which must start at the next token."""
        if run.offset != len(self.tokens):
            raise ValueError(f"run starts at token {run.offset}, expected {len(self.tokens)}")
        if not run.tokens:
            return
        self.tokens.extend(run.tokens)
        last = self.spans[-1] if self.spans else None
        if last is not None and last.version == run.version:
            count = last.count + len(run.tokens)
            self.spans[-1] = VersionSpan(run.version, last.first_token, count)
        else:
            self.spans.append(VersionSpan(run.version, run.offset, len(run.tokens)))

    @property
    def oldest_version(self) -> int:
        """The lowest weight version in the answer; 0 for an empty one."""
        return min((span.version for span in self.spans), default=0)


def chunk_size(work_class: WorkClass) -> int:
    """Returns the maximum number of tokens per chunk for a class of work."""
    return CLIENT_CHUNK_TOKENS if work_class == WorkClass.CLIENT else ROLLOUT_CHUNK_TOKENS
