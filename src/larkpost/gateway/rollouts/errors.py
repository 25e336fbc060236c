"""The errors of the batch calls, as their callers get them."""

from larkpost.common.errors import LarkpostError


class BatchRefusedError(LarkpostError):
    """The batch was certainly not accepted."""

    code = "batch_refused"
    status = 503
    remedy = "Submit the batch again after the time in Retry-After."


class BatchUncertainError(LarkpostError):
    """It is not known whether the batch was accepted, or was ended."""

    code = "batch_uncertain"
    status = 504
    remedy = "Submit or end the batch again, under the same id; it is taken once."


class BatchUnreadableError(LarkpostError):
    """The store does not answer, so this daemon cannot be sure of the batch."""

    code = "batch_unreadable"
    status = 503
    remedy = "Ask again after the time in Retry-After."


class BatchIdTakenError(LarkpostError):
    """The id is that of another tenant's batch; nothing of this one runs."""

    code = "batch_id_taken"
    status = 409
    remedy = "Submit the batch under an id that nobody else uses."


class NoSuchBatchError(LarkpostError):
    """There is no such batch or item."""

    code = "no_such_batch"
    status = 404
    remedy = "Check the id; batches are forgotten some time after they were submitted."
