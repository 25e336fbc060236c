"""The stand-in engine as an HTTP server, with fault switches and a record of attempts on stdout."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import asdict

import aiohttp
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, AttemptId, EngineId, PolicyId
from larkpost.rehearsal.engine_model import EngineModel
from larkpost.rehearsal.engine_types import (
    EngineRecord,
    EngineShape,
    QueueFullError,
    StaleOrderError,
    StreamCutError,
    UnknownAttemptError,
)
from larkpost.standalone.engines.port import EngineChunk, GenerateRequest, Order, OrderKind

RETRY_AFTER_FULL = 0.5
STOP_POLL = 0.05


class EngineServer:
    """Serves one `EngineModel` over HTTP."""

    def __init__(self, engine: EngineId, platform: Address, shape: EngineShape) -> None:
        self._platform = platform
        self._session = aiohttp.ClientSession()
        self.model = EngineModel(engine, shape, self._fetch_weights, self._write_record)

    def app(self) -> Starlette:
        """Returns the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/generate", self._generate, methods=["POST"]),
                Route("/v1/attempts/{attempt}", self._resume, methods=["GET"]),
                Route("/v1/attempts/{attempt}", self._cancel, methods=["DELETE"]),
                Route("/v1/report", self._report, methods=["GET"]),
                Route("/v1/orders", self._order, methods=["POST"]),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/leave", self._leave, methods=["POST"]),
                Route("/crash", self._crash, methods=["POST"]),
            ]
        )

    async def close(self) -> None:
        """Stops the engine and closes the HTTP session to the platform."""
        self.model.stop()
        await self._session.close()

    async def _fetch_weights(self, policy: PolicyId, version: int) -> bool:
        url = f"http://{self._platform}/weights/{policy}/{version}"
        limit = aiohttp.ClientTimeout(total=10)
        for _ in range(20):
            try:
                async with self._session.get(url, timeout=limit) as response:
                    if response.status == 200:
                        return True
                    if response.status != 429:
                        return False
            except (aiohttp.ClientError, TimeoutError):
                return False
            await asyncio.sleep(0.2)
        return False

    def _write_record(self, record: EngineRecord) -> None:
        line = {"engine": self.model.id, "request": record.request, "attempt": record.attempt}
        sys.stdout.write(orjson.dumps(line).decode() + "\n")
        sys.stdout.flush()

    async def _generate(self, request: Request) -> Response:
        fields = orjson.loads(await request.body())
        fields["prefix"] = tuple(fields["prefix"])
        generate = GenerateRequest(**fields)
        await self.model.wait_while_frozen()
        try:
            self.model.submit(generate)
        except QueueFullError as error:
            refusal = {
                "attempt": generate.attempt,
                "ran": False,
                "error": str(error),
                "retry_after": RETRY_AFTER_FULL,
            }
            return Response(orjson.dumps(refusal), 429)
        return self._stream_response(generate.attempt, len(generate.prefix))

    async def _resume(self, request: Request) -> Response:
        offset = int(request.query_params.get("offset", "0"))
        return self._stream_response(AttemptId(request.path_params["attempt"]), offset)

    def _stream_response(self, attempt: AttemptId, offset: int) -> Response:
        return StreamingResponse(self._events(attempt, offset), media_type="text/event-stream")

    async def _events(self, attempt: AttemptId, offset: int) -> AsyncIterator[bytes]:
        try:
            async for chunk in self.model.stream(attempt, offset):
                yield _event(chunk)
        except UnknownAttemptError:
            return
        except StreamCutError:
            yield b'data: {"attempt":'
            raise

    async def _cancel(self, request: Request) -> Response:
        self.model.cancel(AttemptId(request.path_params["attempt"]))
        return Response(status_code=204)

    async def _report(self, _request: Request) -> Response:
        await self.model.wait_while_frozen()
        return Response(orjson.dumps(asdict(self.model.report())))

    async def _order(self, request: Request) -> Response:
        fields = orjson.loads(await request.body())
        fields["kind"] = OrderKind(fields["kind"])
        await self.model.wait_while_frozen()
        try:
            self.model.handle_order(Order(**fields))
        except StaleOrderError:
            return Response(orjson.dumps({"token": self.model.token}), 412)
        return Response(b"{}")

    async def _set_faults(self, request: Request) -> Response:
        fields = orjson.loads(await request.body())
        freeze = fields.pop("freeze_seconds", 0.0)
        for name, value in fields.items():
            if not hasattr(self.model.faults, name):
                return Response(f"unknown fault {name!r}\n", 400)
            setattr(self.model.faults, name, value)
        if freeze:
            self.model.faults.frozen_until = asyncio.get_running_loop().time() + freeze
        return Response(status_code=204)

    async def _leave(self, _request: Request) -> Response:
        self.model.leaving = True
        return Response(status_code=204)

    async def _crash(self, _request: Request) -> Response:
        os._exit(1)


async def run_engine(
    engine: EngineId, listen: Address, platform: Address, shape: EngineShape
) -> None:
    """Runs the engine until SIGTERM; then it reports that it is leaving and exits once idle."""
    server = EngineServer(engine, platform, shape)
    listener = HttpServer(server.app(), listen)
    await listener.start()
    server.model.start()
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    server.model.leaving = True
    while server.model.busy:
        await asyncio.sleep(STOP_POLL)
    await listener.close()
    await server.close()


def _event(chunk: EngineChunk) -> bytes:
    return b"data: " + orjson.dumps(chunk) + b"\n\n"
