"""A client request, its response, and the errors that it may end in."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import RegionId
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.memory.budget import Reservation
from larkpost.gateway.memory.daemon_memory import RequestMemory
from larkpost.gateway.servers.port import Headers


class RefusedError(LarkpostError):
    """The request did not run and will not; the client may retry."""

    code = "refused"
    status = 503
    remedy = "Ask again after the time in Retry-After."


class QuarantinedError(LarkpostError):
    """The request did not run and will not: servers have crashed on requests like it."""

    code = "quarantined"
    status = 503
    remedy = (
        "Do not send it again as it is before the time in Retry-After; change it, or have the "
        "servers' software mended."
    )


class RequestFailedError(LarkpostError):
    """No whole response arrived; the request may have run."""

    code = "request_failed"
    status = 502
    remedy = "Ask again only if a second run is harmless."


class RequestTimeoutError(LarkpostError):
    """The deadline of the request passed; it may have run."""

    code = "request_timeout"
    status = 504
    remedy = "Ask again with a later deadline, if a second run is harmless."


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete client request.

    Attributes:
        received_at: steady time at which its head was read.
        time_left: seconds that the client was still waiting then; None if it did not say.
        tenant: tenant of the request; None if it belongs to none.
        regions: the only regions in which it may be served; None for all.
        memory: memory reserved for it.
    """

    request_id: bytes
    method: str
    host: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    received_at: float
    time_left: float | None
    tenant: TenantName | None = None
    regions: frozenset[RegionId] | None = None
    memory: RequestMemory = field(default_factory=RequestMemory, compare=False)


@dataclass(frozen=True, slots=True)
class WholeResponse:
    """A server's whole response."""

    status: int
    headers: Headers
    body: bytes | bytearray


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """A server's response that is too large to buffer; leaving its context ends the call.

    Attributes:
        buffered: the chunks of the body read so far, in order.
        rest: the remaining chunks; see `ServerResponse.chunks`.
        reservation: memory reserved for it.
        call: the call to the server, still in progress.
        instance: the server.
    """

    status: int
    headers: Headers
    buffered: deque[bytes]
    rest: AsyncIterator[bytes]
    reservation: Reservation
    call: AsyncExitStack
    instance: InstanceInfo | None = None

    async def __aenter__(self) -> "StreamedResponse":
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.call.__aexit__(*error)

    async def abandon(self) -> None:
        """Releases the memory and cancels the call, as the rest of the response is not read."""
        self.reservation.release()
        cancellation = asyncio.CancelledError()
        await self.call.__aexit__(asyncio.CancelledError, cancellation, None)
