"""What the outcome of an attempt means: another attempt, a response, or an error.

Pure rules. A request that may run more than once is sent to as many servers as its route allows;
any other goes on to another server only after proof that it did not run.
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
"""From this status on a response is a server's failure, and another server may do better."""
MIN_NON_SUCCESS_STATUS = 300
"""Below this status a response is a success; it counts only with the server's signature, as
anything else on the way may respond with one as well."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""What a caller takes as a promise that its request has not run and never will."""


def max_servers(kind: RouteKind, max_attempts: int, *, is_trial: bool) -> int:
    """Returns at how many servers a request may run.

    Args:
        max_attempts: what the route allows.
        is_trial: whether servers have crashed under such requests: then one more at most.
    """
    if kind is not RouteKind.IDEMPOTENT or is_trial:
        return 1
    return max_attempts


def failure_reason(status: int, *, is_signed: bool) -> str | None:
    """Returns why a whole response is not passed on while others may be had; None if it is."""
    if status < MIN_NON_SUCCESS_STATUS and not is_signed:
        return "a success without a signature"
    if status >= MIN_ERROR_STATUS:
        return f"status {status}"
    return None


def is_fallback(status: int, *, is_signed: bool) -> bool:
    """Returns whether a failed response is passed on if no better one comes."""
    return status >= MIN_ERROR_STATUS and is_signed


def implies_not_run(status: int, kind: RouteKind) -> bool:
    """Returns whether a response would promise that its request did not run, though it may have.

    A server that did not run a request says so in a header of its own, and gives no response then.
    A request that may run more than once takes no harm from the promise.
    """
    return kind is not RouteKind.IDEMPOTENT and status in NOT_RUN_STATUSES


@dataclass(frozen=True, slots=True)
class UnservedRequest:
    """A request that ends without a response, and all that its error depends on.

    Attributes:
        may_have_run: whether any server may have run it.
        is_quarantined: whether it was sent to no server as others crashed under its like.
        is_timed_out: whether its time is over.
        retry_after: seconds after which the caller should come back if it was refused.
    """

    may_have_run: bool
    is_quarantined: bool
    is_timed_out: bool
    retry_after: float


def final_error(unserved: UnservedRequest) -> LarkpostError:
    """Returns the error in which a request ends that gets no response."""
    if not unserved.may_have_run and unserved.is_quarantined:
        return QuarantinedError(
            "servers have crashed under this request", retry_after=CRASH_RETENTION_SECONDS
        )
    if not unserved.may_have_run:
        return RefusedError("no server could take it", retry_after=unserved.retry_after)
    if unserved.is_timed_out:
        return RequestTimeoutError("its time is over", ran=Ran.UNKNOWN)
    return RequestFailedError("no whole answer came", ran=Ran.UNKNOWN)
