"""The two sites of today, as intents and machines."""

from dataclasses import dataclass

from larkpost.common.ids import EngineId, PolicyId, PoolId, TrainerId, ZoneId
from larkpost.standalone.config.intent import Intent, PoolIntent, ServiceIntent, TrainerIntent


@dataclass(frozen=True, slots=True)
class Machine:
    """An engine machine of a site."""

    engine: EngineId
    zone: ZoneId
    pool: PoolId


@dataclass(frozen=True, slots=True)
class Site:
    """Zones, engines and intent of one installation."""

    name: str
    zones: tuple[ZoneId, ...]
    machines: tuple[Machine, ...]
    intent: Intent
    trainer: TrainerId
    trainer_pool: PoolId
    policy: PolicyId
    services: tuple[str, ...]


def _machines(pool: str, count: int, zones: tuple[str, ...]) -> tuple[Machine, ...]:
    return tuple(
        Machine(EngineId(f"{pool}-{i + 1}"), ZoneId(zones[i % len(zones)]), PoolId(pool))
        for i in range(count)
    )


_CASABLANCA_ZONES = ("casa-sidi", "casa-ainsebaa", "casa-bouskoura")
_SANTIAGO_ZONES = ("scl-quilicura", "scl-huechuraba", "scl-campus")

CASABLANCA = Site(
    name="casablanca",
    zones=tuple(map(ZoneId, _CASABLANCA_ZONES)),
    machines=(
        *_machines("lm-pool", 5, _CASABLANCA_ZONES),
        *_machines("quote-feed", 3, _CASABLANCA_ZONES),
    ),
    intent=Intent(
        pools=(
            PoolIntent(name=PoolId("lm-pool"), policy=PolicyId("summary"), client_reserve=3),
            PoolIntent(name=PoolId("quote-feed")),
        ),
        services=(
            ServiceIntent(name="quotes", pool=PoolId("quote-feed"), priority=9),
            ServiceIntent(name="assistant", pool=PoolId("lm-pool"), priority=8),
        ),
        trainers=(
            TrainerIntent(
                name=TrainerId("summaries"),
                pools=(PoolId("lm-pool"),),
                staleness_bound=2,
                staleness_weight=0.8,
            ),
        ),
    ),
    trainer=TrainerId("summaries"),
    trainer_pool=PoolId("lm-pool"),
    policy=PolicyId("summary"),
    services=("quotes", "assistant"),
)

SANTIAGO = Site(
    name="santiago",
    zones=tuple(map(ZoneId, _SANTIAGO_ZONES)),
    machines=(
        *_machines("redactor", 6, _SANTIAGO_ZONES),
        *_machines("estante", 3, _SANTIAGO_ZONES),
    ),
    intent=Intent(
        pools=(
            PoolIntent(name=PoolId("redactor"), policy=PolicyId("drafts")),
            PoolIntent(name=PoolId("estante")),
        ),
        services=(ServiceIntent(name="pages", pool=PoolId("estante"), priority=9),),
        trainers=(
            TrainerIntent(
                name=TrainerId("drafting"),
                pools=(PoolId("redactor"),),
                staleness_bound=2,
                staleness_weight=0.2,
            ),
        ),
    ),
    trainer=TrainerId("drafting"),
    trainer_pool=PoolId("redactor"),
    policy=PolicyId("drafts"),
    services=("pages",),
)

SITES = (CASABLANCA, SANTIAGO)
