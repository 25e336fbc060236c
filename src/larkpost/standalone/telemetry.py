"""Metrics and log of a standalone daemon; apart from errors only changes of state are logged.

Implements `larkpost.common.tasks.FailureReporter`.
"""

import traceback
from typing import Any

from eliot import log_message
from prometheus_client import CollectorRegistry, Counter, Gauge

from larkpost.common.errors import LarkpostError

COUNTERS = {
    "client_requests": "Client requests admitted.",
    "client_refused": "Client requests refused, by error code.",
    "dispatches": "Attempts sent to engines, by class of work.",
    "retries": "Attempts after the first, by class of work.",
    "resumes": "Streams attached to again on the same engine.",
    "broken_streams": "Engine answers that broke off or did not match their request.",
    "samples_finished": "Samples finished by engines.",
    "samples_stale": "Finished samples thrown away as too old.",
    "samples_delivered": "Samples put on a page.",
    "samples_duplicated": "Second attempts started for the last samples of a batch.",
    "tokens_wasted": "Tokens of attempts whose result was not used.",
    "swap_orders": "Weight swaps ordered.",
    "swap_failures": "Weight swap orders that failed.",
    "claims": "Engine ownership claims accepted.",
    "control_bytes_sent": "Bytes sent to other daemons for control.",
    "control_bytes_received": "Bytes received from other daemons for control.",
    "controller_errors": "Controller rounds that failed, by controller.",
    "platform_errors": "Platform calls without an answer.",
    "facts_merged": "Newer facts taken.",
}

GAUGES = {
    "members_alive": "Daemons held alive.",
    "engines_owned": "Engines owned.",
    "configuration_epoch": "Configuration epoch in force.",
    "open_batches": "Open batches.",
    "loop_lag_seconds": "Delay of the event loop at its last check.",
}


class Telemetry:
    """A daemon's counters, gauges and state-change log.

    Each daemon has its own metrics registry, so that several can share a process.
    """

    def __init__(self, daemon: str, log: bool = True) -> None:
        self.registry = CollectorRegistry()
        self._daemon = daemon
        self._log = log
        self._states: dict[str, str] = {}
        self._counters = {
            name: Counter(f"larkpost_{name}", text, ["kind"], registry=self.registry)
            for name, text in COUNTERS.items()
        }
        self._gauges = {
            name: Gauge(f"larkpost_{name}", text, registry=self.registry)
            for name, text in GAUGES.items()
        }

    def count(self, name: str, amount: float = 1, kind: str = "") -> None:
        """Adds to a counter."""
        self._counters[name].labels(kind).inc(amount)

    def value(self, name: str, kind: str = "") -> float:
        """Returns a counter's value."""
        return self._counters[name].labels(kind)._value.get()

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name].set(value)

    def log_state(self, subject: str, state: str, **details: Any) -> None:
        """Logs the state of a subject if it differs from the last one logged."""
        if self._states.get(subject) == state:
            return
        self._states[subject] = state
        if self._log:
            log_message(
                "larkpost:state", daemon=self._daemon, subject=subject, state=state, **details
            )

    def report_known_step_error(self, task: str, error: LarkpostError) -> None:
        """Counts a controller round that failed with a known error, and logs the error code."""
        self.count("controller_errors", kind=task)
        self.log_state(f"controller.{task}", error.code)

    def report_unexpected_step_error(self, task: str, error: Exception) -> None:
        """Counts a controller round that failed with an unexpected error, and logs the error."""
        self.count("controller_errors", kind=task)
        self.log_error(task, error)

    def report_failed_task(self, task: str, error: BaseException) -> None:
        """Logs a background task that failed."""
        self.log_error(task, error)

    def log_error(self, where: str, error: BaseException) -> None:
        """Logs an unexpected error with its traceback."""
        if self._log:
            trace = traceback.format_exception(error)
            log_message("larkpost:fault", daemon=self._daemon, where=where, trace="".join(trace))
