"""Scores complete outputs by the reward calls of their items.

A reward call may run more than once, so any attempt without a score is retried, at another server
if possible, until the item expires or the call has failed too often (`retry_rules.py`).
`reward_caller.py` makes the single attempts.
"""

from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.known_crashes import BATCH_CRASH_LIMIT
from larkpost.gateway.observability.metrics import Timing
from larkpost.gateway.quarantine.trial_claims import BATCH_TRIAL_DELAYS_SECONDS
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.model import BatchHead, RewardCall
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.retry_rules import are_call_attempts_exhausted
from larkpost.gateway.rollouts.reward_caller import RewardCaller
from larkpost.gateway.rollouts.reward_rules import RewardCallHistory, RewardCallOutcome

RETRY_PAUSE_SECONDS = 0.05
"""Pause before a call is retried."""
QUARANTINE_CHECK_SECONDS = 0.5
"""Interval of the checks whether a quarantined call may be sent again."""


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
            if self._is_quarantined(call) and not await self._claim_trial(call, history):
                await self._services.clock.sleep(QUARANTINE_CHECK_SECONDS)
                continue
            route = self._route(call)
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
            await self._services.clock.sleep(RETRY_PAUSE_SECONDS)
        return None

    def _is_quarantined(self, call: RewardCall) -> bool:
        """Returns whether a call must not be sent, as too many servers crashed under it."""
        crashes = self._services.crashes
        return crashes.has_suspects and crashes.is_content_quarantined(
            call.content, BATCH_CRASH_LIMIT
        )

    async def _claim_trial(self, call: RewardCall, history: RewardCallHistory) -> bool:
        """Claims a trial of a quarantined call; returns whether it has one."""
        trials = self._services.trials
        if trials is not None and not history.has_trial:
            history.has_trial = await trials.claim(call.content, BATCH_TRIAL_DELAYS_SECONDS)
        return history.has_trial

    def _route(self, call: RewardCall) -> Route | None:
        configuration = self._services.configuration.current
        if configuration is None:
            return None
        return configuration.match(call.host, call.path.partition("?")[0].encode("latin-1"))
