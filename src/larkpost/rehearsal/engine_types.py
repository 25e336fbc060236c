"""Sizes, faults, records and refusals of a stand-in engine."""

from dataclasses import dataclass, field

from larkpost.common.ids import AttemptId, RequestId


class StreamCutError(Exception):
    """The stream is cut by a fault."""


class UnknownAttemptError(Exception):
    """The engine does not run such an attempt."""


class QueueFullError(Exception):
    """The engine refuses the attempt; it does not execute it."""


class StaleOrderError(Exception):
    """The order's token is below the highest accepted one."""


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Size and speed of a stand-in engine. Times in seconds."""

    slots: int = 16
    queue_limit: int = 64
    step_base: float = 0.008
    step_per_sequence: float = 0.0002
    prefill_per_token: float = 0.00002
    tokens_per_step: int = 1
    cache_blocks: int = 4096
    report_lag: float = 0.3
    swap_seconds: float = 0.5


@dataclass(slots=True)
class EngineFaults:
    """Fault switches; all are off at first."""

    frozen_until: float = 0.0
    slow_factor: float = 1.0
    late_seconds: float = 0.0
    doubled_chunks: int = 0
    crossed_chunks: int = 0
    cut_streams: int = 0
    failing_swaps: int = 0


@dataclass(slots=True)
class EngineRecord:
    """What the engine really did for one attempt; the evidence of the checks."""

    request: RequestId
    attempt: AttemptId
    started_at: float
    first_token: int
    spans: list[list[int]] = field(default_factory=list)
    """[version, first token, count] of every token produced here."""
