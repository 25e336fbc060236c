"""Background tasks of one daemon: started, watched and ended together.

Owns the tasks; what becomes of their failures is up to the reporter that the daemon gives.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from larkpost.common.clock import Clock
from larkpost.common.errors import LarkpostError

MIN_PAUSE_DIVISOR = 10
"""A repeated step pauses for at least this part of its interval, however long it took: a slow step
must not take the whole loop."""


class FailureReporter(Protocol):
    """Is told of the failures of background tasks."""

    def report_known_step_error(self, task: str, error: LarkpostError) -> None:
        """Reports a round of a repeated step that ended with an error of a known kind."""

    def report_unexpected_step_error(self, task: str, error: Exception) -> None:
        """Reports a round of a repeated step that ended with an unexpected error."""

    def report_failed_task(self, task: str, error: BaseException) -> None:
        """Reports a task that ended with an error."""


class NullFailureReporter:
    """Reports nothing: a failure that a task does not log itself leaves no trace."""

    def report_known_step_error(self, task: str, error: LarkpostError) -> None:
        """Does nothing."""

    def report_unexpected_step_error(self, task: str, error: Exception) -> None:
        """Does nothing."""

    def report_failed_task(self, task: str, error: BaseException) -> None:
        """Does nothing."""


class TaskSet:
    """Owns a daemon's background tasks."""

    def __init__(self, clock: Clock, reporter: FailureReporter) -> None:
        self._clock = clock
        self._reporter = reporter
        self._tasks: dict[asyncio.Task, None] = {}

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task:
        """Starts a task, whose failure is reported."""
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
        """Runs ``step`` again and again, one start every ``interval`` seconds.

        Args:
            interval: seconds, or a function that is asked for them after each step.
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
            except Exception as error:  # one failed round must not end the controller
                self._reporter.report_unexpected_step_error(name, error)
            elapsed = self._clock.now() - started
            interval = interval_of()
            await self._clock.sleep(max(interval - elapsed, interval / MIN_PAUSE_DIVISOR))

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self._reporter.report_failed_task(task.get_name(), task.exception())
