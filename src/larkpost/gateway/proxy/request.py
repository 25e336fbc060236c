"""A client's request, its whole response, and the errors in which it may end."""

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
    """The request did not run and will not; the client may come back."""

    code = "refused"
    status = 503
    remedy = "Ask again after the time in Retry-After."


class QuarantinedError(LarkpostError):
    """The request did not run and will not: servers have crashed under its like."""

    code = "quarantined"
    status = 503
    remedy = (
        "Do not send it again as it is before the time in Retry-After; change it, or have the "
        "servers' software mended."
    )


class RequestFailedError(LarkpostError):
    """No whole response came; the request may have run."""

    code = "request_failed"
    status = 502
    remedy = "Ask again only if a second run is harmless."


class RequestTimeoutError(LarkpostError):
    """The time of the request is over; it may have run."""

    code = "request_timeout"
    status = 504
    remedy = "Ask again with a later deadline, if a second run is harmless."


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request, read whole.

    Attributes:
        received_at: steady time at which its head was read.
        time_left: seconds the client still waited then, or None if it did not say.
        tenant: whose request it is; None if it is no tenant's.
        regions: the only regions in which it may be served; None for all.
        memory: what is held for it.
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
    """A server's response that is too large to be held whole; leaving it ends the call.

    Attributes:
        begun: what was read of the body, in order.
        rest: what follows; see `ServerResponse.chunks`.
        reservation: the bytes that are held for it.
        call: the call at the server, which is under way.
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
        """Ends the call as one that was given up: its server has not answered in full."""
        self.reservation.release()
        given_up = asyncio.CancelledError()
        await self.call.__aexit__(asyncio.CancelledError, given_up, None)
