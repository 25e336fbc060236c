"""Logs the unexpected failures of a daemon's background tasks."""

from larkpost.common.errors import LarkpostError
from larkpost.gateway.observability.eventlog import Event, EventLog


class FailureLog:
    """Writes a line for each unexpected failure; implements `FailureReporter`."""

    def __init__(self, log: EventLog) -> None:
        self._log = log

    def report_known_step_error(self, task: str, error: LarkpostError) -> None:
        """Does nothing: what lost or regained a dependency has lines of its own."""

    def report_unexpected_step_error(self, task: str, error: Exception) -> None:
        """Logs a failed run of a periodic step, which is repeated."""
        self._log.record(Event.FAULT, where=f"step {task}", error=repr(error))

    def report_failed_task(self, task: str, error: BaseException) -> None:
        """Logs a task that failed and does not run any more."""
        self._log.record(Event.FAULT, where=f"task {task}", error=repr(error))
