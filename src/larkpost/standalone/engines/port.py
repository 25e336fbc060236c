"""The engine port: what a daemon needs of a model engine, whatever its protocol."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from larkpost.common.ids import Address, AttemptId, DaemonId, EngineId, PolicyId, RequestId


class EngineError(Exception):
    """Base of the failures of a call to an engine."""


class EngineNotSentError(EngineError):
    """No connection was made, so no byte of the request reached the engine."""


class EngineRefusedError(EngineError):
    """The engine answered, naming this very attempt, that it does not execute it."""

    def __init__(self, message: str, retry_after: float | None = None) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class EngineOutcomeUnknownError(EngineError):
    """The request was or may have been sent; what became of it is unknown."""


class StaleTokenError(EngineError):
    """The engine has accepted a higher fencing token."""

    def __init__(self, message: str, token: int) -> None:
        super().__init__(message)
        self.token = token


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """One attempt at a request.

    Attributes:
        prefix: tokens already generated, by this or another engine; generation goes on after them.
        priority: 0 to 9, higher first.
        chunk_tokens: tokens the engine may gather in one chunk.
    """

    request: RequestId
    attempt: AttemptId
    prompt: str
    max_tokens: int
    priority: int
    prefix: tuple[int, ...] = ()
    chunk_tokens: int = 1


@dataclass(frozen=True, slots=True)
class EngineChunk:
    """A piece of an answer.

    Attributes:
        attempt: the attempt it answers; may be another one's when answers are crossed.
        offset: index of the first token in the whole answer, the prefix included.
        version: weight version that produced every token of the chunk, as the engine stamped it.
        total: length of the whole answer, on the last chunk only.
    """

    attempt: AttemptId
    offset: int
    tokens: tuple[int, ...]
    version: int
    total: int | None = None


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What the engine says of itself; the load figures lag."""

    engine: EngineId
    running: int
    waiting: int
    slots: int
    version: int
    leaving: bool
    token: int
    owner: DaemonId | None
    swapping: bool


class OrderKind(StrEnum):
    """Fenced orders."""

    CLAIM = "claim"
    LOAD_VERSION = "load_version"
    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class Order:
    """A fenced order. The engine refuses a token below the highest that it has accepted.

    ``CLAIM`` changes nothing but the token and the owner's name; it needs a strictly higher token.
    """

    kind: OrderKind
    owner: DaemonId
    token: int
    policy: PolicyId | None = None
    version: int = 0
    name: str = ""


class EnginePort(Protocol):
    """Calls to engines. Every call raises a kind of `EngineError` on failure."""

    def generate(
        self,
        address: Address,
        request: GenerateRequest,
        chunk_timeout: float,
        may_send: Callable[[], bool],
    ) -> AsyncIterator[EngineChunk]:
        """Runs an attempt and yields its chunks until the stream ends.

        ``may_send`` is asked after the connection stands, right before the request leaves; if it
        says no, nothing is sent and `EngineNotSentError` is raised.
        """

    def resume(
        self, address: Address, attempt: AttemptId, offset: int, chunk_timeout: float
    ) -> AsyncIterator[EngineChunk]:
        """Attaches again to an attempt that the engine still runs; starts no execution."""

    async def cancel(self, address: Address, attempt: AttemptId) -> None:
        """Ends an attempt; unknown attempts are ignored."""

    async def report(self, address: Address, timeout: float) -> EngineReport:
        """Asks for the engine's report."""

    async def order(self, address: Address, order: Order, timeout: float) -> None:
        """Gives a fenced order; returns once the engine has accepted it, not once it is done."""
