"""Errors that callers of the batch calls receive."""

from larkpost.common.errors import LarkpostError


class BatchRefusedError(LarkpostError):
    """The batch was certainly not accepted."""

    code = "batch_refused"
    status = 503
    remedy = "Submit the batch again after the time in Retry-After."


class BatchUncertainError(LarkpostError):
    """Whether the batch was accepted or ended is unknown."""

    code = "batch_uncertain"
    status = 504
    remedy = "Submit or end the batch again, under the same id; it is taken once."


class BatchUnreadableError(LarkpostError):
    """The store does not answer, so the state of the batch is unknown."""

    code = "batch_unreadable"
    status = 503
    remedy = "Ask again after the time in Retry-After."


class BatchIdTakenError(LarkpostError):
    """Another tenant has a batch with this id; the submitted batch was not accepted."""

    code = "batch_id_taken"
    status = 409
    remedy = "Submit the batch under an id that nobody else uses."


class NoSuchBatchError(LarkpostError):
    """There is no such batch or item."""

    code = "no_such_batch"
    status = 404
    remedy = "Check the id; batches are forgotten some time after they were submitted."
