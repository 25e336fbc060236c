"""What the data path carries: a piece of work, and the token runs of its answer."""

from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.ids import PoolId, RequestId

CLIENT_CHUNK_TOKENS = 1
"""The same for client requests, which are to see each token as it is made."""
ROLLOUT_CHUNK_TOKENS = 16
"""Tokens that an engine may gather in a chunk."""


class WorkClass(StrEnum):
    """Client requests go before rollouts everywhere."""

    CLIENT = "client"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class Work:
    """A request as the data path sees it.

    Attributes:
        caller: whose retry budget it spends.
        deadline: local monotonic time after which the caller no longer waits.
        run_once: it must not be executed a second time.
        min_version: lowest weight version that may produce its first token.
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
    """Tokens of an answer, in order and without gaps between runs."""

    offset: int
    tokens: tuple[int, ...]
    version: int


@dataclass(slots=True)
class Answer:
    """Collects token runs into a whole answer with its version spans."""

    tokens: list[int] = field(default_factory=list)
    spans: list[VersionSpan] = field(default_factory=list)

    def append(self, run: TokenRun) -> None:
        """Adds the next run."""
        if run.offset != len(self.tokens):
            raise ValueError(f"run at {run.offset} does not follow token {len(self.tokens)}")
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
        """The lowest version in the answer; 0 for an empty one."""
        return min((span.version for span in self.spans), default=0)


def chunk_size(work_class: WorkClass) -> int:
    """Returns how many tokens an engine may gather in a chunk: rollouts need no low latency."""
    return CLIENT_CHUNK_TOKENS if work_class == WorkClass.CLIENT else ROLLOUT_CHUNK_TOKENS
