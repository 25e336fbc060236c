"""Events observed by trainers, clients, engines and operators; the input of the oracle."""

from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.ids import EngineId, PlanId, ZoneId
from larkpost.rehearsal.engine_types import EngineRecord
from larkpost.standalone.batches.ledger import BatchSpec, Sample
from larkpost.standalone.routing.work import VersionSpan


class CallOutcome(StrEnum):
    """How one attempt of a client ended, as the client observed it."""

    NOTHING = "nothing"
    ANSWER = "answer"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ClientCall:
    """One attempt of a client's request."""

    request: str
    service: str
    prompt: str
    max_tokens: int
    run_once: bool
    key: str | None
    asked_at: float
    outcome: CallOutcome = CallOutcome.NOTHING
    code: str = ""
    ended_at: float = 0.0
    tokens: tuple[int, ...] = ()
    spans: tuple[VersionSpan, ...] = ()


@dataclass(frozen=True, slots=True)
class Delivery:
    """A sample as a trainer received it."""

    spec: BatchSpec
    sample: Sample
    trainer_version: int
    already_held: bool
    at: float


@dataclass(slots=True)
class EngineWork:
    """One attempt, with the engine that executed it."""

    engine: EngineId
    record: EngineRecord


class LeavingSource(StrEnum):
    """Who announced that an engine is leaving."""

    LIST = "machine list"
    ENGINE = "engine"
    OPERATOR = "operator"


@dataclass(slots=True)
class LeavingNotice:
    """The period in which one source announced an engine as leaving."""

    engine: EngineId
    source: LeavingSource
    at: float
    until: float = float("inf")
    """When the leaving process ended; a new one may then run under the same name."""


@dataclass(frozen=True, slots=True)
class ConfirmedPlan:
    """A plan whose confirmation succeeded."""

    plan_id: PlanId
    epoch: int
    zones_in_force: frozenset[ZoneId]
    at: float


@dataclass(slots=True)
class Records:
    """Everything observed from outside the daemons."""

    calls: list[ClientCall] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    work: list[EngineWork] = field(default_factory=list)
    leaving: list[LeavingNotice] = field(default_factory=list)
    confirmed: list[ConfirmedPlan] = field(default_factory=list)
    refused_plans: set[PlanId] = field(default_factory=set)
    """Plans that a daemon refused as outdated; they must never be applied."""
    requests_cut_by_stop: list[str] = field(default_factory=list)
    batches_opened: list[BatchSpec] = field(default_factory=list)
    completed_batches: list[str] = field(default_factory=list)
    idle_seconds: dict[str, float] = field(default_factory=dict)
    train_seconds: dict[str, float] = field(default_factory=dict)
    last_fault_at: float = 0.0
    """When the last partition, outage or freeze ended; infinity while one is active."""
