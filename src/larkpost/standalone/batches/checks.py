"""Validation of trainers' batch requests."""

from dataclasses import replace

from larkpost.common.errors import InvalidRequestError
from larkpost.standalone.batches.ledger import BatchSpec
from larkpost.standalone.config.intent import Intent

MAX_SLOTS = 65_536
"""Maximum number of samples in one batch."""


def check_spec(spec: BatchSpec, intent: Intent) -> BatchSpec:
    """Checks a specification against the intent and returns it with the staleness bound in force.

    Raises:
        InvalidRequestError: a field is invalid, or the trainer may not use the pool.
    """
    trainer = intent.trainer(spec.trainer)
    if trainer is None or spec.pool not in trainer.pools:
        raise InvalidRequestError(
            f"trainer {spec.trainer!r} may not use pool {spec.pool!r}",
            remedy="Add the pool to the trainer in the intent.",
        )
    if not 0 < spec.slot_count <= MAX_SLOTS:
        raise InvalidRequestError(
            f"a batch must have 1 to {MAX_SLOTS} samples, not {spec.slot_count}"
        )
    if spec.expected_tokens and len(spec.expected_tokens) != len(spec.prompts):
        raise InvalidRequestError("expected_tokens must have one number per prompt")
    if spec.max_tokens < 1 or not all(spec.prompts):
        raise InvalidRequestError("max_tokens must be at least 1 and no prompt may be empty")
    bound = min(spec.staleness_bound, trainer.staleness_bound)
    return replace(spec, staleness_bound=bound)


def check_slots(spec: BatchSpec, held: tuple[int, ...]) -> None:
    """Checks that the held slots are slots of the batch.

    Raises:
        InvalidRequestError: a slot is out of range.
    """
    if any(not 0 <= slot < spec.slot_count for slot in held):
        raise InvalidRequestError(f"held slots must be between 0 and {spec.slot_count - 1}")
