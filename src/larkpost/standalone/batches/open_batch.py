"""The state of one batch that is open at this daemon."""

import asyncio
from dataclasses import dataclass, field

from larkpost.standalone.batches.ledger import BatchLedger, Sample
from larkpost.standalone.batches.runner import BatchRunner


@dataclass(slots=True)
class OpenBatch:
    """A batch owned by this daemon.

    Attributes:
        last_pull_at: local monotonic time of the trainer's last pull, or of opening.
        due_at: local monotonic time by which the trainer wants the complete batch, or infinity.
        unreplicated: finished samples not yet sent to a standby.
        changed: set when a sample finishes and when the batch is handed over.
        was_replicated: whether a standby has stored the batch at least once.
    """

    ledger: BatchLedger
    last_pull_at: float
    due_at: float
    runner: BatchRunner | None = None
    unreplicated: list[Sample] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    was_replicated: bool = False
