"""Reads what a client's call says: its head, its body, and that the client has left."""

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
"""Headers that concern one connection, or that are set anew for each."""

OWN_REQUEST_HEADERS = names.CALLER_HEADERS | {
    b"host",
    b"expect",
    names.REQUEST_ID,
    names.DEADLINE_MS,
}
"""Headers of a request that larkpost reads itself, and sets anew or leaves out towards a server."""


MIN_BODY_BYTES_PER_SECOND = 50_000.0
"""Bytes a second, averaged since the head, at which a large body must come: its room is held
meanwhile. Held against it once a body may have stalled, not before."""


class BodyStalledError(LarkpostError):
    """The body stalled or came too slowly; the request did not run and will not."""

    code = "body_stalled"
    status = 408
    remedy = "Send the whole body without long pauses."


class ClientCall:
    """One call of a client.

    Attributes:
        received_at: the loop's time at which its head was read, in seconds.
        path: the path as it was sent, still encoded.
        headers: names in lower case, in the order in which they were sent.
        request_id: the caller's id of this attempt; empty if it sent none.
        memory: what is held for it.
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
        memory.owner = self.request_name
        self._is_body_requested = False
        self._body_bytes = 0

    @property
    def is_head_too_large(self) -> bool:
        """Whether the head is larger than allowed."""
        return bool(self._scope.get("state", {}).get(OVERSIZED))

    @property
    def client_connection(self) -> ClientConnection | None:
        """The connection that the response goes to, if it can be followed."""
        return self._scope.get("state", {}).get(CLIENT_CONNECTION)

    @property
    def expects_continue(self) -> bool:
        """Whether the client sends its body only once it is asked for, and it was not."""
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
    def request_name(self) -> str:
        """The request id as text, for logs."""
        return self.request_id.decode("latin-1")

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

    def int_header(self, name: bytes) -> int | None:
        """Returns a header's value as a whole number, or None."""
        text = self.header(name)
        return int(text) if text.isdigit() else None

    def to_client_request(self, body: bytes | bytearray, admitted: AdmittedCall) -> ClientRequest:
        """Returns the request as it is to be forwarded."""
        deadline_ms = self.int_header(names.DEADLINE_MS)  # not a time: what is left of it
        return ClientRequest(
            request_id=self.request_id,
            method=self.method,
            host=self.host,
            target=self._target(),
            headers=self._forwarded_headers(),
            body=body,
            received_at=self.received_at,
            time_left=deadline_ms / 1000 if deadline_ms is not None else None,
            tenant=admitted.tenant,
            regions=admitted.regions,
            memory=self.memory,
        )

    async def read_body(self, limit: int) -> bytes | bytearray | None:
        """Returns the whole body, or None if it is larger than ``limit`` bytes.

        Its declared length is reserved before it is read; one that declares none grows as it comes.

        Raises:
            ClientLeftError: the client closed its connection.
            NoRoomError: the body cannot be held now.
            BodyStalledError: it brought nothing for too long, or came too slowly.
        """
        declared = self.int_header(b"content-length")
        if declared is not None and declared > limit:
            return None
        is_large = declared > SMALL_BODY_BYTES if declared is not None else self._is_chunked
        purpose = MemoryPurpose.REQUEST_BODIES if is_large else MemoryPurpose.SMALL_BODIES
        reserved = self.memory.reserve(purpose, declared or 0)
        self._is_body_requested = True
        if not self.memory.is_limited or not is_large:
            return await asgi.read_body(self._receive, limit, reserved)
        return await asgi.read_body(self._receive_before_deadline, limit, reserved)

    @property
    def _is_chunked(self) -> bool:
        return bool(self.header(b"transfer-encoding"))

    async def _receive_before_deadline(self) -> dict:
        """Returns the next part of the body.

        Raises:
            BodyStalledError: it did not come in time.
        """
        now = asyncio.get_running_loop().time()
        slow_at = self.received_at + max(
            STALLED_SECONDS, self._body_bytes / MIN_BODY_BYTES_PER_SECOND
        )
        try:
            async with asyncio.timeout_at(min(now + STALLED_SECONDS, slow_at)):
                message = await self._receive()
        except TimeoutError:
            raise BodyStalledError(
                f"{self._body_bytes} bytes of the body in {now - self.received_at:.1f} s, "
                f"then none in time"
            ) from None
        self._body_bytes += len(message.get("body", b""))
        return message

    async def wait_for_disconnect(self) -> None:
        """Returns once the client has closed its connection, or the response is complete."""
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
