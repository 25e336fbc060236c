"""Graceful shutdown of a daemon: hands its work over and finishes open responses.

The platform kills the process after the grace time, which breaks open responses. Three phases:

1. While new connections may still arrive, all requests are served, and each response closes its
   connection.
2. Then idle connections are closed, and only requests are accepted that surely end in time; others
   get a true 503 at once, as another daemon can serve them.
3. At the end of the wait for responses, requests without one get an error, and nothing is accepted.

Each step has a timeout, so that an unresponsive store or caller cannot delay the other steps.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from larkpost.gateway.blackboard.lifecycle import Lifecycle, StopSchedule
from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.instruments import Instruments

DEREGISTRATION_SECONDS = 2.6
"""Time after the stop request until no new connections are expected: the platform probes readiness
every second, and two probes must fail."""
RESPONSE_FRACTION = 5 / 6
"""Fraction of the grace time for which responses are awaited. Users excuse a response that is cut
in the last sixth, if its request came within 3 s of the stop request."""
ERROR_SECONDS = 0.1
"""Time to write the errors of requests that have no response by then."""
CLOSE_MARGIN_SECONDS = 0.6
"""Part of the grace time reserved for the end: closing listeners (at most 0.4 s), and slow
machines."""
HANDOVER_FRACTION = 0.45
"""Fraction of the grace time within which the immediate steps must end. Other daemons claim batches
that were not handed over once they consider this daemon dead."""
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
        schedule = self._make_schedule(started_at)
        self._lifecycle.schedule = schedule
        self._log.record(Event.STOPPING, open_requests=self._lifecycle.open_requests)
        await self._run_immediate_steps(started_at + self._grace_time * HANDOVER_FRACTION)
        await self._wait_for_responses(schedule)
        unfinished = self._lifecycle.open_requests
        self._lifecycle.expire()
        if unfinished:
            await self._clock.sleep(ERROR_SECONDS)
        close_at = started_at + self._grace_time - CLOSE_MARGIN_SECONDS
        await self._run_step("final", self._steps.final_step, close_at)
        self._log.record(
            Event.STOP,
            unfinished=unfinished,
            open_requests=self._lifecycle.open_requests,
            seconds=round(self._clock.now() - started_at, 3),
        )

    def _make_schedule(self, started_at: float) -> StopSchedule:
        response_seconds = min(
            self._grace_time * RESPONSE_FRACTION,
            self._grace_time - ERROR_SECONDS - CLOSE_MARGIN_SECONDS,
        )
        return StopSchedule(
            refuses_from=started_at + min(DEREGISTRATION_SECONDS, response_seconds),
            responses_end_at=started_at + response_seconds,
        )

    async def _run_immediate_steps(self, deadline: float) -> None:
        """Runs the immediate steps; a step that is running at the deadline is cancelled."""
        for name, step in self._steps.immediate_steps:
            await self._run_step(name, step, deadline)

    async def _run_step(self, name: str, step: Step, deadline: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                await step()
        except TimeoutError:
            self._log.record(Event.STOP_STEP_LEFT, step=name)
        except Exception as error:  # the process would end at once, and cut all open responses
            self._log.record(Event.FAULT, where=f"stop step {name}", error=repr(error))

    async def _wait_for_responses(self, schedule: StopSchedule) -> None:
        """Waits until no new connections come and no request is open, but not for too long."""
        while (now := self._clock.now()) < schedule.responses_end_at:
            if now >= schedule.refuses_from and self._lifecycle.open_requests == 0:
                return
            await self._clock.sleep(POLL_SECONDS)
