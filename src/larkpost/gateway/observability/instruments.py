"""The clock, the log and the metrics that components share."""

from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Metrics


@dataclass(frozen=True, slots=True)
class Instruments:
    """The clock, the log and the metrics of one daemon."""

    clock: Clock
    log: EventLog
    metrics: Metrics = field(default_factory=Metrics)
