"""Interface to servers: requests, responses and errors.

Defines types only; adapters implement `ServerPort`.
"""

import sys
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

NO_CRASH_LIMIT = sys.maxsize
"""Crash limit of a trial, which is sent although its content is quarantined."""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to a server.

    Attributes:
        request_id: the caller's id of this attempt, which the server's response repeats.
        target: path and query, unchanged from the caller.
        headers: the caller's headers without hop-by-hop headers.
        time_left: maximum seconds that the server may take; None for no limit.
        resume_after: id of the last event already received; None for a new run.
        expected_version: weight version that the server must have; None for any.
        fresh_connection: whether to use a new connection for this request only, so that the
            response cannot belong to an earlier request.
        repeat_if_silent: whether a second run is harmless, so that the request may be sent to the
            server again if the reused connection turns out to be dead.
        tenant: tenant that is reported to the server; None if there is none.
        send_timeout: maximum seconds until the request is on a connection, after which it is not
            sent; None for the connection's own limit.
        crash_limit: number of server crashes from which it is quarantined and no longer sent; None
            if crashes are not counted against it, as for the items and reward calls of batches.
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
    crash_limit: int | None = CLIENT_CRASH_LIMIT


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load that a server reports.

    Attributes:
        running: number of running requests.
        waiting: number of queued requests.
        slots: maximum number of concurrent requests.
        slowness: current service time relative to the usual one; changes many times per second.
            None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event of a stream.

    Attributes:
        data: the event's data, with lines separated by line feeds.
        raw: the bytes of the event as received, including the closing blank line.
        version: weight version from this event on; None if unchanged.
    """

    id: int
    data: bytes
    raw: bytes
    version: int | None = None


class ServerResponse(Protocol):
    """A response whose headers have arrived and match the request.

    Attributes:
        version: weight version at the start of the response; None if not reported.
        signature: proves that the server itself made the response, and identifies the run; None if
            absent.
        cold_left: seconds for which the server reports that it stays cold; None if not reported.
    """

    status: int
    headers: Headers
    load: ServerLoad | None
    version: int | None
    signature: str | None
    cold_left: float | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; returns only after the complete body.

        Raises:
            BrokenResponseError: the body ended early.
        """

    def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the body's events; returns only after the complete stream.

        Raises:
            BrokenResponseError: the stream ended early; a partial event is dropped.
        """


class NotRunReason(StrEnum):
    """Why a server did not run a request."""

    UNREACHABLE = "unreachable"  # no connection; nothing was sent
    FULL = "full"  # the server rejected it before running it
    MISDIRECTED = "misdirected"  # wrong instance or weight version
    REPLACED = "replaced"  # another instance responds at the address
    LEAVING = "leaving"  # the instance is leaving or unknown; nothing was sent
    EVACUATED = "evacuated"  # its zone is evacuated; nothing was sent
    COLD = "cold"  # cold, and its request limit is reached; nothing was sent
    OUTSIDE_REGIONS = "outside_regions"  # not an allowed region; nothing was sent
    ISOLATED = "apart"  # suspect, and another suspect runs there; nothing was sent
    QUARANTINED = "quarantined"  # crashed too many servers; it is sent to none


class NotRunError(LarkpostError):
    """The request did not run at this server and never will.

    Attributes:
        cold_left: seconds for which the server reports that it stays cold; None if not reported.
    """

    code = "not_run"
    status = 503
    remedy = "Send it to another server."

    def __init__(self, reason: NotRunReason, cold_left: float | None = None) -> None:
        super().__init__(f"not run: {reason}")
        self.reason = reason
        self.cold_left = cold_left


class BrokenResponseError(LarkpostError):
    """No complete response arrived, although the request may have run.

    Attributes:
        connection_lost: whether the connection was closed or reset.
    """

    code = "broken_answer"
    status = 502
    remedy = "Send it again only if a second run is harmless."

    def __init__(self, message: str, *, connection_lost: bool = False) -> None:
        super().__init__(message, ran=Ran.UNKNOWN)
        self.connection_lost = connection_lost


class PortState(StrEnum):
    """Result of probing a server's address."""

    LISTENS = "listens"  # a connection was accepted
    DEAD = "dead"  # the connection was refused
    UNRESPONSIVE = "silent"  # no response


class OrderOutcome(StrEnum):
    """An engine's response to an order."""

    TAKEN = "taken"
    HOLDS = "holds"  # the engine already has the ordered version
    BUSY = "busy"  # another order is in progress, or the engine has taken orders since
    FENCED = "fenced"  # the engine has seen a higher fencing token
    WRONG_INSTANCE = "wrong_instance"
    REJECTED = "rejected"
    UNKNOWN = "unknown"  # no response; it may still be carried out seconds later


class RunningWork(StrEnum):
    """What happens to an engine's running requests when it loads a version."""

    CARRY = "carry"  # they continue under the new version
    FINISH = "finish"  # the load waits until they end
    INTERRUPT = "interrupt"  # their streams are aborted


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to load a weight version.

    Attributes:
        fencing_token: increases with each lease on the engine.
        expected_orders: number of orders that the engine must have taken so far.
        running_work: what happens to the running requests.
    """

    model: ModelName
    version: int
    holder: str
    fencing_token: int
    expected_orders: int
    running_work: RunningWork = RunningWork.CARRY


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of its state, some hundred milliseconds old.

    Attributes:
        orders: number of orders taken since its start.
        busy: whether an order is in progress.
        started_at_ms: Unix time of its start in milliseconds; None if not reported.
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
        """Sends a request; leaving the context early cancels the request at the server.

        Raises:
            NotRunError: the request did not run.
            BrokenResponseError: the request may have run.
        """

    def is_connected(self, instance: InstanceInfo) -> bool:
        """Returns whether an open connection to a server can be reused."""

    async def probe(self, instance: InstanceInfo, timeout: float) -> PortState:
        """Opens and closes a connection to check whether the server listens."""

    async def report(self, instance: InstanceInfo, timeout: float) -> EngineReport | None:
        """Requests an engine's report; returns None if there is no valid response."""

    async def order(
        self, instance: InstanceInfo, order: VersionOrder, timeout: float
    ) -> OrderOutcome:
        """Sends an order to an engine."""
