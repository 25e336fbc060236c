"""The pause of an item or its reward call before it is tried again."""

import math

from larkpost.common.clock import Clock
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.retry_rules import retry_pause_seconds

LIFETIME_CHECK_SECONDS = 0.5
"""Interval of the checks of an item's lifetime while it pauses."""


async def pause_before_retry(progress: Progress, routes: ItemRoutes, clock: Clock) -> None:
    """Waits before the next attempt, until the item's lifetime is over at most."""
    pause = retry_pause_seconds(progress.lost_runs, clock.now() - progress.lost_at)
    parts = math.ceil(pause / LIFETIME_CHECK_SECONDS)
    for _ in range(parts):
        await clock.sleep(pause / parts)
        if routes.is_expired(routes.route_of(progress.item)):
            return
