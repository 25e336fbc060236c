"""The port to servers: what larkpost sends them and what it learns from their responses.

Owns the types and errors only; adapters implement `ServerPort`.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from larkpost.common.errors import LarkpostError, Ran
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.blackboard.known_crashes import CLIENT_CRASH_LIMIT
from larkpost.gateway.blackboard.tenants import TenantName

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """One request as it goes to a server.

    Attributes:
        request_id: the caller's id of this attempt; the server's response repeats it.
        target: path and query exactly as the caller sent them.
        headers: the caller's headers without those that concern one connection.
        time_left: seconds the server may take, or None for no limit.
        resume_after: the last event that is already known, or None for a new run.
        expected_version: the weight version the server must have, or None for any.
        fresh_connection: whether to open a connection for this request alone. Then a response
            cannot be one that belongs to an earlier request.
        repeat_if_silent: whether a second run is harmless, so that the request may be sent to the
            server again if the kept connection it went on has gone silent for good.
        tenant: whose request it is, which the server is told; None if it is no tenant's.
        send_within: seconds within which it must be on a connection, or it is not sent; None for
            the connection's own limit.
        crash_limit: it is not sent once so many servers have crashed under it.
    """

    request_id: bytes
    method: str
    host: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    time_left: float | None = None
    resume_after: int | None = None
    expected_version: int | None = None
    priority: int | None = None
    fresh_connection: bool = False
    repeat_if_silent: bool = False
    tenant: TenantName | None = None
    send_timeout: float | None = None
    crash_limit: int = CLIENT_CRASH_LIMIT


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a server reported of itself.

    Attributes:
        running: requests that run there.
        waiting: requests that wait there.
        slots: requests that it runs at once.
        slowness: how many times as long as usual work takes there at this moment, without unit; it
            changes many times a second. None if the server does not say it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event of a stream.

    Attributes:
        data: the event's data, lines parted by line feeds.
        raw: the event's bytes as they came, its closing blank line included.
        version: the weight version from this event on, or None if it is unchanged.
    """

    id: int
    data: bytes
    raw: bytes
    version: int | None = None


class ServerResponse(Protocol):
    """A response whose head has arrived and belongs to the request.

    Attributes:
        version: the weight version the response began under, or None if not reported.
        signature: marks the response as the server's own and names the run; None if it has none.
        cold_left: seconds for which the server says that it stays cold; None if not reported.
    """

    status: int
    headers: Headers
    load: ServerLoad | None
    version: int | None
    signature: str | None
    cold_left: float | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body. It ends only if the body is whole.

        Raises:
            BrokenResponseError: the body broke off.
        """

    def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the body's events. It ends only if the stream is whole.

        Raises:
            BrokenResponseError: the stream broke off; a partial event is dropped.
        """


class NotRunReason(StrEnum):
    """Why a server certainly did not run a request."""

    UNREACHABLE = "unreachable"  # no connection; nothing was sent
    FULL = "full"  # the server refused it before it ran
    MISDIRECTED = "misdirected"  # it has another instance or weight version than expected
    REPLACED = "replaced"  # another instance answers at the address
    LEAVING = "leaving"  # the instance left before anything was sent
    EVACUATED = "evacuated"  # its zone is to get no requests; nothing was sent
    COLD = "cold"  # it is cold and takes no more requests now; nothing was sent
    OUTSIDE_REGIONS = "outside_regions"  # the request may not go there; nothing was sent
    ISOLATED = (
        "apart"  # servers crashed under it, and a request like it runs there; nothing was sent
    )
    QUARANTINED = "quarantined"  # servers crashed under the request; it goes to none


class NotRunError(LarkpostError):
    """The request certainly did not run at this server, and never will.

    Attributes:
        cold_left: seconds for which the server says that it stays cold; None if not reported.
    """

    code = "not_run"
    status = 503
    remedy = "Send it to another server."

    def __init__(self, reason: NotRunReason, cold_left: float | None = None) -> None:
        super().__init__(f"not run: {reason}")
        self.reason = reason
        self.cold_left = cold_left


class BrokenResponseError(LarkpostError):
    """No whole response came, though the request may have run.

    Attributes:
        connection_lost: whether that is because the connection was closed or reset.
    """

    code = "broken_answer"
    status = 502
    remedy = "Send it again only if a second run is harmless."

    def __init__(self, message: str, *, connection_lost: bool = False) -> None:
        super().__init__(message, ran=Ran.UNKNOWN)
        self.connection_lost = connection_lost


class PortState(StrEnum):
    """Whether anything accepts connections at a server's address."""

    LISTENS = "listens"
    DEAD = "dead"  # connections are refused
    SILENT = "silent"  # nothing responds


class OrderOutcome(StrEnum):
    """What an engine responded to an order."""

    TAKEN = "taken"
    HOLDS = "holds"  # the engine already is as ordered
    BUSY = "busy"  # another order is under way, or the engine has taken orders since
    FENCED = "fenced"  # a higher fencing token was seen
    WRONG_INSTANCE = "wrong_instance"
    REJECTED = "rejected"
    UNKNOWN = "unknown"  # no response; it may be carried out, even seconds later


class RunningWork(StrEnum):
    """What becomes of an engine's running requests when it loads a version."""

    CARRY = "carry"  # they go on under the new version
    FINISH = "finish"  # the load waits for their end
    INTERRUPT = "interrupt"  # their streams are broken off


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to load a weight version.

    Attributes:
        fencing_token: rises with every lease on the engine.
        expected_orders: the count of orders the engine must have taken so far.
        running_work: what becomes of the requests that run.
    """

    model: ModelName
    version: int
    holder: str
    fencing_token: int
    expected_orders: int
    running_work: RunningWork = RunningWork.CARRY


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine reports of itself, some hundred milliseconds late.

    Attributes:
        orders: how many orders it has taken since its start.
        busy: whether an order is under way.
        born: Unix millisecond of its start; None if it does not say it.
    """

    orders: int
    busy: bool
    running: int
    waiting: int
    versions: dict[ModelName, int] = field(default_factory=dict)
    started_at_ms: int | None = None


class ServerPort(Protocol):
    """Sends requests and orders to servers."""

    def send(
        self, instance: InstanceInfo, request: OutgoingRequest
    ) -> AbstractAsyncContextManager[ServerResponse]:
        """Sends a request; leaving the context early cancels it at the server.

        Raises:
            NotRunError: it certainly did not run.
            BrokenResponseError: it may have run.
        """

    def is_connected(self, instance: InstanceInfo) -> bool:
        """Returns whether a connection to a server is kept that a request could use."""

    async def probe(self, instance: InstanceInfo, timeout: float) -> PortState:
        """Opens a connection to a server and closes it, to see whether it listens."""

    async def report(self, instance: InstanceInfo, timeout: float) -> EngineReport | None:
        """Asks an engine for its report; None if it gave none."""

    async def order(
        self, instance: InstanceInfo, order: VersionOrder, timeout: float
    ) -> OrderOutcome:
        """Gives an engine an order."""
