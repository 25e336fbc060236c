"""The platform's store API over an in-memory store."""

import base64
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from larkpost.common.clock import Clock
from larkpost.gateway.store.port import (
    HistoryLostError,
    Row,
    RowKey,
    RowPage,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
)
from larkpost.platform import names
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient

WRITE_STATUSES = {
    WriteOutcome.DONE: 200,
    WriteOutcome.CONFLICT: 412,
    WriteOutcome.THROTTLED: 429,
    WriteOutcome.NOT_DONE: 503,
}


class StoreApp:
    """Serves the store's API."""

    def __init__(self, store: MemoryStore, clock: Clock) -> None:
        self._client = StoreClient(store)
        self._clock = clock
        self._highest_token = 0

    def app(self) -> Starlette:
        """Returns the application; it also accepts usage reports."""
        return Starlette(
            routes=[
                Route(names.USAGE_PATH, self._accept_usage, methods=["POST"]),
                Route(names.TRANSACTION_PATH, self._write, methods=["POST"]),
                Route(names.READ_PATH, self._read),
                Route(names.FEED_PATH, self._changes),
            ]
        )

    async def _accept_usage(self, request: Request) -> Response:
        token = int(request.headers[names.FENCING_TOKEN.decode()])
        if token < self._highest_token:
            return Response(status_code=409)
        self._highest_token = token
        return Response()

    async def _write(self, request: Request) -> Response:
        document = orjson.loads(await request.body())
        transaction = Transaction(
            conditions=tuple((_key(entry), entry["ver"]) for entry in document["expected"]),
            puts=tuple(
                (_key(entry), base64.b64decode(entry["value"])) for entry in document["put"]
            ),
            removals=tuple(_key(entry) for entry in document["remove"]),
        )
        result = await self._client.write(transaction, 1.0)
        if result.outcome is WriteOutcome.UNKNOWN:
            return Response(status_code=500)
        fields = {"ver": result.version, "rows": [_document(row) for row in result.rows]}
        return self._json_response(WRITE_STATUSES[result.outcome], fields)

    async def _read(self, request: Request) -> Response:
        query = request.query_params
        try:
            page = await self._client.read(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("target-version", ""),
                int(query.get("limit", 0)),
            )
        except StoreUnavailableError:
            return Response(status_code=503)
        return self._page(page)

    async def _changes(self, request: Request) -> Response:
        query = request.query_params
        wait = int(query.get("wait-ms", 0)) / 1000
        try:
            page = await self._client.changes(query["table"], int(query["after-rev"]), wait)
        except HistoryLostError:
            return Response(status_code=410)
        except StoreUnavailableError:
            return Response(status_code=503)
        return self._page(page)

    def _page(self, page: RowPage) -> Response:
        rows = [_document(row) for row in page.rows]
        return self._json_response(200, {"rows": rows, "more": page.more, "ver": page.version})

    def _json_response(self, status: int, fields: dict[str, Any]) -> Response:
        content = orjson.dumps(fields | {"now_ms": int(self._clock.now() * 1000)})
        return Response(content, status_code=status, media_type="application/json")


def _key(entry: dict[str, Any]) -> RowKey:
    return RowKey(entry["table"], entry.get("part", ""), entry["key"])


def _document(row: Row) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "table": row.key.table,
        "part": row.key.part,
        "key": row.key.key,
        "ver": row.version,
    }
    if row.removed:
        return fields | {"gone": True}
    return fields | {"value": base64.b64encode(row.value).decode()}
