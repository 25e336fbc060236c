"""Graceful shutdown of a daemon: hands its work over and finishes open responses.

The platform kills the process after the grace time, which breaks open responses. Each step has a
timeout, so that an unresponsive store or caller cannot delay the other steps.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments

DEREGISTRATION_SECONDS = 2.6
"""Time after the stop request until no new connections are expected: the platform probes readiness
every second, and two probes must fail."""
KILL_MARGIN_SECONDS = 1.8
"""Part of the grace time reserved for the final steps after the wait for responses: saving usage
counts (at most 0.8 s), closing listeners (at most 0.4 s), and slow machines."""
HANDOVER_FRACTION = 0.6
"""Fraction of the grace time, without its margin, within which the immediate steps must end. Other
daemons claim batches that were not handed over once they consider this daemon dead."""
POLL_SECONDS = 0.05
"""Interval between two checks for open requests."""

Step = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class ShutdownSteps:
    """The steps of a graceful shutdown.

    Attributes:
        immediate_steps: named steps to run first, in order: leave the fleet, hand over batches.
        final_step: step to run after all responses are finished.
    """

    immediate_steps: tuple[tuple[str, Step], ...]
    final_step: Step


class GracefulShutdown:
    """The graceful shutdown of one daemon.

    Args:
        grace_time: seconds from the stop request until the process is killed.
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
        """Stops accepting clients, hands over batches, and waits for open responses."""
        started_at = self._clock.now()
        self._lifecycle.stopping = True
        self._log.record(Event.STOPPING, open_requests=self._lifecycle.open_requests)
        deadline = started_at + max(POLL_SECONDS, self._grace_time - KILL_MARGIN_SECONDS)
        await self._run_immediate_steps(started_at + (deadline - started_at) * HANDOVER_FRACTION)
        await self._wait_for_responses(started_at + DEREGISTRATION_SECONDS, deadline)
        await self._steps.final_step()
        self._log.record(
            Event.STOP,
            open_requests=self._lifecycle.open_requests,
            seconds=round(self._clock.now() - started_at, 3),
        )

    async def _run_immediate_steps(self, deadline: float) -> None:
        """Runs the immediate steps; a step that is running at the deadline is cancelled."""
        for name, step in self._steps.immediate_steps:
            try:
                async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                    await step()
            except TimeoutError:
                self._log.record(Event.STOP_STEP_LEFT, step=name)

    async def _wait_for_responses(self, earliest: float, deadline: float) -> None:
        while self._clock.now() < deadline:
            if self._clock.now() >= earliest and self._lifecycle.open_requests == 0:
                return
            await self._clock.sleep(POLL_SECONDS)
