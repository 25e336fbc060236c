"""A client's request, its whole response, and the errors in which it may end."""

from dataclasses import dataclass

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import RegionId
from larkpost.gateway.blackboard.tenants import TenantName
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
    """

    request_id: bytes
    method: str
    host: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    time_left: float | None
    tenant: TenantName | None = None
    regions: frozenset[RegionId] | None = None


@dataclass(frozen=True, slots=True)
class WholeResponse:
    """A server's whole response."""

    status: int
    headers: Headers
    body: bytes
