"""Estimates the remaining work of items from their expected work and their output so far."""

from collections.abc import Iterable

from larkpost.gateway.blackboard.daemon_report import BatchProgress
from larkpost.gateway.rollouts.progress import Progress

LONG_ITEM_QUANTILE = 0.9
"""Quantile of the remaining work that stands for the longest item of a batch, as the maximum is
most often an overestimate."""
OVERRUN_SHARE = 0.5
"""Expected remaining work of an item that has exceeded its expected work, as a fraction of its
output so far."""


def remaining_tokens(progress: Progress, tokens_per_event: int) -> int:
    """Returns the expected number of tokens that an item has yet to process.

    Args:
        tokens_per_event: tokens in one event of its output.
    """
    if progress.whole:
        return 0
    produced = len(progress.events) * tokens_per_event
    remaining = progress.item.expected_work - produced
    if remaining > 0:
        return remaining
    upper_bound = max(tokens_per_event, progress.item.tokens - produced)
    return min(upper_bound, int(produced * OVERRUN_SHARE))


def summarize_progress(
    items: Iterable[Progress], tokens_per_event: int, waiting: int
) -> BatchProgress:
    """Returns the progress of a batch from that of its unfinished items.

    Args:
        waiting: number of items that wait for a slot.
    """
    remaining_by_item = sorted(remaining_tokens(progress, tokens_per_event) for progress in items)
    p90_item_work = (
        remaining_by_item[int(len(remaining_by_item) * LONG_ITEM_QUANTILE)]
        if remaining_by_item
        else 0
    )
    return BatchProgress(waiting, sum(remaining_by_item), p90_item_work)
