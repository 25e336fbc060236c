"""Trainer client of the batch API: pulls pages from any daemon until a batch is complete.

`BatchSession` delivers each slot exactly once: it tracks the slots that the trainer holds and the
number of the next page. It calls one daemon at a time, accepts one response per page number, and
sends the held slots with each call, so any daemon can continue where another stopped.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Protocol, TypeVar

import aiohttp
import orjson

from larkpost.common.errors import LarkpostError, Ran, UnknownBatchError
from larkpost.common.ids import Address, BatchId, PolicyId
from larkpost.standalone.api.schema import (
    BatchDocument,
    ErrorDocument,
    PageDocument,
    PullDocument,
    compress_slots,
)
from larkpost.standalone.batches.ledger import BatchSpec, Page, Sample
from larkpost.standalone.batches.service import Pull
from larkpost.standalone.routing.work import VersionSpan

Result = TypeVar("Result")
RETRY_SECONDS = 0.2
"""The retry delay grows by this with each consecutive failure, up to RETRY_LIMIT_SECONDS."""
RETRY_LIMIT_SECONDS = 2.0
"""Maximum retry delay."""
CALL_TIMEOUT_SECONDS = 10.0
"""Timeout of one call; a daemon holds a pull open for two seconds by default."""
CONNECT_TIMEOUT_SECONDS = 1.0
"""Connect timeout."""
INVALID_REQUEST = 400


class DaemonUnreachableError(LarkpostError):
    """The daemon did not respond; the call is retried at another one."""

    code = "unreachable"
    status = 503
    remedy = "Ask another daemon."


class RemoteError(LarkpostError):
    """A daemon responded with an error of this code and HTTP status."""

    def __init__(self, status: int, document: ErrorDocument) -> None:
        super().__init__(
            document.message,
            remedy=document.remedy,
            ran=Ran(document.ran),
            retry_after=document.retry_after,
        )
        self.code = document.code
        self.status = status


class BatchEndpoint(Protocol):
    """Batch API calls to a daemon. Every failure is raised as a `LarkpostError`."""

    async def open(self, daemon: Address, spec: BatchSpec, held: tuple[int, ...]) -> None:
        """Opens a batch."""

    async def pull(self, daemon: Address, call: Pull) -> Page:
        """Pulls a page."""

    async def close(self, daemon: Address, batch: BatchId) -> None:
        """Closes a batch."""


class BatchSession:
    """One batch, from open to close."""

    def __init__(
        self,
        endpoint: BatchEndpoint,
        daemons: Sequence[Address],
        spec: BatchSpec,
        rng: random.Random,
    ) -> None:
        self.spec = spec
        self.held: set[int] = set()
        self._endpoint = endpoint
        self._daemons = list(daemons)
        self._rng = rng
        self._rng.shuffle(self._daemons)
        self._next_page = 1
        self._failures = 0

    @property
    def complete(self) -> bool:
        """Whether every slot is held."""
        return len(self.held) == self.spec.slot_count

    async def open(self) -> None:
        """Opens the batch at the first daemon that accepts it."""
        await self._call_any_daemon(self._open_at)

    async def pages(self, trainer_version: int) -> AsyncIterator[Page]:
        """Yields pages until the batch is complete.

        Args:
            trainer_version: the trainer's weight version for the whole iteration. When it
                increases, stop this iteration and start a new one.
        """
        while not self.complete:
            page = await self._pull(trainer_version)
            if not page.samples:
                continue
            yield page
            self.held |= {sample.slot for sample in page.samples}

    async def close(self) -> None:
        """Closes the batch; a daemon that cannot be reached drops it on its own."""
        try:
            await self._endpoint.close(self._daemons[0], self.spec.id)
        except LarkpostError:
            return

    async def _pull(self, trainer_version: int) -> Page:
        page = await self._call_any_daemon(lambda daemon: self._pull_at(daemon, trainer_version))
        self._next_page += 1
        return page

    async def _pull_at(self, daemon: Address, trainer_version: int) -> Page:
        held = tuple(sorted(self.held))
        call = Pull(self.spec.id, self._next_page, trainer_version, held)
        try:
            return await self._endpoint.pull(daemon, call)
        except LarkpostError as error:
            if error.code != UnknownBatchError.code:
                raise
        await self._open_at(daemon)
        return await self._endpoint.pull(daemon, call)

    async def _open_at(self, daemon: Address) -> None:
        await self._endpoint.open(daemon, self.spec, tuple(sorted(self.held)))

    async def _call_any_daemon(self, call: Callable[[Address], Awaitable[Result]]) -> Result:
        """Calls the current daemon, and after each failure the next one, until a call succeeds.

        Raises:
            LarkpostError: the daemon rejected the request as invalid (HTTP 400).
        """
        while True:
            try:
                result = await call(self._daemons[0])
            except LarkpostError as error:
                if error.status == INVALID_REQUEST:
                    raise
                self._daemons.append(self._daemons.pop(0))
                self._failures += 1
                limit = min(RETRY_SECONDS * self._failures, RETRY_LIMIT_SECONDS)
                await asyncio.sleep(self._rng.uniform(limit / 2, limit))
            else:
                self._failures = 0
                return result


class HttpBatchEndpoint:
    """Batch API calls over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT_SECONDS)

    async def open(self, daemon: Address, spec: BatchSpec, held: tuple[int, ...]) -> None:
        document = BatchDocument(
            trainer=spec.trainer,
            pool=spec.pool,
            prompts=list(spec.prompts),
            samples_per_prompt=spec.samples_per_prompt,
            staleness_bound=spec.staleness_bound,
            policy_version=spec.policy_version,
            max_tokens=spec.max_tokens,
            due_seconds=spec.due,
            expected_tokens=list(spec.expected_tokens),
            held=compress_slots(set(held)),
        )
        url = f"http://{daemon}/v1/batches/{spec.id}"
        await self._call("PUT", url, document.model_dump_json().encode())

    async def pull(self, daemon: Address, call: Pull) -> Page:
        document = PullDocument(
            page=call.page,
            trainer_version=call.trainer_version,
            held=compress_slots(set(call.held)),
            limit=call.limit,
            wait_seconds=call.wait,
        )
        url = f"http://{daemon}/v1/batches/{call.batch}/pull"
        content = await self._call("POST", url, document.model_dump_json().encode())
        return _parse_page(content)

    async def close(self, daemon: Address, batch: BatchId) -> None:
        await self._call("DELETE", f"http://{daemon}/v1/batches/{batch}", b"")

    async def announce_version(self, daemon: Address, policy: PolicyId, version: int) -> None:
        """Tells a daemon that a new weight version is available in the weight store."""
        await self._call("PUT", f"http://{daemon}/v1/policies/{policy}/versions/{version}", b"")

    async def _call(self, verb: str, url: str, body: bytes) -> bytes:
        try:
            async with self._session.request(
                verb, url, data=body, timeout=self._timeout
            ) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise DaemonUnreachableError(repr(error), ran=Ran.UNKNOWN) from error
        if response.status >= 400:
            raise parse_error(response.status, content)
        return content


def parse_error(status: int, content: bytes) -> RemoteError:
    """Returns the error in a response; for a body of another kind the outcome is unknown."""
    try:
        document = ErrorDocument.model_validate(orjson.loads(content)["error"])
    except (ValueError, KeyError, TypeError):
        document = ErrorDocument(
            code="bad_answer",
            message=f"response with status {status} is not a larkpost error",
            remedy="Check that the address is that of a larkpost daemon.",
            ran="unknown",
        )
    return RemoteError(status, document)


def _parse_page(content: bytes) -> Page:
    document = PageDocument.model_validate_json(content)
    samples = tuple(
        Sample(
            sample.slot,
            tuple(sample.tokens),
            tuple(VersionSpan(v.version, v.first_token, v.count) for v in sample.versions),
        )
        for sample in document.samples
    )
    return Page(document.page, samples, document.remaining)
