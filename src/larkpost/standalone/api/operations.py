"""HTTP routes for operators, monitoring and other daemons."""

import uuid

import orjson
from prometheus_client import generate_latest
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from larkpost.common.ids import EngineId
from larkpost.standalone.api.responses import (
    JSON,
    Endpoint,
    json_response,
    read_document,
    with_errors,
)
from larkpost.standalone.config.intent import Intent
from larkpost.standalone.config.plan import Plan, make_plan, pool_of
from larkpost.standalone.daemon import Daemon
from larkpost.standalone.wire.http_peer import PEER_PATH
from larkpost.standalone.wire.peer import PeerMethod


class OperationRoutes:
    """Serves intents, status, drains, metrics, health checks and requests of other daemons."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    def _guard(self, endpoint: Endpoint) -> Endpoint:
        return with_errors(endpoint, self._daemon.telemetry)

    def routes(self) -> list[Route]:
        """Returns the routes."""
        return [
            Route("/v1/intent", self._guard(self._get_intent), methods=["GET"]),
            Route("/v1/intent/plan", self._guard(self._plan_intent), methods=["POST"]),
            Route("/v1/intent/confirm", self._guard(self._confirm_plan), methods=["POST"]),
            Route("/v1/status", self._guard(self._status), methods=["GET"]),
            Route("/v1/engines/{engine}/drain", self._guard(self._drain), methods=["POST"]),
            Route("/metrics", self._metrics, methods=["GET"]),
            Route("/healthz", self._health, methods=["GET"]),
            Route("/readyz", self._ready, methods=["GET"]),
            Route(PEER_PATH + "{method}", self._handle_peer_request, methods=["POST"]),
        ]

    async def _get_intent(self, _request: Request) -> Response:
        state = self._daemon.board.configuration
        fields = {
            "epoch": state.epoch,
            "plan_id": state.plan_id,
            "intent": state.intent.model_dump(mode="json"),
        }
        return Response(orjson.dumps(fields), media_type=JSON)

    async def _plan_intent(self, request: Request) -> Response:
        self._daemon.readiness.check()
        wanted = await read_document(request, Intent)
        state = self._daemon.board.configuration
        engines = self._daemon.board.engines.entries()
        plan = make_plan(state.intent, state.epoch, wanted, engines, uuid.uuid4().hex)
        return json_response(plan)

    async def _confirm_plan(self, request: Request) -> Response:
        self._daemon.readiness.check()
        plan = await read_document(request, Plan)
        return json_response(await self._daemon.configuration.confirm(plan))

    async def _status(self, _request: Request) -> Response:
        return Response(orjson.dumps(describe_status(self._daemon)), media_type=JSON)

    async def _drain(self, request: Request) -> Response:
        self._daemon.directory.drain(EngineId(request.path_params["engine"]))
        return Response(status_code=204)

    async def _metrics(self, _request: Request) -> Response:
        return PlainTextResponse(generate_latest(self._daemon.telemetry.registry))

    async def _health(self, _request: Request) -> Response:
        return PlainTextResponse("alive\n")

    async def _ready(self, _request: Request) -> Response:
        status = 200 if self._daemon.readiness.admits_work else 503
        return PlainTextResponse(f"{self._daemon.board.phase}\n", status)

    async def _handle_peer_request(self, request: Request) -> Response:
        try:
            method = PeerMethod(request.path_params["method"])
        except ValueError:
            return PlainTextResponse("unknown method\n", 404)
        payload = await request.body()
        answer = await self._daemon.handlers[method](payload)
        return Response(answer, media_type="application/x-protobuf")


def describe_status(daemon: Daemon) -> dict:
    """Returns a daemon's view of the fleet, as fields of a JSON document."""
    board = daemon.board
    assigned = board.configuration.intent.assigned_pools()
    return {
        "daemon": board.members.own.id,
        "zone": board.members.own.zone,
        "phase": board.phase,
        "admits": daemon.readiness.admits_work,
        "epoch": board.configuration.epoch,
        "open_batches": len(daemon.batches),
        "members": [
            {"id": m.id, "zone": m.zone, "state": m.state.name.lower()}
            for m in sorted([*board.members.others(), board.members.own], key=lambda m: m.id)
        ],
        "engines": [
            _describe_engine(daemon, info.id, pool_of(info, assigned))
            for info in sorted(board.engines.entries(), key=lambda info: info.id)
        ],
        "policies": dict(board.policy_versions),
    }


def _describe_engine(daemon: Daemon, engine: EngineId, pool: str) -> dict:
    board = daemon.board
    load = board.engines.loads.get(engine)
    info = board.engines.directory[engine]
    return {
        "id": engine,
        "zone": info.zone,
        "pool": pool,
        "owner": daemon.ownership.owner_of(info),
        "leaving": board.engines.is_leaving(engine),
        "version": load.version if load else None,
        "running": load.running if load else None,
        "waiting": load.waiting if load else None,
        "slots": load.slots if load else None,
    }
