"""The client side: translates HTTP requests to larkpost's services and their answers back."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, unquote

import orjson

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import BatchId
from larkpost.gateway.blackboard.configuration import (
    ConfigurationState,
    RequestLimits,
    Route,
    RouteKind,
)
from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.blackboard.tenants import Caller, KeyDigest, TenantName, digest_key
from larkpost.gateway.proxy.admission import Admission, Admitted
from larkpost.gateway.proxy.forwarder import Forwarder
from larkpost.gateway.proxy.request import (
    ClientRequest,
)
from larkpost.gateway.rollouts.model import ItemId
from larkpost.gateway.rollouts.service import BatchService
from larkpost.gateway.servers.port import Headers
from larkpost.platform import names
from larkpost.platform.batches import read_batch, read_position, write_page
from larkpost.platform.http_protocol import OVERSIZED

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)
"""Headers that concern one connection, or that are set anew for each."""

OWN_REQUEST_HEADERS = names.CALLER_HEADERS | {
    b"host",
    b"expect",
    names.REQUEST_ID,
    names.DEADLINE_MS,
}
NOT_FOUND = 404
NOT_ALLOWED = 405
TOO_LARGE = 413
HEAD_TOO_LARGE = 431
BAD_REQUEST = 400
MAX_WAIT_SECONDS = 10.0
TURNS_TO_SEE_A_CLOSE = 4
"""Turns of the event loop from reading the last byte of a request to knowing of a close right
behind it: reading the end, telling the protocol, waking who waits for it, and its answer."""


class ClientLeftError(Exception):
    """The client closed its connection before the answer was whole."""


class StreamCutError(Exception):
    """An answer under way cannot be completed; the connection is closed within it."""


class Ingress:
    """The application behind the address for clients."""

    def __init__(
        self,
        configuration: ConfigurationState,
        lifecycle: Lifecycle,
        admission: Admission,
        forwarder: Forwarder,
        batches: BatchService,
    ) -> None:
        self._configuration = configuration
        self._admission = admission
        self._lifecycle = lifecycle
        self._forwarder = forwarder
        self._batches = batches

    def limits(self) -> RequestLimits:
        """Returns the limits on clients in force."""
        current = self._configuration.current
        return current.limits if current is not None else RequestLimits()

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Answers one request."""
        exchange = Exchange(scope, receive, send, self._lifecycle)
        with self._lifecycle.request():
            try:
                await self._answer(exchange)
            except ClientLeftError:
                return  # nobody is left to be answered
            except LarkpostError as error:
                await exchange.fail(error)

    async def _answer(self, exchange: "Exchange") -> None:
        if exchange.oversized:
            await exchange.reply(HEAD_TOO_LARGE)
            return
        body = await exchange.read_body(self.limits().body_bytes)
        if body is None:
            await exchange.reply(TOO_LARGE)
            return
        gone = asyncio.create_task(exchange.wait_for_close())
        try:
            if not exchange.path.startswith(names.OWN_CALLS):
                await _see_close(gone)
            await self._serve_until(gone, exchange, body)
        finally:
            gone.cancel()

    async def _serve_until(self, gone: asyncio.Task, exchange: "Exchange", body: bytes) -> None:
        """Serves a request as long as its client is there.

        Raises:
            ClientLeftError: the client closed its connection; nothing goes on for it.
        """
        work = asyncio.create_task(self._serve(exchange, body))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ClientLeftError
            await work
        finally:
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await work

    async def _serve(self, exchange: "Exchange", body: bytes) -> None:
        if exchange.path.startswith(names.OWN_CALLS):
            await self._serve_batch_call(exchange)
            return
        admitted = self._admit(exchange)
        route = admitted.route
        if route.kind is RouteKind.BATCH:
            await self._submit(exchange, body, admitted.tenant)
        elif route.kind is RouteKind.STREAM:
            await self._stream(exchange, exchange.request(body, admitted), route)
        else:
            request = exchange.request(body, admitted)
            answer = await self._forwarder.forward(request, route)
            await exchange.reply(answer.status, answer.body, answer.headers)

    def _admit(self, exchange: "Exchange") -> Admitted:
        return self._admission.admit(
            exchange.request_id.decode("latin-1"),
            exchange.host_name,
            exchange.path,
            exchange.key,
        )

    async def _submit(self, exchange: "Exchange", body: bytes, tenant: TenantName | None) -> None:
        if exchange.method != "POST":
            await exchange.reply(NOT_ALLOWED)
            return
        try:
            spec = read_batch(exchange.request_id, exchange.host_name, exchange.path, body, tenant)
        except ValueError as error:
            await exchange.reply(BAD_REQUEST, str(error).encode())
            return
        await self._batches.submit(spec)
        await exchange.reply(202)

    async def _serve_batch_call(self, exchange: "Exchange") -> None:
        caller = self._admission.caller(
            exchange.request_id.decode("latin-1"), exchange.host_name, exchange.key
        )
        if exchange.path.startswith(names.BATCH_CALL):
            batch = BatchId(unquote(exchange.path[len(names.BATCH_CALL) :].decode("latin-1")))
            if exchange.method == "GET":
                await self._read_results(exchange, batch, caller)
            elif exchange.method == "DELETE":
                await self._batches.end(batch, caller)
                await exchange.reply(200)
            else:
                await exchange.reply(NOT_ALLOWED)
        elif exchange.path.startswith(names.ITEM_CALL) and exchange.method == "GET":
            batch = BatchId(unquote(exchange.path[len(names.ITEM_CALL) :].decode("latin-1")))
            item = exchange.query.get("id", [""])[0]
            await exchange.reply(200, await self._batches.body(batch, ItemId(item), caller))
        else:
            await exchange.reply(NOT_FOUND)

    async def _read_results(self, exchange: "Exchange", batch: BatchId, caller: Caller) -> None:
        try:
            position = read_position(exchange.query)
        except ValueError as error:
            await exchange.reply(BAD_REQUEST, str(error).encode())
            return
        wait_ms = exchange.whole_header(names.WAIT_MS) or 0
        wait = min(wait_ms / 1000, MAX_WAIT_SECONDS)
        page = await self._batches.read(batch, position, wait, caller)
        await exchange.reply_json(write_page(page))

    async def _stream(self, exchange: "Exchange", request: ClientRequest, route: Route) -> None:
        async with self._forwarder.stream(request, route) as answer:
            await exchange.begin(answer.status, answer.headers)
            async for chunk in answer.chunks():
                await exchange.send_part(chunk)
            await exchange.finish()


async def _see_close(gone: asyncio.Task) -> None:
    """Lets the loop see a close that lies in the socket behind the request.

    A daemon that was busy or frozen reads requests whose clients have given up meanwhile.

    Raises:
        ClientLeftError: the client has closed its connection.
    """
    for _ in range(TURNS_TO_SEE_A_CLOSE):
        await asyncio.sleep(0)
    if gone.done():
        raise ClientLeftError


class Exchange:
    """One request and its answer."""

    def __init__(self, scope: dict, receive: Receive, send: Send, lifecycle: Lifecycle) -> None:
        self._scope = scope
        self._receive = receive
        self._send = send
        self._lifecycle = lifecycle
        self._started = False
        self.received_at = asyncio.get_running_loop().time()
        self.method: str = scope["method"]
        self.path: bytes = scope["raw_path"]
        self.headers: Headers = tuple(scope["headers"])
        self.request_id = self.header(names.REQUEST_ID)

    @property
    def oversized(self) -> bool:
        """Whether the head is larger than allowed."""
        return bool(self._scope.get("state", {}).get(OVERSIZED))

    @property
    def host(self) -> bytes:
        """The host header as sent."""
        return self.header(b"host")

    @property
    def host_name(self) -> str:
        """The host without its port, in lower case."""
        return self.host.decode("latin-1").partition(":")[0].lower()

    @property
    def key(self) -> KeyDigest | None:
        """The digest of the caller's key; None if there is none, or several that differ."""
        keys = {value for name, value in self.headers if name == names.API_KEY}
        return digest_key(keys.pop()) if len(keys) == 1 else None

    @property
    def query(self) -> dict[str, list[str]]:
        """The parameters of the query."""
        return parse_qs(self._scope["query_string"].decode("latin-1"))

    def header(self, name: bytes) -> bytes:
        """Returns a header's first value; empty if it is not there."""
        return next((value for key, value in self.headers if key == name), b"")

    def whole_header(self, name: bytes) -> int | None:
        """Returns a header's value as a whole number, or None."""
        text = self.header(name)
        return int(text) if text.isdigit() else None

    def request(self, body: bytes, admitted: Admitted) -> ClientRequest:
        """Returns the request as it is to be forwarded."""
        query = self._scope["query_string"]
        deadline_ms = self.whole_header(names.DEADLINE_MS)
        return ClientRequest(
            request_id=self.request_id,
            method=self.method,
            host=self.host,
            target=self.path + (b"?" + query if query else b""),
            headers=tuple(
                (name, value)
                for name, value in self.headers
                if name not in CONNECTION_HEADERS and name not in OWN_REQUEST_HEADERS
            ),
            body=body,
            received_at=self.received_at,
            time_left=deadline_ms / 1000 if deadline_ms is not None else None,
            tenant=admitted.tenant,
            regions=admitted.regions,
        )

    async def read_body(self, limit: int) -> bytes | None:
        """Returns the whole body, or None if it is larger than ``limit`` bytes.

        Raises:
            ClientLeftError: the client closed its connection.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise ClientLeftError
            size += len(message.get("body", b""))
            if size > limit:
                return None
            parts.append(message.get("body", b""))
            if not message.get("more_body", False):
                return b"".join(parts)

    async def wait_for_close(self) -> None:
        """Returns once the client has closed its connection, or the answer is complete."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def reply(
        self,
        status: int,
        body: bytes = b"",
        headers: Headers = (),
        retry_after: float | None = None,
    ) -> None:
        """Sends a whole answer."""
        own: list[tuple[bytes, bytes]] = [(b"content-length", str(len(body)).encode())]
        if retry_after is not None:
            own.append((b"retry-after", f"{retry_after:g}".encode()))
        if not headers and self.request_id:
            own.append((names.REQUEST_ID, self.request_id))
        await self._start(status, headers, own)
        await self._send({"type": "http.response.body", "body": body})

    async def reply_json(self, document: object) -> None:
        """Sends a document as a whole answer."""
        headers = ((b"content-type", b"application/json"), (names.REQUEST_ID, self.request_id))
        await self.reply(200, orjson.dumps(document), headers)

    async def fail(self, error: LarkpostError) -> None:
        """Answers with an error, or cuts an answer that is under way."""
        if self._started:
            raise StreamCutError(error.message)
        text = f"{error.code}: {error.message}. {error.remedy}".encode()
        await self.reply(error.status, text, retry_after=error.retry_after)

    async def begin(self, status: int, headers: Headers) -> None:
        """Starts an answer whose length is not known."""
        await self._start(status, headers, [])

    async def send_part(self, content: bytes) -> None:
        """Sends a part of a started answer."""
        await self._send({"type": "http.response.body", "body": content, "more_body": True})

    async def finish(self) -> None:
        """Ends a started answer."""
        await self._send({"type": "http.response.body", "body": b""})

    async def _start(self, status: int, headers: Headers, own: list[tuple[bytes, bytes]]) -> None:
        passed = [
            (name.lower(), value)
            for name, value in headers
            if name.lower() not in CONNECTION_HEADERS
        ]
        if self._lifecycle.stopping:
            own.append((b"connection", b"close"))
        self._started = True
        await self._send({"type": "http.response.start", "status": status, "headers": passed + own})
