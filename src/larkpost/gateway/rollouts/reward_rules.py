"""Rules of reward calls: server selection, timeouts, and the meaning of responses.

All rules are functions of their inputs. The limit of failed attempts is in `retry_rules.py`.
"""

from dataclasses import dataclass
from enum import StrEnum

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.servers.port import NotRunReason

CLIENT_RESERVED_SHARE = 1 / 3
"""Fraction of a server's slots that is reserved for client requests."""
MIN_CALL_TIMEOUT_SECONDS = 0.8
"""Lower bound of the timeout of a call, before it is doubled for earlier timeouts."""
MAX_CALL_TIMEOUT_SECONDS = 10.0
"""Upper bound of the timeout of a call."""
CALL_TIMEOUT_SERVICE_TIME_FACTOR = 8.0
"""Timeout of a call as a multiple of the server's service time; doubled after each timeout."""


class RewardCallOutcome(StrEnum):
    """Outcome of an attempt of a reward call that may have run at a server."""

    SCORED = "scored"
    FAILED = "failed"  # the server reported that it failed
    BROKEN = "broken"  # an incomplete response, or a success without a signature
    TIMED_OUT = "silent"
    REJECTED = "rejected"  # any other response


@dataclass(frozen=True, slots=True)
class RewardAttempt:
    """Result of one attempt of a reward call.

    Attributes:
        outcome: a `RewardCallOutcome`, or the reason why the call did not run.
        score: signature of the server's response; None unless the outcome is `SCORED`.
    """

    outcome: RewardCallOutcome | NotRunReason
    score: str | None = None


@dataclass(slots=True)
class RewardCallHistory:
    """Attempts of one reward call so far.

    Attributes:
        servers: servers tried in the current round; emptied once all with a free slot were tried.
        timeouts: number of attempts that timed out.
    """

    servers: set[InstanceId]
    timeouts: int = 0


def usable_slots(slots: int) -> int:
    """Returns the number of occupied slots at which a server gets no more reward calls."""
    return max(1, int(slots * (1 - CLIENT_RESERVED_SHARE)))


def call_timeout_seconds(service_time: float, timeouts: int) -> float:
    """Returns the timeout of a call.

    Args:
        service_time: seconds that a call takes at the server; 0 if unknown.
        timeouts: attempts of this call that timed out, at any server.
    """
    scaled = CALL_TIMEOUT_SERVICE_TIME_FACTOR * service_time
    return min(MAX_CALL_TIMEOUT_SECONDS, max(MIN_CALL_TIMEOUT_SECONDS, scaled) * 2**timeouts)


def choose_server(
    candidates: list[InstanceInfo], history: RewardCallHistory
) -> InstanceInfo | None:
    """Returns the best server with a free slot, preferring servers that were not tried yet.

    Once all candidates were tried, clears the tried servers and starts a new round.

    Args:
        candidates: servers with a free slot, the best first.
    """
    untried = [info for info in candidates if info.id not in history.servers]
    if candidates and not untried:
        history.servers.clear()
        untried = candidates
    return untried[0] if untried else None


def classify_call_response(status: int, signature: str | None) -> RewardAttempt:
    """Returns the meaning of a complete response; only a signed success is a score."""
    if 200 <= status < 300:
        if signature:
            return RewardAttempt(RewardCallOutcome.SCORED, signature)
        return RewardAttempt(RewardCallOutcome.BROKEN)
    if status == 500:
        return RewardAttempt(RewardCallOutcome.FAILED)
    return RewardAttempt(RewardCallOutcome.REJECTED)
