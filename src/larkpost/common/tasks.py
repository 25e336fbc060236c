"""Background tasks of one daemon: started, watched and ended together."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from larkpost.common.clock import Clock
from larkpost.common.errors import LarkpostError
from larkpost.common.telemetry import Telemetry


class TaskSet:
    """Owns a daemon's background tasks."""

    def __init__(self, clock: Clock, telemetry: Telemetry) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self._tasks: dict[asyncio.Task, None] = {}

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task:
        """Starts a task; its failure is logged and counted, never lost."""
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
                self._telemetry.count("controller_errors", kind=name)
                self._telemetry.change(f"controller.{name}", error.code)
            except Exception as error:  # one failed round must not end the controller
                self._telemetry.count("controller_errors", kind=name)
                self._telemetry.fault(name, error)
            elapsed = self._clock.now() - started
            interval = interval_of()
            await self._clock.sleep(max(interval - elapsed, interval / 10))

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self._telemetry.fault(task.get_name(), task.exception())
