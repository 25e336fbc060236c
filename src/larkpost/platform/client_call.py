"""A client's request: parses its head, reads its body, and waits for the client's disconnect."""

import asyncio
from urllib.parse import parse_qs

from larkpost.common.errors import LarkpostError
from larkpost.gateway.blackboard.tenants import KeyDigest, digest_key
from larkpost.gateway.memory.budget import SMALL_BODY_BYTES, MemoryPurpose
from larkpost.gateway.memory.daemon_memory import RequestMemory
from larkpost.gateway.memory.delivery import ClientConnection
from larkpost.gateway.memory.slow_clients import STALLED_SECONDS
from larkpost.gateway.proxy.admission import AdmittedCall
from larkpost.gateway.proxy.request import ClientRequest
from larkpost.gateway.servers.port import Headers
from larkpost.platform import asgi, names
from larkpost.platform.asgi import Receive
from larkpost.platform.http_protocol import CLIENT_CONNECTION, OVERSIZED

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
"""Headers that apply to one connection: hop-by-hop headers and ``Content-Length``."""

OWN_REQUEST_HEADERS = names.CALLER_HEADERS | {
    b"host",
    b"expect",
    names.REQUEST_ID,
    names.DEADLINE_MS,
}
"""Request headers that are not forwarded: larkpost reads them itself or sets its own values."""


MIN_BODY_BYTES_PER_SECOND = 50_000.0
"""Minimum average rate at which a large body must arrive, as its memory stays reserved until then.
The rate counts from the arrival of the head and is enforced after `STALLED_SECONDS`."""


class BodyStalledError(LarkpostError):
    """The request's body stalled or arrived too slowly; the request is not executed."""

    code = "body_stalled"
    status = 408
    remedy = "Send the whole body without long pauses."


class ClientCall:
    """One request of a client.

    Attributes:
        received_at: event loop time at which the head had been read, in seconds.
        path: the encoded path as sent.
        headers: lower-case names and values, in the order in which they were sent.
        request_id: the caller's id of this attempt; empty if it sent none.
        memory: memory reserved for the request.
    """

    def __init__(self, scope: dict, receive: Receive, memory: RequestMemory) -> None:
        self._scope = scope
        self._receive = receive
        self.received_at = asyncio.get_running_loop().time()
        self.method: str = scope["method"]
        self.path: bytes = scope["raw_path"]
        self.headers: Headers = tuple(scope["headers"])
        self.request_id = self.header(names.REQUEST_ID)
        self.memory = memory
        memory.owner = self.request_id_text
        self._is_body_requested = False
        self._body_bytes = 0

    @property
    def is_head_too_large(self) -> bool:
        """Whether the head exceeds the size limit."""
        return bool(self._scope.get("state", {}).get(OVERSIZED))

    @property
    def client_connection(self) -> ClientConnection | None:
        """The connection to which the response is written; None if unknown."""
        return self._scope.get("state", {}).get(CLIENT_CONNECTION)

    @property
    def expects_continue(self) -> bool:
        """Whether the client sends its body only after a ``100 Continue`` that is not sent yet."""
        return not self._is_body_requested and self.header(b"expect").lower() == b"100-continue"

    @property
    def host(self) -> bytes:
        """The host header as sent."""
        return self.header(b"host")

    @property
    def host_name(self) -> str:
        """The host without its port, in lower case."""
        return self.host.decode("latin-1").partition(":")[0].lower()

    @property
    def request_id_text(self) -> str:
        """The request id as text."""
        return self.request_id.decode("latin-1")

    @property
    def key(self) -> KeyDigest | None:
        """The digest of the caller's API key; None if there is no key or several different ones."""
        keys = {value for name, value in self.headers if name == names.API_KEY}
        return digest_key(keys.pop()) if len(keys) == 1 else None

    @property
    def query(self) -> dict[str, list[str]]:
        """The parameters of the query."""
        return parse_qs(self._scope["query_string"].decode("latin-1"))

    @property
    def time_left(self) -> float | None:
        """Seconds that the client was still waiting when it sent the head; None if not said."""
        deadline_ms = self.int_header(names.DEADLINE_MS)  # remaining time, not a time of day
        return deadline_ms / 1000 if deadline_ms is not None else None

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header; empty if the header is missing."""
        return next((value for key, value in self.headers if key == name), b"")

    def int_header(self, name: bytes) -> int | None:
        """Returns a header's value as an integer; None if it is missing or not an integer."""
        text = self.header(name)
        return int(text) if text.isdigit() else None

    def to_client_request(self, body: bytes | bytearray, admitted: AdmittedCall) -> ClientRequest:
        """Returns the request to forward."""
        return ClientRequest(
            request_id=self.request_id,
            method=self.method,
            host=self.host,
            target=self._target(),
            headers=self._forwarded_headers(),
            body=body,
            received_at=self.received_at,
            time_left=self.time_left,
            tenant=admitted.tenant,
            regions=admitted.regions,
            memory=self.memory,
        )

    async def read_body(self, limit: int) -> bytes | bytearray | None:
        """Returns the whole body, or None if it is larger than ``limit`` bytes.

        Reserves memory for the declared length before reading. If no length is declared, the
        reservation grows as the body arrives.

        Raises:
            ClientDisconnectedError: the client closed its connection.
            MemoryBudgetError: there is not enough memory for the body now.
            BodyStalledError: the body stalled or arrived too slowly.
        """
        declared = self.int_header(b"content-length")
        if declared is not None and declared > limit:
            return None
        is_large = declared > SMALL_BODY_BYTES if declared is not None else self._is_chunked
        purpose = MemoryPurpose.REQUEST_BODIES if is_large else MemoryPurpose.SMALL_BODIES
        reservation = self.memory.reserve(purpose, declared or 0)
        self._is_body_requested = True
        if not self.memory.is_limited or not is_large:
            return await asgi.read_body(self._receive, limit, reservation)
        return await asgi.read_body(self._receive_before_deadline, limit, reservation)

    @property
    def _is_chunked(self) -> bool:
        return bool(self.header(b"transfer-encoding"))

    async def _receive_before_deadline(self) -> dict:
        """Returns the next part of the body.

        Raises:
            BodyStalledError: it did not arrive in time.
        """
        now = asyncio.get_running_loop().time()
        rate_deadline = self.received_at + max(
            STALLED_SECONDS, self._body_bytes / MIN_BODY_BYTES_PER_SECOND
        )
        try:
            async with asyncio.timeout_at(min(now + STALLED_SECONDS, rate_deadline)):
                message = await self._receive()
        except TimeoutError:
            raise BodyStalledError(
                f"{self._body_bytes} bytes of the body in {now - self.received_at:.1f} s, "
                f"then none in time"
            ) from None
        self._body_bytes += len(message.get("body", b""))
        return message

    async def wait_for_disconnect(self) -> None:
        """Waits until the client has closed its connection or the response is complete."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def _target(self) -> bytes:
        query = self._scope["query_string"]
        return self.path + (b"?" + query if query else b"")

    def _forwarded_headers(self) -> Headers:
        return tuple(
            (name, value)
            for name, value in self.headers
            if name not in CONNECTION_HEADERS and name not in OWN_REQUEST_HEADERS
        )
