"""A fake server that records on standard output what it ran, for the invariant checker.

Run as ``python -m tests.process_soak.server_program`` with its listen address, the store's address,
and the arguments that `server_arguments` returns; the address in its entry is that of a proxy.
"""

import asyncio
import os
import sys
import time
from collections.abc import AsyncIterator

import orjson
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from larkpost.common.http_server import HttpServer
from larkpost.common.ids import Address, InstanceId, ZoneId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.platform import names
from larkpost.platform.stand_in.engine_state import EngineState
from larkpost.platform.stand_in.programs import keep_listed, read_server
from larkpost.platform.stand_in.rows import StandInServer
from larkpost.platform.stand_in.server_app import ServerApp
from tests.process_soak.kept_connections import STREAM_PREFIX
from tests.process_soak.records import (
    CRASHING_PAGE,
    FAILING_CALL,
    LATE_ORDERS_CALL,
    SLOW_CALL,
    RecordKind,
    write_record,
)

LATE_SECONDS = 2.0
CRASH_SECONDS = 0.08
STREAM_EVENTS, STREAM_EVENT_SECONDS = 15, 0.1
UNANSWERED_RECHECK_SECONDS = 30.0


class RecordingServerApp(ServerApp):
    """A fake server that records its runs, responses and orders, and may fail all pages."""

    def __init__(self, instance: InstanceId, state: EngineState, zone: ZoneId) -> None:
        super().__init__(instance, state)
        self._zone = zone
        self._failing = False
        self._late_orders = False
        self._late: set[asyncio.Task] = set()

    def app(self):
        """Returns the application."""
        app = super().app()
        app.router.routes.insert(0, Route(FAILING_CALL, self._fail, methods=["POST"]))
        app.router.routes.insert(0, Route(LATE_ORDERS_CALL, self._delay_orders, methods=["POST"]))
        app.router.routes.insert(0, Route(SLOW_CALL, self._set_speed, methods=["POST"]))
        return app

    async def _fail(self, request: Request) -> Response:
        self._failing = (await request.body()) == b"1"
        return Response()

    async def _set_speed(self, request: Request) -> Response:
        self._state.event_seconds = float(await request.body())
        return Response()

    async def _delay_orders(self, request: Request) -> Response:
        self._late_orders = (await request.body()) == b"1"
        return Response()

    async def _serve(self, request: Request) -> Response:
        began = time.monotonic()
        if request.url.path.rpartition("/")[2].startswith(CRASHING_PAGE):
            await self._crash(request)
        if request.url.path.startswith(STREAM_PREFIX):
            return self._stream(request, began)
        runs = len(self._state.runs)
        response = await super()._serve(request)
        if len(self._state.runs) == runs:
            return response  # refused
        name = request.headers[names.REQUEST_ID.decode()]
        signature = f"{self._instance}.{len(self._state.runs)}.{name}"
        response.headers[names.SERVER_SIGNATURE.decode()] = signature
        if self._failing and not self._state.versions:
            response.status_code = 500
        write_record(
            RecordKind.RUN,
            request=name,
            path=request.url.path,
            began=began,
            signature=signature,
            status=response.status_code,
            tenant=request.headers.get(names.TENANT.decode()),
            zone=self._zone,
        )
        return response

    def _stream(self, request: Request, began: float) -> Response:
        """Responds with a stream of events, of which the last may be far off."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        name = request.headers[names.REQUEST_ID.decode()]
        headers = {
            names.REQUEST_ID.decode(): name,
            names.SERVER_SIGNATURE.decode(): f"{self._instance}.{name}",
        }
        write_record(
            RecordKind.RUN,
            request=name,
            path=request.url.path,
            began=began,
            signature=headers[names.SERVER_SIGNATURE.decode()],
            status=200,
            tenant=request.headers.get(names.TENANT.decode()),
            zone=self._zone,
        )
        return StreamingResponse(
            self._stream_events(), headers=headers, media_type="text/event-stream"
        )

    async def _stream_events(self) -> AsyncIterator[bytes]:
        self._state.running += 1
        try:
            for number in range(STREAM_EVENTS):
                await asyncio.sleep(STREAM_EVENT_SECONDS)
                yield b"id: %d\ndata: event\n\n" % number
        finally:
            self._state.running -= 1

    async def _crash(self, request: Request) -> None:
        """Exits the process after a short delay without a response, as in a crash."""
        refusal = self._refusal(request)
        if refusal is not None:
            return
        name = request.headers[names.REQUEST_ID.decode()]
        write_record(RecordKind.CRASH, request=name, path=request.url.path)
        await asyncio.sleep(CRASH_SECONDS)
        os._exit(1)

    async def _events(self, request_id: str, after: int, model: ModelName) -> AsyncIterator[bytes]:
        async for event in super()._events(request_id, after, model):
            yield event
        write_record(RecordKind.WHOLE, request=request_id)

    async def _order(self, request: Request) -> Response:
        if self._is_misdirected(request):
            return await super()._order(request)  # refused: it was meant for an earlier instance
        document = orjson.loads(await request.body())
        write_record(
            RecordKind.ORDER,
            instance=self._instance,
            holder=document["holder"],
            token=document["fence"],
        )
        if self._late_orders:
            task = asyncio.create_task(self._order_later(request))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(UNANSWERED_RECHECK_SECONDS)  # the sender's timeout is shorter
            return Response(status_code=503)
        return await super()._order(request)

    async def _order_later(self, request: Request) -> None:
        await asyncio.sleep(LATE_SECONDS)
        await super()._order(request)


async def serve(server: StandInServer, own: Address, store: Address) -> None:
    """Serves at its own address and keeps the entry with the proxy's address in the store."""
    state = EngineState(slots=server.slots, versions=dict(server.versions))
    app = RecordingServerApp(server.id, state, server.zone).app()
    await HttpServer(app, own).start()
    await keep_listed(server, state, store)


if __name__ == "__main__":
    own, store, *server = sys.argv[1:]
    asyncio.run(serve(read_server(server), Address(own), Address(store)))
