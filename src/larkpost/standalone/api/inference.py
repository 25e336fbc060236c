"""OpenAI-compatible HTTP routes for client services."""

import asyncio
import time
from collections.abc import AsyncIterator

import orjson
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from larkpost.common.errors import CallerDisconnectedError, InvalidRequestError, LarkpostError, Ran
from larkpost.common.ids import RequestId
from larkpost.standalone.api.responses import JSON, Endpoint, read_document, with_errors
from larkpost.standalone.api.schema import CompletionRequest, error_document
from larkpost.standalone.daemon import Daemon
from larkpost.standalone.routing.inference import InferenceCall
from larkpost.standalone.routing.work import Answer, TokenRun

KEY_HEADER = "Idempotency-Key"
RUN_ONCE_HEADER = "Larkpost-Run-Once"
DEADLINE_HEADER = "Larkpost-Deadline-Seconds"
REQUEST_HEADER = "Larkpost-Request-Id"
END_OF_STREAM = b"data: [DONE]\n\n"
DISCONNECT_POLL_INTERVAL = 1.0
"""Seconds between checks whether the caller of an unstreamed answer is still connected."""
TRUE_VALUES = ("1", "true", "yes")


class InferenceRoutes:
    """Serves ``/v1/completions``, ``/v1/chat/completions`` and ``/v1/tickets``."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self._count = 0

    def _guard(self, endpoint: Endpoint) -> Endpoint:
        return with_errors(endpoint, self._daemon.telemetry)

    def routes(self) -> list[Route]:
        """Returns the routes."""
        return [
            Route("/v1/completions", self._guard(self._complete), methods=["POST"]),
            Route("/v1/chat/completions", self._guard(self._chat), methods=["POST"]),
            Route("/v1/tickets", self._guard(self._ticket), methods=["POST"]),
        ]

    async def _complete(self, request: Request) -> Response:
        return await self._answer(request, chat=False)

    async def _chat(self, request: Request) -> Response:
        return await self._answer(request, chat=True)

    async def _ticket(self, _request: Request) -> Response:
        ticket = self._daemon.run_once.issue().encode()
        return Response(orjson.dumps({"ticket": ticket}), media_type=JSON)

    async def _answer(self, request: Request, chat: bool) -> Response:
        body = await read_document(request, CompletionRequest)
        call = self._make_call(request, body)
        runs = self._daemon.inference.complete(call)
        writer = _Writer(call, chat)
        if not body.stream:
            answer = await _read_answer(request, runs)
            return Response(writer.full_response(answer), media_type=JSON)
        try:
            first = await anext(runs, None)
        except LarkpostError:
            await runs.aclose()
            raise
        stream = _stream(writer, first, runs)
        return StreamingResponse(stream, media_type="text/event-stream")

    def _make_call(self, request: Request, body: CompletionRequest) -> InferenceCall:
        headers = request.headers
        name = headers.get(REQUEST_HEADER)
        if name is None:
            self._count += 1
            own = self._daemon.board.members.own
            name = f"{own.id}-{own.incarnation}-{self._count}"
        return InferenceCall(
            request=RequestId(name),
            service=body.model,
            prompt=body.prompt_text(),
            max_tokens=body.max_tokens,
            deadline_seconds=_parse_deadline(headers.get(DEADLINE_HEADER)),
            run_once=headers.get(RUN_ONCE_HEADER, "").lower() in TRUE_VALUES,
            key=headers.get(KEY_HEADER),
        )


def _parse_deadline(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        raise InvalidRequestError(
            f"{DEADLINE_HEADER} must be a number of seconds, not {text!r}"
        ) from None


async def _read_answer(request: Request, runs: AsyncIterator[TokenRun]) -> Answer:
    """Returns the complete answer.

    Raises:
        CallerDisconnectedError: the caller disconnected before the answer was complete.
    """

    async def read() -> Answer:
        answer = Answer()
        async for run in runs:
            answer.append(run)
        return answer

    reading = asyncio.create_task(read())
    try:
        while not reading.done():
            await asyncio.wait({reading}, timeout=DISCONNECT_POLL_INTERVAL)
            if not reading.done() and await request.is_disconnected():
                raise CallerDisconnectedError(
                    "the caller has closed the connection", ran=Ran.UNKNOWN
                )
        return reading.result()
    finally:
        reading.cancel()


async def _stream(
    writer: "_Writer", first: TokenRun | None, runs: AsyncIterator[TokenRun]
) -> AsyncIterator[bytes]:
    """Yields server-sent events; an error ends the stream with an error event, without [DONE]."""
    answer = Answer()
    try:
        if first is not None:
            answer.append(first)
            yield writer.chunk_event(first)
        async for run in runs:
            answer.append(run)
            yield writer.chunk_event(run)
    except LarkpostError as error:
        document = error_document(error).model_dump()
        yield b"data: " + orjson.dumps({"error": document}) + b"\n\n"
        return
    finally:
        await runs.aclose()
    yield writer.final_event(answer)
    yield END_OF_STREAM


class _Writer:
    """Encodes one answer in the format of the OpenAI API."""

    def __init__(self, call: InferenceCall, chat: bool) -> None:
        self._call = call
        self._chat = chat
        self._created = int(time.time())

    def full_response(self, answer: Answer) -> bytes:
        """Encodes a complete answer."""
        text = _text(answer.tokens)
        content = (
            {"message": {"role": "assistant", "content": text}} if self._chat else {"text": text}
        )
        kind = "chat.completion" if self._chat else "text_completion"
        fields = self._fields(kind, content, "stop")
        fields["larkpost"] = self._provenance(answer)
        fields["usage"] = {"completion_tokens": len(answer.tokens)}
        return orjson.dumps(fields)

    def chunk_event(self, run: TokenRun) -> bytes:
        """Encodes a token run as an event of a stream."""
        text = _text(run.tokens) if run.offset == 0 else " " + _text(run.tokens)
        content = {"delta": {"content": text}} if self._chat else {"text": text}
        return _event(self._fields(self._chunk_kind(), content, None))

    def final_event(self, answer: Answer) -> bytes:
        """Encodes the last event of a stream, with the length and versions of the answer."""
        content = {"delta": {}} if self._chat else {"text": ""}
        fields = self._fields(self._chunk_kind(), content, "stop")
        fields["larkpost"] = self._provenance(answer)
        fields["usage"] = {"completion_tokens": len(answer.tokens)}
        return _event(fields)

    def _chunk_kind(self) -> str:
        return "chat.completion.chunk" if self._chat else "text_completion"

    def _fields(self, kind: str, content: dict, finish_reason: str | None) -> dict:
        return {
            "id": self._call.request,
            "object": kind,
            "created": self._created,
            "model": self._call.service,
            "choices": [{"index": 0, **content, "finish_reason": finish_reason}],
        }

    def _provenance(self, answer: Answer) -> dict:
        spans = [
            {"version": s.version, "first_token": s.first_token, "count": s.count}
            for s in answer.spans
        ]
        return {"request": self._call.request, "versions": spans}


def _text(tokens) -> str:
    return " ".join(map(str, tokens))


def _event(fields: dict) -> bytes:
    return b"data: " + orjson.dumps(fields) + b"\n\n"
