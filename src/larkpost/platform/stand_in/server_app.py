"""A fake server over HTTP: a model engine, or a server of pages."""

import asyncio
from collections.abc import AsyncIterator

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.servers.port import OrderOutcome, VersionOrder
from larkpost.platform import names
from larkpost.platform.stand_in.engine_state import EngineState, expected_output, handle_order

PAGE_SECONDS = 0.02
STATUSES = {
    OrderOutcome.TAKEN: 202,
    OrderOutcome.HOLDS: 200,
    OrderOutcome.BUSY: 409,
    OrderOutcome.FENCED: 412,
}


class ServerApp:
    """Serves requests, orders and reports."""

    def __init__(self, instance: InstanceId, state: EngineState) -> None:
        self._instance = instance
        self._state = state

    def app(self) -> Starlette:
        """Returns the application."""
        return Starlette(
            routes=[
                Route(names.REPORT_PATH, self._report),
                Route(names.ORDER_PATH, self._order, methods=["POST"]),
                Route("/{rest:path}", self._serve, methods=["GET", "POST"]),
            ]
        )

    async def _serve(self, request: Request) -> Response:
        if names.API_KEY.decode() in request.headers:
            return Response("a key was passed on", status_code=400)
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        request_id = request.headers[names.REQUEST_ID.decode()]
        self._state.runs.append(request_id)
        headers = {
            names.REQUEST_ID.decode(): request_id,
            names.SERVER_SIGNATURE.decode(): f"{self._instance}.{request_id}",
            names.INSTANCE_LOAD.decode(): f"{self._state.running},0,{self._state.slots}",
        }
        if not self._state.versions:
            await asyncio.sleep(PAGE_SECONDS)
            return Response(f"page for {request_id}", headers=headers)
        model = ModelName(request.headers[names.MODEL.decode()])
        headers[names.WEIGHT_VERSIONS.decode()] = str(self._state.versions[model])
        after = int(request.headers.get(names.LAST_EVENT_ID.decode(), 0))
        events = self._events(request_id, after, model)
        return StreamingResponse(events, headers=headers, media_type="text/event-stream")

    async def _events(self, request_id: str, after: int, model: ModelName) -> AsyncIterator[bytes]:
        output = expected_output(request_id)
        version = self._state.versions[model]
        self._state.running += 1
        try:
            for number in range(after + 1, len(output) + 1):
                await asyncio.sleep(self._state.event_seconds)
                newest = self._state.versions[model]
                change = b""
                if newest != version:
                    change = names.WEIGHT_VERSIONS + b": %d\n" % newest
                    version = newest
                yield change + b"id: %d\ndata: %s\n\n" % (number, output[number - 1])
        finally:
            self._state.running -= 1

    def _refusal(self, request: Request) -> Response | None:
        if self._is_misdirected(request):
            return Response(status_code=421)
        loading = asyncio.get_running_loop().time() < self._state.loading_until
        if loading or self._state.running >= self._state.slots:
            return Response(status_code=503, headers={names.NOT_EXECUTED.decode(): "1"})
        return None

    def _is_misdirected(self, request: Request) -> bool:
        """Returns whether a request is meant for another instance."""
        expected = request.headers.get(names.EXPECT_INSTANCE.decode())
        return expected not in (None, self._instance)

    async def _report(self, _: Request) -> Response:
        state = self._state
        document = {
            "models": [
                {"name": model, "version": version} for model, version in state.versions.items()
            ],
            "busy": asyncio.get_running_loop().time() < state.loading_until,
            "seq": state.orders_accepted,
            "running": state.running,
            "waiting": 0,
        }
        return Response(orjson.dumps(document), media_type="application/json")

    async def _order(self, request: Request) -> Response:
        if self._is_misdirected(request):
            return Response(status_code=421)
        document = orjson.loads(await request.body())
        order = VersionOrder(
            ModelName(document["model"]),
            document["version"],
            document["holder"],
            document["fence"],
            document["expected"],
        )
        now = asyncio.get_running_loop().time()
        return Response(status_code=STATUSES[handle_order(self._state, order, now)])
