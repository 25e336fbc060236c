"""Rules that decide whether a read of results is answered, waits or fails.

A read waits until there are results, at most as long as its caller allows. Available results are
held back briefly for those that complete the trainer's step, as a trainer that received results
polls again only after a pause. All rules are pure functions of the state of the read.
"""

from dataclasses import dataclass
from enum import StrEnum

HOLD_SECONDS = 0.5
"""How long available results are held back for those that complete the step. The last items of a
step often end within this time of each other, and a trainer pauses as long between two polls."""
OVERDUE_HOLD_SECONDS = 0.6
"""How long after the due time of a batch its results are still held back, for steps that complete
just after it, which would otherwise cost the trainer the pause until its next read. After that,
results lose value with time, so they are returned at once."""
MIN_WAIT_SECONDS = 0.001
"""Remaining wait below which a read waits no longer; near the resolution of the clock."""


class ReadDecision(StrEnum):
    """What to do with a read now."""

    RESPOND = "give"
    WAIT = "wait"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class ReadState:
    """State of a pending read.

    Attributes:
        is_complete: whether all results of the batch are known.
        has_new: whether there are results at or after the read's position.
        has_enough_groups: whether enough groups are complete for the trainer's step.
        may_hold: whether results may be held back for others; see `may_hold`.
        store_failed: whether the store did not answer; it may hold more results.
        seconds_left: remaining seconds for which the read may wait.
    """

    is_complete: bool
    has_new: bool
    has_enough_groups: bool
    may_hold: bool
    store_failed: bool
    seconds_left: float


def decide_read(state: ReadState) -> ReadDecision:
    """Returns whether a read is answered with the known results, waits for more, or fails."""
    is_over = state.seconds_left < MIN_WAIT_SECONDS
    if state.is_complete or (state.has_new and (is_over or _should_respond_now(state))):
        return ReadDecision.RESPOND
    if not is_over:
        return ReadDecision.WAIT
    return ReadDecision.FAIL if state.store_failed else ReadDecision.RESPOND


def _should_respond_now(state: ReadState) -> bool:
    return (
        state.has_enough_groups  # the step is complete
        or not state.may_hold
        or state.store_failed  # new results cannot be seen
    )


def may_hold(age: float, due: float) -> bool:
    """Returns whether results of a batch may be held back until its step is complete.

    Results are no longer held once the batch is overdue by `OVERDUE_HOLD_SECONDS`.

    Args:
        age: seconds since the batch was accepted.
        due: seconds within which the batch's route wants a step; 0 for no due time.
    """
    return bool(due) and age < due + OVERDUE_HOLD_SECONDS
