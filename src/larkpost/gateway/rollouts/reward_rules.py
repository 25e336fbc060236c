"""The rules of reward calls: which server, how long it is given, and what its response means.

Each rule stands here once, as a function of its inputs; the module owns no state. How often a call
may fail is a rule of `retry_rules.py`.
"""

from dataclasses import dataclass
from enum import StrEnum

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.servers.port import NotRunReason

CLIENT_RESERVED_SHARE = 1 / 3
"""Share of a server's slots that reward calls leave to clients."""
MIN_CALL_TIMEOUT_SECONDS = 0.8
"""Least time that a server is given for a call."""
MAX_CALL_TIMEOUT_SECONDS = 10.0
"""Most time that a server is given for a call."""
CALL_TIMEOUT_SERVICE_TIME_FACTOR = 8.0
"""A server is given this many times what calls take there, twice as much after each silence."""


class RewardCallOutcome(StrEnum):
    """How one attempt of a reward call ended; one that did not run ends with its reason."""

    SCORED = "scored"
    FAILED = "failed"  # the server reported that it failed
    BROKEN = "broken"  # no whole response, or a success without a signature
    TIMED_OUT = "silent"
    REJECTED = "rejected"  # any other response


@dataclass(frozen=True, slots=True)
class RewardAttempt:
    """The end of one attempt.

    Attributes:
        end: a `CallEnd`, or the reason why it did not run.
        score: the server's signature if it was scored.
    """

    outcome: RewardCallOutcome | NotRunReason
    score: str | None = None


@dataclass(slots=True)
class RewardCallHistory:
    """The attempts of one call so far.

    Attributes:
        servers: those tried since each of the service's servers was tried.
        silences: attempts that ended in silence.
    """

    servers: set[InstanceId]
    timeouts: int = 0


def usable_slots(slots: int) -> int:
    """Returns how many of a server's slots may be occupied when a reward call is sent to it."""
    return max(1, int(slots * (1 - CLIENT_RESERVED_SHARE)))


def call_timeout_seconds(service_time: float, timeouts: int) -> float:
    """Returns the seconds that a server is given for a call.

    Args:
        pace: seconds that a call takes there; 0 if not known.
        silences: attempts of this call that ended in silence, at any server.
    """
    scaled = CALL_TIMEOUT_SERVICE_TIME_FACTOR * service_time
    return min(MAX_CALL_TIMEOUT_SECONDS, max(MIN_CALL_TIMEOUT_SECONDS, scaled) * 2**timeouts)


def choose_server(
    candidates: list[InstanceInfo], history: RewardCallHistory
) -> InstanceInfo | None:
    """Returns the best server with a place, one that was not tried yet if there is one.

    Once all that have a place were tried, the record of servers tried begins anew.

    Args:
        candidates: the servers with a place, the best first.
    """
    fresh = [info for info in candidates if info.id not in history.servers]
    if candidates and not fresh:
        history.servers.clear()
        fresh = candidates
    return fresh[0] if fresh else None


def classify_call_response(status: int, signature: str | None) -> RewardAttempt:
    """Returns what a whole response means; a score is nothing but a success that is signed."""
    if 200 <= status < 300:
        if signature:
            return RewardAttempt(RewardCallOutcome.SCORED, signature)
        return RewardAttempt(RewardCallOutcome.BROKEN)
    if status == 500:
        return RewardAttempt(RewardCallOutcome.FAILED)
    return RewardAttempt(RewardCallOutcome.REJECTED)
