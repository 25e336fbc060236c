"""Error types with a code, a message, a remedy, and whether the request was executed."""

from enum import StrEnum


class Ran(StrEnum):
    """Whether an engine executed a failed request.

    ``NO`` is set only when execution is ruled out: no byte of the request was sent to an engine
    that could execute it, or the engine refused it before execution. Otherwise ``UNKNOWN``.
    """

    NO = "no"
    UNKNOWN = "unknown"


class LarkpostError(Exception):
    """Base class of all errors returned to callers and operators.

    Attributes:
        code: stable machine-readable name of the error type.
        status: HTTP status of the response.
        remedy: what the caller can do about it.
        ran: whether an engine executed the request.
        retry_after: seconds to wait before a retry, or None.
    """

    code = "internal"
    status = 500
    remedy = "Report this with the daemon's log."

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.ran = ran
        self.retry_after = retry_after
        if remedy is not None:
            self.remedy = remedy


class InvalidRequestError(LarkpostError):
    """The request is malformed; retrying it unchanged fails again."""

    code = "invalid_request"
    status = 400
    remedy = "Correct the request as the message says."


class NotReadyError(LarkpostError):
    """The daemon has not yet read the current configuration."""

    code = "not_ready"
    status = 503
    remedy = "Ask another daemon, or this one again later."


class StoppingError(LarkpostError):
    """The daemon is shutting down and accepts no new requests."""

    code = "stopping"
    status = 503
    remedy = "Ask another daemon."


class StoppedError(LarkpostError):
    """The daemon ended its shutdown before the response began; the request may have run."""

    code = "stopped"
    status = 504
    remedy = "The request may have run. Ask another daemon if a second run is harmless."


class OverloadedError(LarkpostError):
    """A bounded queue is full or the retry budget is exhausted."""

    code = "overloaded"
    status = 429
    remedy = "Ask again after the time in Retry-After."


class NoEngineError(LarkpostError):
    """No engine of the pool can currently accept the request."""

    code = "no_engine"
    status = 503
    remedy = "Ask again after the time in Retry-After; check `larkpost status` for the pool."


class DeadlineError(LarkpostError):
    """The caller's deadline passed."""

    code = "deadline"
    status = 504
    remedy = "Ask again with a later deadline."


class CallerDisconnectedError(LarkpostError):
    """The caller closed its connection before the response was complete."""

    code = "caller_left"
    status = 499
    remedy = "Ask again under a new request id."


class BrokenAnswerError(LarkpostError):
    """An engine's response was interrupted and the request must not be executed again."""

    code = "broken_answer"
    status = 502
    remedy = "The request may have run. Ask again with a new key only if a second run is harmless."


class AlreadyClaimedError(LarkpostError):
    """A run-once request was already claimed, by this daemon or another one."""

    code = "already_claimed"
    status = 409
    remedy = "The request may have run. Use a new key only if a second run is harmless."


class UnknownBatchError(LarkpostError):
    """Neither this daemon nor a replica holds the batch."""

    code = "unknown_batch"
    status = 404
    remedy = "Open the batch again under the same id, with the slots you already hold."


class BatchConflictError(LarkpostError):
    """The batch id is already in use for a batch with different content."""

    code = "batch_conflict"
    status = 409
    remedy = "Choose a new batch id."


class OutdatedPlanError(LarkpostError):
    """The plan is based on a configuration that is no longer current."""

    code = "outdated_plan"
    status = 409
    remedy = "Make the plan again and confirm the new one."


class PlatformError(LarkpostError):
    """The platform did not respond, so the outcome of the operation is unknown."""

    code = "platform_unavailable"
    status = 503
    remedy = "Repeat the same confirmation later: a plan is applied at most once."


class SettingsError(LarkpostError):
    """A setting is unknown or invalid; the program does not start."""

    code = "bad_setting"
    status = 400
    remedy = "Correct the named setting."
