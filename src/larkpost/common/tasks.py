"""Background tasks of one daemon, cancelled together.

Failures are passed to the daemon's `FailureReporter`.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from larkpost.common.clock import Clock
from larkpost.common.errors import LarkpostError

MIN_PAUSE_DIVISOR = 10
"""A periodic step pauses for at least its interval divided by this, however long it took, so that a
slow step does not occupy the event loop."""


class FailureReporter(Protocol):
    """Receives the failures of background tasks."""

    def report_known_step_error(self, task: str, error: LarkpostError) -> None:
        """Reports a run of a periodic step that failed with a `LarkpostError`."""

    def report_unexpected_step_error(self, task: str, error: Exception) -> None:
        """Reports a run of a periodic step that failed with an unexpected error."""

    def report_failed_task(self, task: str, error: BaseException) -> None:
        """Reports a task that failed."""


class TaskSet:
    """The background tasks of a daemon."""

    def __init__(self, clock: Clock, reporter: FailureReporter) -> None:
        self._clock = clock
        self._reporter = reporter
        self._tasks: dict[asyncio.Task, None] = {}

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task:
        """Starts a task; its failure is reported."""
        task = asyncio.create_task(work, name=name)
        self._tasks[task] = None
        task.add_done_callback(self._finished)
        return task

    def every(
        self,
        interval: float | Callable[[], float],
        step: Callable[[], Awaitable[None]],
        name: str,
    ) -> None:
        """Runs ``step`` periodically, once every ``interval`` seconds.

        Args:
            interval: seconds, or a function that returns them and is called after each step.
        """
        if callable(interval):
            self.spawn(self._repeat(interval, step, name), name)
        else:
            self.spawn(self._repeat(lambda: interval, step, name), name)

    def cancel_all(self) -> None:
        """Cancels every task."""
        for task in list(self._tasks):
            task.cancel()

    async def _repeat(
        self, interval_of: Callable[[], float], step: Callable[[], Awaitable[None]], name: str
    ) -> None:
        while True:
            started = self._clock.now()
            try:
                await step()
            except LarkpostError as error:
                self._reporter.report_known_step_error(name, error)
            except Exception as error:  # one failed run must not end the task
                self._reporter.report_unexpected_step_error(name, error)
            elapsed = self._clock.now() - started
            interval = interval_of()
            await self._clock.sleep(max(interval - elapsed, interval / MIN_PAUSE_DIVISOR))

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self._reporter.report_failed_task(task.get_name(), task.exception())
