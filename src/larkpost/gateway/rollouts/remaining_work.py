"""How much of an item is left to be made, by its trainer's guess and by what it has made."""

from collections.abc import Iterable

from larkpost.gateway.blackboard.daemon_report import BatchProgress
from larkpost.gateway.rollouts.progress import Progress

LONG_ITEM_QUANTILE = 0.9
"""Share of a batch's items that take no more than its long item. The greatest of many guesses is
most often the one that is farthest off."""
OVERRUN_SHARE = 0.5
"""An item that has outlived its trainer's guess is expected to make so much more, as a share of
what it has made."""


def remaining_tokens(progress: Progress, tokens_per_event: int) -> int:
    """Returns the tokens that an item is expected to take yet.

    Args:
        tokens_per_event: tokens that an event of its output holds.
    """
    if progress.whole:
        return 0
    made = len(progress.events) * tokens_per_event
    guessed = progress.item.expected_work - made
    if guessed > 0:
        return guessed
    most = max(tokens_per_event, progress.item.tokens - made)
    return min(most, int(made * OVERRUN_SHARE))


def summarize_progress(
    items: Iterable[Progress], tokens_per_event: int, waiting: int
) -> BatchProgress:
    """Returns the progress of a batch from that of its unfinished items.

    Args:
        waiting: items that wait for a place.
    """
    left = sorted(remaining_tokens(progress, tokens_per_event) for progress in items)
    p90_item_work = left[int(len(left) * LONG_ITEM_QUANTILE)] if left else 0
    return BatchProgress(waiting, sum(left), p90_item_work)
