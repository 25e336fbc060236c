"""Checks what a trainer asks of a batch."""

from dataclasses import replace

from larkpost.common.errors import InvalidRequestError
from larkpost.standalone.batches.ledger import BatchSpec
from larkpost.standalone.config.intent import Intent

MAX_SLOTS = 65_536
"""Most samples of one batch."""


def check_spec(spec: BatchSpec, intent: Intent) -> BatchSpec:
    """Checks a specification against the intent and returns it with the bound in force.

    Raises:
        InvalidRequestError: it is wrong, or the trainer may not draw from the pool.
    """
    trainer = intent.trainer(spec.trainer)
    if trainer is None or spec.pool not in trainer.pools:
        raise InvalidRequestError(
            f"trainer {spec.trainer!r} may not draw from pool {spec.pool!r}",
            remedy="Admit the trainer to the pool in the intent.",
        )
    if not 0 < spec.slot_count <= MAX_SLOTS:
        raise InvalidRequestError(f"a batch has 1 to {MAX_SLOTS} samples")
    if spec.expected_tokens and len(spec.expected_tokens) != len(spec.prompts):
        raise InvalidRequestError("expected_tokens needs one number per prompt")
    if spec.max_tokens < 1 or not all(spec.prompts):
        raise InvalidRequestError("max_tokens must be above 0 and no prompt may be empty")
    bound = min(spec.staleness_bound, trainer.staleness_bound)
    return replace(spec, staleness_bound=bound)


def check_slots(spec: BatchSpec, held: tuple[int, ...]) -> None:
    """Checks that a trainer holds only slots that the batch has.

    Raises:
        InvalidRequestError: it names another one.
    """
    if any(not 0 <= slot < spec.slot_count for slot in held):
        raise InvalidRequestError(f"held slots must lie between 0 and {spec.slot_count - 1}")
