"""Servers of the relay measurement: an engine that answers at once, and a bare relay."""

import asyncio
import signal
from collections.abc import AsyncIterator

import aiohttp
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, EngineId

SLOTS = 4096


def make_instant_engine(engine: EngineId) -> Starlette:
    """Returns an engine that sends ``max_tokens`` chunks of one token as fast as it can."""
    token = 0

    async def generate(request: Request) -> Response:
        fields = orjson.loads(await request.body())
        chunks = _chunks(fields["attempt"], fields["max_tokens"])
        return StreamingResponse(chunks, media_type="text/event-stream")

    async def report(_request: Request) -> Response:
        fields = {
            "engine": engine,
            "running": 0,
            "waiting": 0,
            "slots": SLOTS,
            "version": 1,
            "leaving": False,
            "token": token,
            "owner": None,
            "swapping": False,
        }
        return Response(orjson.dumps(fields))

    async def order(request: Request) -> Response:
        nonlocal token
        token = orjson.loads(await request.body())["token"]
        return Response(b"{}")

    async def cancel(_request: Request) -> Response:
        return Response(status_code=204)

    return Starlette(
        routes=[
            Route("/v1/generate", generate, methods=["POST"]),
            Route("/v1/report", report, methods=["GET"]),
            Route("/v1/orders", order, methods=["POST"]),
            Route("/v1/attempts/{attempt}", cancel, methods=["DELETE"]),
        ]
    )


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
    """Returns a relay of the same libraries with no logic: body in, stream out."""

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
    await _run(HttpServer(make_instant_engine(engine), listen))


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
