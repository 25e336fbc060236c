"""Rules for retrying or giving up items, and for avoiding engines after failures.

All rules are pure functions of their inputs.
"""

from dataclasses import dataclass
from enum import StrEnum

from larkpost.gateway.rollouts.progress import DiscontinuityError, OversizedOutputError
from larkpost.gateway.rollouts.stall_detector import StalledError
from larkpost.gateway.servers.port import BrokenResponseError

UNPROCESSABLE_STATUS = 422
"""Status by which an engine reports that the item can never be processed."""
FAILED_STATUS = 500
"""Status by which an engine reports that this run has failed."""
REFUSED_AVOID_SECONDS = 0.15
"""How long an engine is avoided after it refused an item."""
BROKEN_AVOID_SECONDS = 0.3
"""How long an engine is avoided after a broken or unusable stream."""
TIMEOUT_AVOID_SECONDS = 1.5
"""How long an engine is avoided after a run timed out there."""
STALLED_AVOID_SECONDS = 0.3
"""How long an engine is avoided after a run stalled there."""

RETRY_PAUSE_SECONDS = 0.03
"""Pause before an item queues for a slot again; as long as the interval of the queue's passes."""
PAUSED_LOST_RUNS = 4
"""Runs in a row that lost their server before any output, from which the pause grows: so many a
harmless item meets only while servers crash again and again."""
FIRST_LOST_PAUSE_SECONDS, MAX_LOST_PAUSE_SECONDS = 0.25, 4.0
"""Pause after so many lost runs, which doubles with each further one, and its upper bound: an item
may be at no server for 5 s."""


class RunOutcome(StrEnum):
    """Outcome of one run of an item."""

    COMPLETE = "whole"
    RETRY = "again"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class RunFailure:
    """Consequences of a run that ended by a timeout or an unusable stream.

    Attributes:
        outcome: outcome as it is logged.
        avoid_seconds: how long the engine is avoided.
        discards_output: whether the output so far is discarded, so that the item starts over.
    """

    outcome: str
    avoid_seconds: float
    discards_output: bool = False


def classify_failed_response(status: int, failed_runs: int, max_attempts: int) -> RunOutcome:
    """Returns whether an item is retried or given up after an error response.

    Only responses with `FAILED_STATUS` count as attempts; after a refusal the item did not run.

    Args:
        failed_runs: runs of the item that ended with `FAILED_STATUS`, this one included.
        max_attempts: limit of failed runs of the item's route, at which the item is given up.
    """
    if status == UNPROCESSABLE_STATUS:
        return RunOutcome.DEAD
    if status == FAILED_STATUS and failed_runs >= max_attempts:
        return RunOutcome.DEAD
    return RunOutcome.RETRY


def classify_run_error(
    error: TimeoutError | StalledError | ValueError | BrokenResponseError,
) -> RunFailure:
    """Returns the consequences of a run that ended by a timeout or an unusable stream."""
    if isinstance(error, StalledError):
        return RunFailure("stalled", STALLED_AVOID_SECONDS)
    if isinstance(error, TimeoutError):
        return RunFailure("silent", TIMEOUT_AVOID_SECONDS)
    # Output that lacks an event, is too large, or is complete but not valid UTF-8, cannot be
    # continued.
    discards_output = isinstance(
        error, (DiscontinuityError, OversizedOutputError, UnicodeDecodeError)
    )
    return RunFailure(f"broken: {error}", BROKEN_AVOID_SECONDS, discards_output)


def retry_pause_seconds(lost_runs: int, since_lost: float) -> float:
    """Returns the pause before an item or its reward call is tried again.

    It bounds the servers lost to an item that crashes them. Attempts that reach no server, such as
    refused ones, do not extend it: the item is owed.

    Args:
        lost_runs: runs in a row that lost their server before any output.
        since_lost: seconds since the last of them.
    """
    if lost_runs < PAUSED_LOST_RUNS:
        return RETRY_PAUSE_SECONDS
    doublings = min(lost_runs - PAUSED_LOST_RUNS, 8)
    pause = min(MAX_LOST_PAUSE_SECONDS, FIRST_LOST_PAUSE_SECONDS * 2**doublings)
    return max(RETRY_PAUSE_SECONDS, pause - since_lost)


def is_past_lifetime(age: float, queue_lifetime: float) -> bool:
    """Returns whether an item is given up because its route's queue lifetime is over.

    Args:
        age: seconds since the batch was accepted.
        queue_lifetime: seconds; 0 to retry until the batch ends.
    """
    return bool(queue_lifetime) and age > queue_lifetime


def are_call_attempts_exhausted(failed_calls: int, item_attempts: int, call_attempts: int) -> bool:
    """Returns whether a reward call has no attempts left, so that its item is given up.

    The greater of the two limits applies.

    Args:
        failed_calls: attempts that the server reported as failed.
        item_attempts: limit of the item's route; 0 if it has no route.
        call_attempts: limit of the reward call's route.
    """
    return failed_calls >= max(item_attempts, call_attempts)
