"""Which engines are a model's own, and which are to load now: all daemons work out the same."""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.clock import Clock
from larkpost.fleet.configuration import ConfigurationState, ModelName, Service, ServiceName
from larkpost.fleet.directory import Directory, InstanceState
from larkpost.fleet.evacuations import Evacuations
from larkpost.fleet.weights import (
    Demands,
    WeightTargets,
    assign_models,
    due_loads,
    split_evacuated,
)
from larkpost.ids import EngineId
from larkpost.policy import DEFAULT_POLICY, Policy

LIFETIME_SECONDS = 0.1
"""How long a division serves: items ask for it again and again."""


@dataclass(frozen=True, slots=True)
class Division:
    """The engines of one service.

    Attributes:
        made_at: steady time at which it was worked out.
        own: each model's engines.
        loading: engines that load a version now, or will be told to in a moment.
    """

    made_at: float
    own: dict[ModelName, frozenset[EngineId]]
    loading: frozenset[EngineId]


class EngineDivision:
    """The division of each service's engines among its models, as of a moment ago.

    Args:
        demands: tells what the batches of each model ask for.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        directory: Directory,
        targets: WeightTargets,
        clock: Clock,
        demands: Callable[[], Demands],
        policy: Policy = DEFAULT_POLICY,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._evacuations = evacuations or Evacuations()
        self._configuration = configuration
        self._directory = directory
        self._targets = targets
        self._clock = clock
        self._demands = demands
        self._policy = policy
        self._known: dict[ServiceName, Division] = {}

    def engines_of(self, service: ServiceName, model: ModelName) -> frozenset[EngineId]:
        """Returns a model's own engines; none if the service does not hold the model.

        None of them is in an evacuated zone: a batch would wait for engines that get nothing.
        """
        return self._division(service).own.get(model, frozenset())

    def loading(self, service: ServiceName) -> frozenset[EngineId]:
        """Returns the engines that refuse work now, or will in a moment, as they load."""
        return self._division(service).loading

    def _division(self, service: ServiceName) -> Division:
        now = self._clock.now()
        known = self._known.get(service)
        if known is None or now - known.made_at >= LIFETIME_SECONDS:
            known = self._divide(service, now)
            self._known[service] = known
        return known

    def _divide(self, name: ServiceName, now: float) -> Division:
        configuration = self._configuration.current
        service = configuration.services.get(name) if configuration is not None else None
        if service is None or not service.models:
            return Division(now, {}, frozenset())
        demands = self._demands()
        return Division(now, self._own(service, demands), self._loading(service, demands, now))

    def _own(self, service: Service, demands: Demands) -> dict[ModelName, frozenset[EngineId]]:
        ready = [
            info
            for info in self._directory.of_service(service.name)
            if info.state is InstanceState.READY
        ]
        serving, _ = split_evacuated(ready, self._evacuations.zones())
        division = assign_models(service, serving, self._directory, demands, self._policy)
        return {model: frozenset(engines) for model, engines in division.items()}

    def _loading(self, service: Service, demands: Demands, now: float) -> frozenset[EngineId]:
        due = due_loads(
            service,
            self._directory,
            self._targets,
            demands,
            now,
            self._policy,
            self._evacuations.zones(),
        )
        return frozenset(engine for engine, _ in due)
