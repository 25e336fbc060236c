"""The two sites for `larkpost serve`, as intents and machines."""

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


def _machines(pool: str, count: int, zones: tuple[ZoneId, ...]) -> tuple[Machine, ...]:
    return tuple(
        Machine(EngineId(f"{pool}-{i + 1}"), zones[i % len(zones)], PoolId(pool))
        for i in range(count)
    )


CASABLANCA_ZONES = (ZoneId("casa-sidi"), ZoneId("casa-ainsebaa"), ZoneId("casa-bouskoura"))
SANTIAGO_ZONES = (ZoneId("scl-quilicura"), ZoneId("scl-huechuraba"), ZoneId("scl-campus"))

CASABLANCA = Site(
    name="casablanca",
    zones=CASABLANCA_ZONES,
    machines=(
        *_machines("lm-pool", 5, CASABLANCA_ZONES),
        *_machines("quote-feed", 3, CASABLANCA_ZONES),
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
    zones=SANTIAGO_ZONES,
    machines=(
        *_machines("redactor", 6, SANTIAGO_ZONES),
        *_machines("estante", 3, SANTIAGO_ZONES),
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
