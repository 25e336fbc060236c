"""Typed error kinds: code, message, remedy, and whether the request ran."""

from enum import StrEnum


class Ran(StrEnum):
    """Whether a failed request was executed by an engine.

    ``NO`` is a proof, never a guess: no byte of the request left for an engine that could execute
    it, or the engine itself refused it before execution. Everything else is ``UNKNOWN``.
    """

    NO = "no"
    UNKNOWN = "unknown"


class LarkpostError(Exception):
    """Base of all errors that callers and operators see.

    Attributes:
        code: stable machine-readable name of the error kind.
        status: HTTP status of the answer.
        remedy: what the caller can do about it.
        ran: whether the request was executed.
        retry_after: seconds after which asking again makes sense, or None.
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
    """The request is malformed; asking again unchanged cannot help."""

    code = "invalid_request"
    status = 400
    remedy = "Correct the request as the message says."


class NotReadyError(LarkpostError):
    """The daemon has not yet learned the configuration in force."""

    code = "not_ready"
    status = 503
    remedy = "Ask another daemon, or this one again later."


class StoppingError(LarkpostError):
    """The daemon is stopping and admits nothing new."""

    code = "stopping"
    status = 503
    remedy = "Ask another daemon."


class OverloadedError(LarkpostError):
    """A bounded queue is full or the retry budget is spent."""

    code = "overloaded"
    status = 429
    remedy = "Ask again after the time in Retry-After."


class NoEngineError(LarkpostError):
    """No engine of the pool can take the request now."""

    code = "no_engine"
    status = 503
    remedy = "Ask again after the time in Retry-After; check `larkpost status` for the pool."


class DeadlineError(LarkpostError):
    """The caller's deadline passed."""

    code = "deadline"
    status = 504
    remedy = "Ask again with a later deadline."


class CallerDisconnectedError(LarkpostError):
    """The caller closed its connection before the answer was whole."""

    code = "caller_left"
    status = 499
    remedy = "Ask again under a new request id."


class BrokenAnswerError(LarkpostError):
    """An engine's answer broke off and may not be run again."""

    code = "broken_answer"
    status = 502
    remedy = "The request may have run. Ask again with a new key only if a second run is harmless."


class AlreadyClaimedError(LarkpostError):
    """A request that may run only once was already taken, here or by another daemon."""

    code = "already_claimed"
    status = 409
    remedy = "The request may have run. Use a new key only if a second run is harmless."


class UnknownBatchError(LarkpostError):
    """Neither this daemon nor a replica knows the batch."""

    code = "unknown_batch"
    status = 404
    remedy = "Open the batch again under the same id, with the slots you already hold."


class BatchConflictError(LarkpostError):
    """The batch id is in use with another content."""

    code = "batch_conflict"
    status = 409
    remedy = "Choose a new batch id."


class OutdatedPlanError(LarkpostError):
    """The plan was made against a configuration that is no longer in force."""

    code = "outdated_plan"
    status = 409
    remedy = "Make the plan again and confirm the new one."


class PlatformError(LarkpostError):
    """The platform did not answer, so the outcome of an operation is open."""

    code = "platform_unavailable"
    status = 503
    remedy = "Repeat the same confirmation later: a plan is applied at most once."


class SettingsError(LarkpostError):
    """A setting is unknown or wrong; the program does not start."""

    code = "bad_setting"
    status = 400
    remedy = "Correct the named setting."
