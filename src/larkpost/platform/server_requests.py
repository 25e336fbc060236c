"""Builds and sends a request to a server."""

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from multidict import CIMultiDict
from yarl import URL

from larkpost.common.ids import Address
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.servers.port import OutgoingRequest
from larkpost.platform import names
from larkpost.platform.watched_connection import CallOptions

MAX_PIECE_BYTES = 65536
"""Larger bodies are sent in pieces of this size, each once the connection has room for it, as the
transport copies bytes that it cannot send immediately."""
MIN_DEADLINE_MS = 1
"""Minimum deadline sent to a server; a server applies no limit to a request without a deadline."""


async def send_once(
    session: aiohttp.ClientSession,
    instance: InstanceInfo,
    request: OutgoingRequest,
    options: CallOptions,
) -> aiohttp.ClientResponse:
    """Sends a request and returns the response once its head has arrived.

    Raises:
        aiohttp.ClientError, TimeoutError, OSError, ValueError: no response head arrived.
    """
    return await session.request(
        request.method,
        server_url(instance.address, request.target.decode("latin-1")),
        data=_payload(request.body),
        headers=_headers(instance, request),
        allow_redirects=False,
        timeout=options,
    )


class PiecewisePayload(aiohttp.payload.Payload):
    """A large body that is sent in pieces."""

    _autoclose = True
    _value: bytes | bytearray

    def __init__(self, body: bytes | bytearray) -> None:
        super().__init__(body)
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Returns the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Sends the body."""
        content = memoryview(self._value)
        for start in range(0, len(content), MAX_PIECE_BYTES):
            await writer.write(content[start : start + MAX_PIECE_BYTES])


def _payload(body: bytes | bytearray) -> bytes | bytearray | PiecewisePayload | None:
    if len(body) > MAX_PIECE_BYTES:
        return PiecewisePayload(body)
    return body or None


def server_url(server: Address, target: str) -> URL:
    """Returns the URL of a target; its path and query are already encoded."""
    return URL(f"http://{server}{target}", encoded=True)


def _headers(instance: InstanceInfo, request: OutgoingRequest) -> CIMultiDict[str]:
    """Returns the caller's headers followed by those that larkpost sets, in wire order."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in request.headers:
        headers.add(name.decode("latin-1"), value.decode("latin-1"))
    headers["Host"] = request.host.decode("latin-1")
    headers[names.REQUEST_ID.decode()] = request.request_id.decode("latin-1")
    headers[names.EXPECT_INSTANCE.decode()] = instance.name
    if request.time_left is not None:
        left_ms = max(MIN_DEADLINE_MS, int(request.time_left * 1000))
        headers[names.DEADLINE_MS.decode()] = str(left_ms)
    if request.resume_after is not None:
        headers[names.LAST_EVENT_ID.decode()] = str(request.resume_after)
    if request.expected_version is not None:
        headers[names.EXPECT_VERSION.decode()] = str(request.expected_version)
    if request.tenant is not None:
        headers[names.TENANT.decode()] = request.tenant
    if request.priority is not None:
        headers[names.REQUEST_PRIORITY.decode()] = str(request.priority)
    return headers
