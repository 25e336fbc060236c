"""Scores complete outputs by the reward calls of their items.

A reward call may run more than once, so any attempt without a score is retried, at another server
if possible, until the item expires or the call has failed too often (`retry_rules.py`).
`reward_caller.py` makes the single attempts.
"""

from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.observability.metrics import Timing
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.model import BatchHead, RewardCall
from larkpost.gateway.rollouts.progress import Progress, WaitsFor
from larkpost.gateway.rollouts.retry_pause import pause_before_retry
from larkpost.gateway.rollouts.retry_rules import are_call_attempts_exhausted
from larkpost.gateway.rollouts.reward_caller import RewardCaller
from larkpost.gateway.rollouts.reward_rules import RewardCallHistory, RewardCallOutcome


class RewardScorer:
    """Scores the outputs of one batch by reward calls."""

    def __init__(self, head: BatchHead, routes: ItemRoutes, services: RunServices) -> None:
        self._routes = routes
        self._services = services
        self._reward_caller = RewardCaller(head, services)

    async def score(self, progress: Progress, call: RewardCall) -> str | None:
        """Returns the score of an output; None if the call failed too often or the item expired.

        Args:
            progress: the complete output; its count of failed calls is updated.
        """
        item_route = self._routes.route_of(progress.item)
        item_attempts = item_route.max_attempts if item_route is not None else 0
        started = self._services.clock.now()
        history = RewardCallHistory(set())
        while not self._routes.is_expired(self._routes.route_of(progress.item)):
            route = self._route(call)
            progress.wait_for(WaitsFor.CALL_ROUTE if route is None else WaitsFor.CALL_SLOT)
            if route is not None:
                attempt = await self._reward_caller.send_once(progress, call, route, history)
                if attempt is not None and attempt.outcome is RewardCallOutcome.SCORED:
                    waited = self._services.clock.now() - started
                    self._services.metrics.observe(Timing.REWARD, waited)
                    return attempt.score
                if attempt is not None and attempt.outcome is RewardCallOutcome.FAILED:
                    progress.failed_calls += 1
                    if are_call_attempts_exhausted(
                        progress.failed_calls, item_attempts, route.max_attempts
                    ):
                        return None
            await pause_before_retry(progress, self._routes, self._services.clock)
        return None

    def _route(self, call: RewardCall) -> Route | None:
        configuration = self._services.configuration.current
        if configuration is None:
            return None
        return configuration.match(call.host, call.path.partition("?")[0].encode("latin-1"))
