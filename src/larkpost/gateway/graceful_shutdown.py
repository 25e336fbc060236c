"""A daemon's planned stop: it hands its work over and ends before it is killed.

Each step has a time limit, so that a store or a caller that is silent delays none of the others:
the platform kills a process that is still there after its grace time, and a kill cuts responses.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments

DEREGISTRATION_SECONDS = 2.6
"""Seconds from the request to stop until no new connections are expected: readiness is asked for
each second, and two responses must be missed."""
KILL_MARGIN_SECONDS = 1.8
"""Seconds that are left of the grace time once no more responses are waited for: for the last
counts of usage (0.8 s at most), the listeners (0.4 s at most), and a machine that is slow."""
HANDOVER_FRACTION = 0.6
"""Share of the grace time, less the margin, within which batches are handed over; those that are
not are claimed by others once this daemon is considered dead."""
POLL_SECONDS = 0.05
"""Seconds between two checks for responses under way."""

Step = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class ShutdownSteps:
    """What a planned stop does.

    Attributes:
        at_once: what is done first and in this order, by name: leave the fleet, hand over.
        at_end: what is done once all responses are given.
    """

    immediate_steps: tuple[tuple[str, Step], ...]
    final_step: Step


class GracefulShutdown:
    """The planned stop of one daemon.

    Args:
        grace_time: seconds from the request to stop to the kill.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        instruments: Instruments,
        steps: ShutdownSteps,
        grace_time: float,
    ) -> None:
        self._lifecycle = lifecycle
        self._clock = instruments.clock
        self._log = instruments.log
        self._steps = steps
        self._grace_time = grace_time

    async def run(self) -> None:
        """Stops taking clients, hands over, and waits for the responses under way."""
        began = self._clock.now()
        self._lifecycle.stopping = True
        self._log.record(Event.STOPPING, open_requests=self._lifecycle.open_requests)
        latest = began + max(POLL_SECONDS, self._grace_time - KILL_MARGIN_SECONDS)
        await self._hand_over(began + (latest - began) * HANDOVER_FRACTION)
        await self._wait_for_responses(began + DEREGISTRATION_SECONDS, latest)
        await self._steps.final_step()
        self._log.record(
            Event.STOP,
            open_requests=self._lifecycle.open_requests,
            seconds=round(self._clock.now() - began, 3),
        )

    async def _hand_over(self, latest: float) -> None:
        """Carries out the first steps; what is not done in time is left."""
        for name, step in self._steps.immediate_steps:
            try:
                async with asyncio.timeout(max(0.0, latest - self._clock.now())):
                    await step()
            except TimeoutError:
                self._log.record(Event.STOP_STEP_LEFT, step=name)

    async def _wait_for_responses(self, earliest: float, latest: float) -> None:
        while self._clock.now() < latest:
            if self._clock.now() >= earliest and self._lifecycle.open_requests == 0:
                return
            await self._clock.sleep(POLL_SECONDS)
