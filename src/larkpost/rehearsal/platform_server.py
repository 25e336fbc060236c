"""The stand-in platform as an HTTP server with fault switches."""

import asyncio
import base64
import signal
from collections.abc import Awaitable, Callable

import orjson
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.gzip import GZipMiddleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, EngineId, PolicyId, PoolId, ZoneId
from larkpost.rehearsal.platform_model import (
    PlatformDownError,
    PlatformModel,
    RateLimitedError,
    ResponseLostError,
)
from larkpost.standalone.table_service.ports import MachineEntry

LOST_RESPONSE_SECONDS = 30.0
"""Delay of the response to a request whose answer is lost."""


def make_platform_app(model: PlatformModel) -> Starlette:
    """Returns the HTTP application that serves a platform model."""
    routes = _PlatformRoutes(model)
    return Starlette(
        routes=[
            Route("/table", _guarded(routes.read), methods=["GET"]),
            Route("/table", _guarded(routes.compare_and_set), methods=["POST"]),
            Route("/objects/{key:path}", _guarded(routes.put_object), methods=["PUT"]),
            Route("/objects/{key:path}", _guarded(routes.get_object), methods=["GET"]),
            Route("/weights/{policy}/{version:int}", _guarded(routes.weights), methods=["GET"]),
            Route("/weights/{policy}/{version:int}", routes.publish, methods=["PUT"]),
            Route("/machines", _guarded(routes.machines), methods=["GET"]),
            Route("/machines/{engine}", routes.list_machine, methods=["PUT"]),
            Route("/machines/{engine}/leaving", routes.leaving, methods=["POST"]),
            Route("/faults", routes.set_faults, methods=["POST"]),
        ],
        middleware=[Middleware(GZipMiddleware, minimum_size=1000, compresslevel=1)],
    )


class _PlatformRoutes:
    def __init__(self, model: PlatformModel) -> None:
        self._model = model

    async def read(self, request: Request) -> Response:
        row = await self._model.read(request.query_params["key"])
        if row is None:
            return _json({"version": 0, "value": ""})
        return _json({"version": row.version, "value": base64.b64encode(row.value).decode()})

    async def compare_and_set(self, request: Request) -> Response:
        fields = orjson.loads(await request.body())
        value = base64.b64decode(fields["value"])
        written = await self._model.compare_and_set(
            fields["key"], fields["expected_version"], value
        )
        return _json({"written": written})

    async def put_object(self, request: Request) -> Response:
        await self._model.put_object(request.path_params["key"], await request.body())
        return Response(status_code=204)

    async def get_object(self, request: Request) -> Response:
        value = await self._model.get_object(request.path_params["key"])
        return Response(value) if value is not None else Response(status_code=404)

    async def weights(self, request: Request) -> Response:
        policy = PolicyId(request.path_params["policy"])
        known = await self._model.fetch_weights(policy, request.path_params["version"])
        return Response(status_code=200 if known else 404)

    async def publish(self, request: Request) -> Response:
        policy = PolicyId(request.path_params["policy"])
        self._model.publish_weights(policy, request.path_params["version"])
        return Response(status_code=204)

    async def machines(self, request: Request) -> Response:
        zone = request.query_params.get("zone")
        entries = await self._model.machines(ZoneId(zone) if zone else None)
        return _json({"machines": entries})

    async def list_machine(self, request: Request) -> Response:
        fields = orjson.loads(await request.body())
        entry = MachineEntry(
            EngineId(request.path_params["engine"]),
            ZoneId(fields["zone"]),
            Address(fields["address"]),
            PoolId(fields["pool"]),
            leaving=False,
            revision=0,
        )
        self._model.list_machine(entry, lag=0.0)
        return Response(status_code=204)

    async def leaving(self, request: Request) -> Response:
        self._model.mark_leaving(EngineId(request.path_params["engine"]))
        return Response(status_code=204)

    async def set_faults(self, request: Request) -> Response:
        for name, value in orjson.loads(await request.body()).items():
            if not hasattr(self._model.faults, name):
                return Response(f"unknown fault {name!r}\n", 400)
            setattr(self._model.faults, name, value)
        return Response(status_code=204)


async def run_platform(listen: Address, model: PlatformModel) -> None:
    """Runs the platform until SIGTERM."""
    server = HttpServer(make_platform_app(model), listen)
    await server.start()
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await server.close()


def _json(fields: dict) -> Response:
    return Response(orjson.dumps(fields), media_type="application/json")


def _guarded(
    endpoint: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    async def guarded(request: Request) -> Response:
        try:
            return await endpoint(request)
        except RateLimitedError:
            return Response("rate limit\n", 429)
        except PlatformDownError:
            return Response("down\n", 503)
        except ResponseLostError:
            await asyncio.sleep(LOST_RESPONSE_SECONDS)
            return Response("lost\n", 504)

    return guarded
