"""The rule by which a read of results is answered, held, or fails.

A read that may wait is held until results come, and then for a moment more for those that make the
trainer's step whole: a trainer that gets results asks again only after a pause. The rule is a
function of what is known of the read; the module owns no state.
"""

from dataclasses import dataclass
from enum import StrEnum

HOLD_SECONDS = 0.5
"""For so long a read that may wait holds results back for those that make a step whole: the last
items of a step often end within half a second of each other, and a trainer that got a response
asks again after as long."""
OVERDUE_HOLD_SECONDS = 0.6
"""For so long after a batch is due results are held back still. A step that is whole just after its
due time would else cost its trainer the pause after a response; a little later results must not
wait, as they count less by the moment."""
MIN_WAIT_SECONDS = 0.001
"""A remaining wait below this counts as over: the clock's own steps are not much smaller."""


class ReadDecision(StrEnum):
    """What becomes of a read now."""

    RESPOND = "give"
    WAIT = "wait"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class ReadState:
    """What is known of a read.

    Attributes:
        is_complete: whether all results of the batch are known.
        has_new: whether there are results from the read's position on.
        has_step: whether enough groups are whole for the trainer to go on.
        may_hold: whether results may be held back for others; see `may_hold`.
        store_failed: whether the store did not answer, so that there may be more results.
        seconds_left: for which the caller, or the hold, lets the read wait.
    """

    is_complete: bool
    has_new: bool
    has_enough_groups: bool
    may_hold: bool
    store_failed: bool
    seconds_left: float


def decide_read(state: ReadState) -> ReadDecision:
    """Returns whether a read is answered with what is known, waits for more, or fails."""
    is_over = state.seconds_left < MIN_WAIT_SECONDS
    if state.is_complete or (state.has_new and (is_over or _should_not_hold(state))):
        return ReadDecision.RESPOND
    if not is_over:
        return ReadDecision.WAIT
    return ReadDecision.FAIL if state.store_failed else ReadDecision.RESPOND


def _should_not_hold(state: ReadState) -> bool:
    return (
        state.has_enough_groups  # the trainer goes on with these
        or not state.may_hold
        or state.store_failed  # whether others come can't be seen
    )


def may_hold(age: float, due: float) -> bool:
    """Returns whether results of a batch of groups may be held back for others.

    Once the batch has been due for a while, each result counts as it comes.

    Args:
        age: seconds since the batch was accepted.
        due: seconds within which the batch's route wants a step.
    """
    return bool(due) and age < due + OVERDUE_HOLD_SECONDS
