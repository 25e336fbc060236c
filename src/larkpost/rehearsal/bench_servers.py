"""Servers of the benchmark: an engine that responds immediately, and a bare relay."""

import asyncio
import signal
from collections.abc import AsyncIterator
from dataclasses import asdict

import aiohttp
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, EngineId
from larkpost.standalone.engines.port import EngineReport

SLOTS = 4096


class InstantEngine:
    """An engine that sends ``max_tokens`` chunks of one token as fast as it can."""

    def __init__(self, engine: EngineId) -> None:
        self._engine = engine
        self._token = 0

    def app(self) -> Starlette:
        """Returns the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/generate", self._generate, methods=["POST"]),
                Route("/v1/report", self._report, methods=["GET"]),
                Route("/v1/orders", self._order, methods=["POST"]),
                Route("/v1/attempts/{attempt}", self._cancel, methods=["DELETE"]),
            ]
        )

    async def _generate(self, request: Request) -> Response:
        fields = orjson.loads(await request.body())
        chunks = _chunks(fields["attempt"], fields["max_tokens"])
        return StreamingResponse(chunks, media_type="text/event-stream")

    async def _report(self, _request: Request) -> Response:
        report = EngineReport(
            engine=self._engine,
            running=0,
            waiting=0,
            slots=SLOTS,
            version=1,
            leaving=False,
            token=self._token,
            owner=None,
            swapping=False,
        )
        return Response(orjson.dumps(asdict(report)))

    async def _order(self, request: Request) -> Response:
        self._token = orjson.loads(await request.body())["token"]
        return Response(b"{}")

    async def _cancel(self, _request: Request) -> Response:
        return Response(status_code=204)


async def _chunks(attempt: str, count: int) -> AsyncIterator[bytes]:
    for index in range(count):
        total = count if index == count - 1 else None
        fields = {
            "attempt": attempt,
            "offset": index,
            "tokens": [index],
            "version": 1,
            "total": total,
        }
        yield b"data: " + orjson.dumps(fields) + b"\n\n"


def make_bare_relay(engine: Address, session: aiohttp.ClientSession) -> Starlette:
    """Returns a relay without logic: it forwards the body and streams the response back."""

    async def relay(request: Request) -> Response:
        body = await request.body()
        upstream = await session.post(f"http://{engine}/v1/generate", data=body)

        async def copy() -> AsyncIterator[bytes]:
            async with upstream:
                async for data in upstream.content.iter_any():
                    yield data

        return StreamingResponse(copy(), media_type="text/event-stream")

    return Starlette(routes=[Route("/v1/generate", relay, methods=["POST"])])


async def run_instant_engine(engine: EngineId, listen: Address) -> None:
    """Runs the engine until SIGTERM."""
    await _run(HttpServer(InstantEngine(engine).app(), listen))


async def run_bare_relay(listen: Address, engine: Address) -> None:
    """Runs the relay until SIGTERM."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await _run(HttpServer(make_bare_relay(engine, session), listen))


async def _run(server: HttpServer) -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await server.start()
    await stop.wait()
    await server.close()
