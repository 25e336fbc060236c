"""The rules by which an item runs again, dies or is given up, and an engine rests after a failure.

Each rule stands here once, as a function of its inputs; the module owns no state.
"""

from dataclasses import dataclass
from enum import StrEnum

from larkpost.gateway.rollouts.progress import DiscontinuityError
from larkpost.gateway.rollouts.stall_detector import StalledError
from larkpost.gateway.servers.port import BrokenResponseError

UNPROCESSABLE_STATUS = 422
"""The engine says that the item can never be done."""
FAILED_STATUS = 500
"""The engine says that this run has failed."""
REFUSED_AVOID_SECONDS = 0.15
"""How long an engine that refused an item gets no more of them."""
BROKEN_AVOID_SECONDS = 0.3
"""The same after a stream that broke off or can't be used."""
SILENT_AVOID_SECONDS = 1.5
"""The same after a silence beyond the run's time limit."""
STALLED_AVOID_SECONDS = 0.3
"""The same after it left an item waiting though another engine had a place."""


class RunOutcome(StrEnum):
    """How one run of an item ended."""

    COMPLETE = "whole"
    RETRY = "again"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class RunFailure:
    """What follows from a run that ended without a response that says what it means.

    Attributes:
        outcome: what the log calls it.
        avoid_seconds: how long the engine gets no more items.
        loses_output: whether the output so far can't be continued, so that the item starts anew.
    """

    outcome: str
    avoid_seconds: float
    discards_output: bool = False


def classify_failed_response(status: int, failed_runs: int, max_attempts: int) -> RunOutcome:
    """Returns whether an item runs again after a response that is no stream.

    Refusals and other statuses don't count as attempts: the item did not run.

    Args:
        failed_runs: the item's runs that ended with `FAILED_STATUS`, this one included.
        max_attempts: as many of them as the item's route allows.
    """
    if status == UNPROCESSABLE_STATUS:
        return RunOutcome.DEAD
    if status == FAILED_STATUS and failed_runs >= max_attempts:
        return RunOutcome.DEAD
    return RunOutcome.RETRY


def classify_run_error(
    error: TimeoutError | StalledError | ValueError | BrokenResponseError,
) -> RunFailure:
    """Returns what follows from a run that a time limit or a useless stream ended."""
    if isinstance(error, StalledError):
        return RunFailure("stalled", STALLED_AVOID_SECONDS)
    if isinstance(error, TimeoutError):
        return RunFailure("silent", SILENT_AVOID_SECONDS)
    # After a gap, or if the whole output is no text, the beginning is no good either.
    discards_output = isinstance(error, (DiscontinuityError, UnicodeDecodeError))
    return RunFailure(f"broken: {error}", BROKEN_AVOID_SECONDS, discards_output)


def is_past_lifetime(age: float, queue_lifetime: float) -> bool:
    """Returns whether an item has been tried for as long as its route wants, and is given up.

    Args:
        age: seconds since its batch was accepted.
        queue_lifetime: seconds; 0 if it is tried until its batch ends.
    """
    return bool(queue_lifetime) and age > queue_lifetime


def are_call_attempts_exhausted(failed_calls: int, item_attempts: int, call_attempts: int) -> bool:
    """Returns whether a reward call is given up, and its item with it.

    Args:
        failed_calls: attempts that the server itself reported as failed.
        item_attempts: as many of them as the item's route allows; 0 if it has no route.
        call_attempts: as many as the call's own route allows. The greater figure counts.
    """
    return failed_calls >= max(item_attempts, call_attempts)
