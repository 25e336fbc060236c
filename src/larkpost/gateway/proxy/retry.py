"""Maps the outcome of an attempt to another attempt, a response, or an error.

Pure functions. An idempotent request is sent to as many servers as its route allows; any other is
sent to another server only after proof that it did not run.
"""

from dataclasses import dataclass

from larkpost.common.errors import LarkpostError, Ran
from larkpost.gateway.blackboard.configuration import RouteKind
from larkpost.gateway.blackboard.known_crashes import CRASH_RETENTION_SECONDS
from larkpost.gateway.proxy.request import (
    QuarantinedError,
    RefusedError,
    RequestFailedError,
    RequestTimeoutError,
)

MIN_ERROR_STATUS = 500
"""Responses with this status or a higher one are server failures; another server is tried."""
MIN_NON_SUCCESS_STATUS = 300
"""Responses below this status are successes. They count only with the server's signature, as an
intermediary may also send one."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that clients take to mean that the request did not run and will not run."""


def max_servers(kind: RouteKind, max_attempts: int, *, is_trial: bool) -> int:
    """Returns the maximum number of servers that may run a request.

    Args:
        max_attempts: the limit of the route.
        is_trial: whether it is a trial of a quarantined request, which goes to one server only.
    """
    if kind is not RouteKind.IDEMPOTENT or is_trial:
        return 1
    return max_attempts


UNSIGNED_SUCCESS = "a success without a signature"


def is_unsigned_success(status: int, *, is_signed: bool) -> bool:
    """Returns whether a response claims a success that its server has not signed."""
    return status < MIN_NON_SUCCESS_STATUS and not is_signed


def failure_reason(status: int, *, is_signed: bool) -> str | None:
    """Returns why a whole response counts as a failure; None if it can be returned."""
    if is_unsigned_success(status, is_signed=is_signed):
        return UNSIGNED_SUCCESS
    if status >= MIN_ERROR_STATUS:
        return f"status {status}"
    return None


def is_fallback(status: int, *, is_signed: bool) -> bool:
    """Returns whether a failed response is returned if no better one arrives."""
    return status >= MIN_ERROR_STATUS and is_signed


def implies_not_run(status: int, kind: RouteKind) -> bool:
    """Returns whether a response's status wrongly tells the client that its request did not run.

    There is a response only if the request ran: if it did not, the server says so in a separate
    header, and the attempt raises an error. For idempotent requests such a status is harmless.
    """
    return kind is not RouteKind.IDEMPOTENT and status in NOT_RUN_STATUSES


@dataclass(frozen=True, slots=True)
class UnservedRequest:
    """A request that ends without a response, with everything that its error depends on.

    Attributes:
        may_have_run: whether any server may have run it.
        is_quarantined: whether it was held back because servers crashed on requests like it.
        is_timed_out: whether its deadline passed.
        retry_after: seconds after which the client should retry if it was refused.
    """

    may_have_run: bool
    is_quarantined: bool
    is_timed_out: bool
    retry_after: float


def final_error(unserved: UnservedRequest) -> LarkpostError:
    """Returns the error for a request that gets no response."""
    if not unserved.may_have_run and unserved.is_quarantined:
        return QuarantinedError(
            "servers have crashed on requests like this one", retry_after=CRASH_RETENTION_SECONDS
        )
    if not unserved.may_have_run:
        return RefusedError("no server could take it", retry_after=unserved.retry_after)
    if unserved.is_timed_out:
        return RequestTimeoutError(
            "its deadline passed before a response was complete", ran=Ran.UNKNOWN
        )
    return RequestFailedError("no complete response was received", ran=Ran.UNKNOWN)
