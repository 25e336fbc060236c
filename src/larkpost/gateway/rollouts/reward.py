"""Has whole outputs scored by the reward calls of their items.

A reward call may run more than once, so whatever ends without a score is tried again, at another
server if there is one, until the item's time is over or the call has failed too often
(`retry_rules.py`). `reward_attempt.py` makes the single attempts.
"""

from dataclasses import dataclass
from enum import StrEnum

from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.known_crashes import BATCH_CRASH_LIMIT
from larkpost.gateway.observability.metrics import Timing
from larkpost.gateway.rollouts.context import RunServices
from larkpost.gateway.rollouts.item_routes import ItemRoutes
from larkpost.gateway.rollouts.model import BatchHead, RewardCall
from larkpost.gateway.rollouts.progress import Progress
from larkpost.gateway.rollouts.retry_rules import is_call_dead
from larkpost.gateway.rollouts.reward_attempt import RewardAttempts
from larkpost.gateway.rollouts.reward_rules import CallEnd, CallHistory

AGAIN_PAUSE_SECONDS = 0.05
"""Pause before a call is tried again. Not measured."""
QUARANTINE_CHECK_SECONDS = 0.5
"""Between two checks whether a call that crashes servers may be sent again. Not measured."""


class RewardState(StrEnum):
    """How the scoring of an output ended."""

    SCORED = "scored"
    FAILED = "failed"  # the servers failed it as often as the route allows
    GIVEN_UP = "given_up"  # its time is over


@dataclass(frozen=True, slots=True)
class RewardOutcome:
    """The end of an output's scoring; `score` is None unless it was scored."""

    state: RewardState
    score: str | None = None


class RewardScorer:
    """Has the outputs of one batch scored."""

    def __init__(self, head: BatchHead, routes: ItemRoutes, services: RunServices) -> None:
        self._routes = routes
        self._services = services
        self._attempts = RewardAttempts(head, services)

    async def score(self, progress: Progress, call: RewardCall) -> RewardOutcome:
        """Sends an output's reward call until it has a score, or must be given up.

        Args:
            progress: a whole output; its count of failed calls is kept there.
        """
        item_route = self._routes.route_of(progress.item)
        item_attempts = item_route.max_attempts if item_route is not None else 0
        began = self._services.clock.now()
        history = CallHistory(set())
        while not self._routes.is_given_up(self._routes.route_of(progress.item)):
            if self._is_quarantined(call):
                await self._services.clock.sleep(QUARANTINE_CHECK_SECONDS)
                continue
            outcome = await self._advance(progress, call, history, item_attempts)
            if outcome is not None:
                self._record(outcome, began)
                return outcome
            await self._services.clock.sleep(AGAIN_PAUSE_SECONDS)
        return RewardOutcome(RewardState.GIVEN_UP)

    async def _advance(
        self, progress: Progress, call: RewardCall, history: CallHistory, item_attempts: int
    ) -> RewardOutcome | None:
        """Sends a call once, if it has a route, and returns the end of the scoring if that is it.

        Args:
            item_attempts: failures that the item's own route allows; the call's may allow more.
        """
        route = self._route(call)
        if route is None:
            return None
        attempt = await self._attempts.make(progress, call, route, history)
        if attempt is None:
            return None
        if attempt.end is CallEnd.SCORED:
            return RewardOutcome(RewardState.SCORED, attempt.score)
        if attempt.end is CallEnd.FAILED:
            progress.failed_calls += 1
            if is_call_dead(progress.failed_calls, item_attempts, route.max_attempts):
                return RewardOutcome(RewardState.FAILED)
        return None

    def _record(self, outcome: RewardOutcome, began: float) -> None:
        if outcome.state is RewardState.SCORED:
            waited = self._services.clock.now() - began
            self._services.metrics.observe(Timing.REWARD, waited)

    def _is_quarantined(self, call: RewardCall) -> bool:
        """Returns whether a call must not be sent, as too many servers crashed under its like."""
        crashes = self._services.crashes
        return crashes.has_suspects and crashes.holds_content(call.content, BATCH_CRASH_LIMIT)

    def _route(self, call: RewardCall) -> Route | None:
        configuration = self._services.configuration.current
        if configuration is None:
            return None
        return configuration.match(call.host, call.path.partition("?")[0].encode("latin-1"))
