"""JSON documents exchanged between callers and a daemon."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from larkpost.common.errors import InvalidRequestError, LarkpostError
from larkpost.common.ids import BatchId, PoolId, TrainerId
from larkpost.standalone.batches.ledger import BatchSpec, Page, Sample
from larkpost.standalone.batches.service import Pull

MAX_HELD_SLOTS = 65_536
"""Maximum number of held slots in one request."""


class _Document(BaseModel):
    """Rejects unknown fields; the error names the field."""

    model_config = ConfigDict(extra="forbid")


class Message(BaseModel):
    """A message of a chat."""

    role: str
    content: str


class CompletionRequest(BaseModel):
    """An OpenAI-compatible request; unknown fields are ignored, as OpenAI clients send many."""

    model: str = Field(description="Name of a service of the intent.")
    prompt: str | None = None
    messages: list[Message] | None = None
    max_tokens: int = 256
    stream: bool = False

    def prompt_text(self) -> str:
        """Returns the prompt, or the chat messages joined into one.

        Raises:
            InvalidRequestError: the request has neither.
        """
        if self.prompt is not None:
            return self.prompt
        if self.messages is None:
            raise InvalidRequestError("give either `prompt` or `messages`")
        return "\n".join(f"{message.role}: {message.content}" for message in self.messages)


class BatchDocument(_Document):
    """A request to open a batch."""

    trainer: TrainerId
    pool: PoolId
    prompts: list[str]
    samples_per_prompt: int = Field(default=1, ge=1)
    staleness_bound: int = Field(default=2, ge=0)
    policy_version: int = Field(ge=0)
    max_tokens: int = Field(default=1024, ge=1)
    due_seconds: float = Field(default=0.0, ge=0)
    expected_tokens: list[int] = Field(default=[])
    held: list[tuple[int, int]] = Field(
        default=[], description="Ranges [first, last] of slots the trainer already has."
    )

    def to_spec(self, batch: BatchId) -> BatchSpec:
        """Returns the batch's specification."""
        return BatchSpec(
            id=batch,
            trainer=self.trainer,
            pool=self.pool,
            prompts=tuple(self.prompts),
            samples_per_prompt=self.samples_per_prompt,
            staleness_bound=self.staleness_bound,
            policy_version=self.policy_version,
            max_tokens=self.max_tokens,
            due=self.due_seconds,
            expected_tokens=tuple(self.expected_tokens),
        )


class PullDocument(_Document):
    """A request for one page of a batch."""

    page: int = Field(ge=1)
    trainer_version: int = Field(ge=0)
    held: list[tuple[int, int]] = []
    limit: int = Field(default=0, ge=0)
    wait_seconds: float | None = Field(default=None, ge=0)

    def to_pull(self, batch: BatchId) -> Pull:
        """Returns the pull of this page."""
        held = expand_ranges(self.held)
        return Pull(batch, self.page, self.trainer_version, held, self.limit, self.wait_seconds)


class SpanDocument(_Document):
    """A run of tokens that one weight version produced."""

    version: int
    first_token: int
    count: int


class SampleDocument(_Document):
    """A finished sample."""

    slot: int
    prompt: int
    tokens: list[int]
    versions: list[SpanDocument]


class PageDocument(_Document):
    """A page of samples; ``remaining`` is the number of slots still lacking after it."""

    batch: BatchId
    page: int
    samples: list[SampleDocument]
    remaining: int


class ErrorDocument(_Document):
    """The body of every error response."""

    code: str
    message: str
    remedy: str
    ran: Literal["no", "unknown"]
    retry_after: float | None = None


def page_document(batch: BatchId, page: Page, samples_per_prompt: int) -> PageDocument:
    """Returns a page as a document."""
    samples = [_sample_document(sample, samples_per_prompt) for sample in page.samples]
    return PageDocument(batch=batch, page=page.number, samples=samples, remaining=page.remaining)


def error_document(error: LarkpostError) -> ErrorDocument:
    """Returns an error as a document."""
    return ErrorDocument(
        code=error.code,
        message=error.message,
        remedy=error.remedy,
        ran=error.ran.value,
        retry_after=error.retry_after,
    )


def expand_ranges(ranges: list[tuple[int, int]]) -> tuple[int, ...]:
    """Returns the slots of inclusive ranges.

    Raises:
        InvalidRequestError: a range is empty or negative, or there are too many slots.
    """
    total = 0
    for first, last in ranges:
        total += last - first + 1
        if first > last or first < 0 or total > MAX_HELD_SLOTS:
            raise InvalidRequestError(
                f"held range [{first}, {last}] is empty or negative, or exceeds {MAX_HELD_SLOTS} "
                "slots in total"
            )
    return tuple(slot for first, last in ranges for slot in range(first, last + 1))


def compress_slots(slots: set[int]) -> list[tuple[int, int]]:
    """Returns slots as inclusive ranges, in ascending order."""
    ranges: list[tuple[int, int]] = []
    for slot in sorted(slots):
        if ranges and ranges[-1][1] == slot - 1:
            ranges[-1] = (ranges[-1][0], slot)
        else:
            ranges.append((slot, slot))
    return ranges


def _sample_document(sample: Sample, samples_per_prompt: int) -> SampleDocument:
    return SampleDocument(
        slot=sample.slot,
        prompt=sample.slot // samples_per_prompt,
        tokens=list(sample.tokens),
        versions=[
            SpanDocument(version=s.version, first_token=s.first_token, count=s.count)
            for s in sample.spans
        ],
    )
