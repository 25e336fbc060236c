"""The state of one batch that is open at this daemon."""

import asyncio
from dataclasses import dataclass, field

from larkpost.standalone.batches.ledger import BatchLedger, Sample
from larkpost.standalone.batches.runner import BatchRunner


@dataclass(slots=True)
class OpenBatch:
    """A batch owned by this daemon.

    Attributes:
        touched: local monotonic time of the trainer's last pull.
        due_at: local monotonic time by which the trainer wants the batch whole, or infinity.
        unreplicated: samples that no other daemon has yet.
        changed: is set whenever a sample is finished, and when the batch is given up.
        copied: whether another daemon has had a copy of the batch.
    """

    ledger: BatchLedger
    last_pull_at: float
    due_at: float
    runner: BatchRunner | None = None
    unreplicated: list[Sample] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    was_replicated: bool = False
