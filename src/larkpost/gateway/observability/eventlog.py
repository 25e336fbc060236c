"""Structured log: one JSON line on standard output per event.

Logging is rate-limited and never blocks. Each event type has a limit of lines per second; the lines
beyond it are counted, and the counts are logged once per second. If the reader is too slow, lines
are dropped and counted.
"""

import os
from enum import StrEnum
from typing import Any

import eliot
import orjson

from larkpost.common.steady_time import steady_seconds
from larkpost.gateway.observability.metrics import Count, Metrics

STANDARD_OUTPUT = 1
"""File descriptor of standard output."""
MAX_LINES_PER_SECOND = 40
"""Maximum lines per second of one event type; further ones are only counted."""
MAX_PENDING_BYTES = 262144
"""Maximum bytes buffered for a slow reader; further lines are dropped and counted."""
LINE_OPTIONS = orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS
"""Non-string keys are allowed, as fields may be dictionaries keyed by enum members."""


class Event(StrEnum):
    """Event types of the log; docs/LOGS.md describes them and their fields."""

    START = "start"
    STOP = "stop"
    STOPPING = "stopping"
    STOP_STEP_LEFT = "stop_step_left"
    SETTINGS = "settings"
    CONFIGURATION = "configuration"
    READY = "ready"
    INSTANCE = "instance"
    INSTANCE_COLD = "instance_cold"
    WEIGHT_TARGET = "weight_target"
    EVACUATION = "evacuation"
    STORE = "store"
    STORE_RELAY = "store_relay"
    CONNECTIONS_SILENT = "connections_silent"
    UNREADABLE = "unreadable"
    LEASE_LAPSED = "lease_lapsed"
    ORDER = "order"
    ENGINES_LENT = "engines_lent"
    SCALING_PLAN = "scaling_plan"
    SERVERS_ORDERED = "servers_ordered"
    USAGE_DECIDED = "usage_decided"
    USAGE_REPORTED = "usage_reported"
    MEMBER = "member"
    COORDINATOR = "coordinator"
    REQUEST_DENIED = "request_denied"
    DESCRIPTORS = "descriptors"
    NO_ROOM = "no_room"
    READER_CUT = "reader_cut"
    REQUEST_DONE = "request_done"
    ATTEMPT_FAILED = "attempt_failed"
    SERVER_CRASH = "server_crash"
    QUARANTINE = "quarantine"
    REQUEST_FAILED = "request_failed"
    SHARE_HELD = "share_held"
    BATCH_ACCEPTED = "batch_accepted"
    BATCH_REFUSED = "batch_refused"
    BATCH_OWNED = "batch_owned"
    BATCH_LOADED = "batch_loaded"
    BATCH_CLAIMED = "batch_claimed"
    BATCH_RELEASED = "batch_released"
    BATCH_COMPLETE = "batch_complete"
    BATCH_ENDED = "batch_ended"
    BATCH_READ = "batch_read"
    BATCH_UNOWNED = "batch_unowned"
    ITEM_RUN = "item_run"
    ITEM_DEAD = "item_dead"
    ITEM_IDLE = "item_idle"
    REWARD_CALL = "reward_call"
    APPENDED = "appended"
    APPEND_FAILED = "append_failed"
    READ_FAILED = "read_failed"
    LOOP_LATE = "loop_late"
    LEFT_OUT = "left_out"
    FAULT = "fault"


class NonBlockingWriter:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Writes a line, or drops it if the buffer is full."""
        if len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._flush()
            return
        self._pending += line
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except (BlockingIOError, BrokenPipeError):
            return  # kept in the buffer; dropped and counted once it is full
        except OSError:
            self.dropped += 1
            self._pending.clear()
            return
        del self._pending[:written]


class EventLog:
    """Records events of one daemon.

    Args:
        writer: destination of the lines; None to discard them.
        metrics: counts the lines beyond the rate limit.
    """

    def __init__(
        self, daemon: str, writer: NonBlockingWriter | None = None, metrics: Metrics | None = None
    ) -> None:
        self._metrics = metrics
        self._daemon = daemon
        self._writer = writer
        self._second = 0
        self._lines: dict[Event, int] = {}
        self._left_out: dict[Event, int] = {}
        if writer is not None:
            eliot.add_destinations(self._write)

    def record(self, event: Event, **fields: Any) -> None:
        """Records an event, unless its rate limit for this second is reached."""
        if self._writer is None:
            return
        second = int(steady_seconds())
        if second != self._second:
            self._begin_second(second)
        lines = self._lines.get(event, 0)
        if lines >= MAX_LINES_PER_SECOND:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            if self._metrics is not None:
                self._metrics.count(Count.LINES_LEFT_OUT, event.value)
            return
        self._lines[event] = lines + 1
        eliot.log_message(event.value, daemon=self._daemon, **fields)

    def close(self) -> None:
        """Stops writing."""
        if self._writer is not None:
            eliot.remove_destination(self._write)
            self._writer = None

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._lines.clear()
        left_out, self._left_out = self._left_out, {}
        if left_out:
            counts = {event.value: count for event, count in left_out.items()}
            eliot.log_message(Event.LEFT_OUT.value, daemon=self._daemon, counts=counts)

    def _write(self, message: dict[str, Any]) -> None:
        line = orjson.dumps(message, default=str, option=LINE_OPTIONS)
        self._writer.write(line)
