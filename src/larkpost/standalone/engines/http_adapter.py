"""The engine port over HTTP: JSON requests, answers as server-sent events.

A request body is sent only after connecting, and only if the caller still permits it. If a call
fails before the body was sent, the engine has not run the request.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import orjson

from larkpost.common.ids import Address, AttemptId, DaemonId, EngineId
from larkpost.common.limited_body import read_limited
from larkpost.standalone.documents import parse_json_object
from larkpost.standalone.engines.port import (
    EngineChunk,
    EngineError,
    EngineNotSentError,
    EngineOutcomeUnknownError,
    EngineRefusedError,
    EngineReport,
    GenerateRequest,
    Order,
    StaleTokenError,
)

CONNECT_TIMEOUT = 2.0
"""Maximum seconds to wait for a connection to an engine."""
CANCEL_TIMEOUT = 1.0
"""Maximum seconds to wait for the cancellation of an attempt."""
MAX_BODY_BYTES = 262_144
"""Maximum body of an answer that is no stream."""
MAX_BYTES_WITHOUT_CHUNK = 1_048_576
"""Maximum bytes of a stream without a chunk; an engine in trouble may send them without end."""
EVENT_PREFIX = b"data: "
REFUSED_STATUSES = (409, 429, 503)
NETWORK_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class _SendOnceBody:
    """A request body that is sent at most once, and only while the caller permits it."""

    def __init__(self, content: bytes, may_send: Callable[[], bool]) -> None:
        self._content = content
        self._may_send = may_send
        self.sent = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body once; aiohttp reads it after connecting."""
        if self.sent or not self._may_send():
            raise EngineNotSentError(
                "the request may not be sent: it was sent before or is no longer permitted"
            )
        self.sent = True
        yield self._content


class HttpEnginePort:
    """Calls engines over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def generate(
        self,
        address: Address,
        request: GenerateRequest,
        chunk_timeout: float,
        may_send: Callable[[], bool],
    ) -> AsyncIterator[EngineChunk]:
        body = _SendOnceBody(orjson.dumps(request), may_send)
        headers = {"Content-Type": "application/json"}
        client_timeout = _stream_timeout(chunk_timeout)
        url = f"http://{address}/v1/generate"
        call = self._session.post(url, data=body.chunks(), headers=headers, timeout=client_timeout)
        try:
            async with await _receive_head(call, chunk_timeout) as response:
                await _check_status(response, request.attempt)
                async for chunk in _read_events(response):
                    yield chunk
        except NETWORK_ERRORS as error:
            if not body.sent:
                raise EngineNotSentError(repr(error)) from error
            raise EngineOutcomeUnknownError(repr(error)) from error

    async def resume(
        self, address: Address, attempt: AttemptId, offset: int, chunk_timeout: float
    ) -> AsyncIterator[EngineChunk]:
        url = f"http://{address}/v1/attempts/{attempt}"
        client_timeout = _stream_timeout(chunk_timeout)
        call = self._session.get(url, params={"offset": str(offset)}, timeout=client_timeout)
        try:
            async with await _receive_head(call, chunk_timeout) as response:
                await _check_status(response, attempt)
                async for chunk in _read_events(response):
                    yield chunk
        except NETWORK_ERRORS as error:
            raise EngineOutcomeUnknownError(repr(error)) from error

    async def cancel(self, address: Address, attempt: AttemptId) -> None:
        url = f"http://{address}/v1/attempts/{attempt}"
        try:
            async with self._session.delete(
                url, timeout=_total_timeout(CANCEL_TIMEOUT)
            ) as response:
                await read_limited(response, MAX_BODY_BYTES)
        except NETWORK_ERRORS as error:
            raise EngineOutcomeUnknownError(repr(error)) from error

    async def report(self, address: Address, timeout: float) -> EngineReport:
        url = f"http://{address}/v1/report"
        try:
            async with self._session.get(url, timeout=_total_timeout(timeout)) as response:
                fields = parse_json_object(await read_limited(response, MAX_BODY_BYTES))
            return _parse_report(fields)
        except NETWORK_ERRORS as error:
            raise EngineOutcomeUnknownError(repr(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            raise EngineOutcomeUnknownError(f"invalid engine report: {error!r}") from error

    async def order(self, address: Address, order: Order, timeout: float) -> None:
        url = f"http://{address}/v1/orders"
        try:
            async with self._session.post(
                url, data=orjson.dumps(order), timeout=_total_timeout(timeout)
            ) as response:
                fields = parse_json_object(await read_limited(response, MAX_BODY_BYTES))
        except (*NETWORK_ERRORS, ValueError) as error:
            raise EngineOutcomeUnknownError(repr(error)) from error
        if response.status == 412:
            raise StaleTokenError(
                f"the engine has accepted a higher token than {order.token}", fields.get("token", 0)
            )
        if response.status != 200:
            raise EngineError(
                f"the engine refused the order: {fields.get('error', response.status)}"
            )


def _stream_timeout(chunk_timeout: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None, sock_connect=min(CONNECT_TIMEOUT, chunk_timeout), sock_read=chunk_timeout
    )


def _total_timeout(timeout: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=timeout)


async def _receive_head(
    call: Awaitable[aiohttp.ClientResponse], timeout: float
) -> aiohttp.ClientResponse:
    """Returns the response of a call once its head has arrived.

    Limits the whole time: of a head without end, bytes arrive all the time.

    Raises:
        TimeoutError: the head has not arrived in time.
    """
    async with asyncio.timeout(timeout):
        return await call


async def _check_status(response: aiohttp.ClientResponse, attempt: AttemptId) -> None:
    """Raises an error unless the status is 200; a refusal counts only if it names the attempt."""
    if response.status == 200:
        return
    content = await read_limited(response, MAX_BODY_BYTES)
    try:
        fields = parse_json_object(content)
    except ValueError:
        fields = {}
    names_attempt = fields.get("attempt") == attempt
    if response.status in REFUSED_STATUSES and names_attempt and fields.get("ran") is False:
        raise EngineRefusedError(str(fields.get("error")), fields.get("retry_after"))
    raise EngineOutcomeUnknownError(f"the engine answered with status {response.status}")


async def _read_events(response: aiohttp.ClientResponse) -> AsyncIterator[EngineChunk]:
    """Yields chunks; those that arrive together are joined, to reduce the work per chunk.

    Raises:
        EngineOutcomeUnknownError: a chunk is invalid, or the engine sends bytes without a chunk.
    """
    remainder = b""
    bytes_without_chunk = 0
    async for data in response.content.iter_any():
        *lines, remainder = (remainder + data).split(b"\n")
        try:
            chunks = [
                _parse_chunk(parse_json_object(line[len(EVENT_PREFIX) :]))
                for line in lines
                if line.startswith(EVENT_PREFIX)
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise EngineOutcomeUnknownError(f"invalid answer chunk: {error!r}") from error
        bytes_without_chunk = 0 if chunks else bytes_without_chunk + len(data)
        if bytes_without_chunk > MAX_BYTES_WITHOUT_CHUNK:
            raise EngineOutcomeUnknownError(
                f"the engine sent over {MAX_BYTES_WITHOUT_CHUNK} bytes without an answer chunk"
            )
        for chunk in _join(chunks):
            yield chunk


def _join(chunks: list[EngineChunk]) -> list[EngineChunk]:
    """Joins consecutive chunks of one attempt and version."""
    joined: list[EngineChunk] = []
    group: list[EngineChunk] = []
    for chunk in chunks:
        if group and not _continues(group[-1], chunk):
            joined.append(_merge(group))
            group = []
        group.append(chunk)
    return [*joined, _merge(group)] if group else joined


def _continues(last: EngineChunk, chunk: EngineChunk) -> bool:
    return (
        chunk.attempt == last.attempt
        and chunk.version == last.version
        and chunk.offset == last.offset + len(last.tokens)
        and last.total is None
    )


def _merge(group: list[EngineChunk]) -> EngineChunk:
    if len(group) == 1:
        return group[0]
    first, last = group[0], group[-1]
    tokens = tuple(token for chunk in group for token in chunk.tokens)
    return EngineChunk(first.attempt, first.offset, tokens, first.version, last.total)


def _parse_chunk(fields: dict[str, Any]) -> EngineChunk:
    return EngineChunk(
        attempt=AttemptId(fields["attempt"]),
        offset=fields["offset"],
        tokens=tuple(fields["tokens"]),
        version=fields["version"],
        total=fields.get("total"),
    )


def _parse_report(fields: dict[str, Any]) -> EngineReport:
    owner = fields.get("owner")
    return EngineReport(
        engine=EngineId(fields["engine"]),
        running=fields["running"],
        waiting=fields["waiting"],
        slots=fields["slots"],
        version=fields["version"],
        leaving=fields["leaving"],
        token=fields["token"],
        owner=DaemonId(owner) if owner else None,
        swapping=fields["swapping"],
    )


async def close_session(session: aiohttp.ClientSession) -> None:
    """Closes a client session and yields to the event loop so that its connections close."""
    await session.close()
    await asyncio.sleep(0)
