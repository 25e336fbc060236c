"""The division of each service's engines among its models, and the loads that follow from it.

`controllers.loader` asks for the due loads, of which it gives the orders; `rollouts` asks for a
model's own engines and for those that load, which it avoids. All daemons work out the same.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import ModelName, Service, ServiceName
from larkpost.gateway.blackboard.weight_targets import Demands, WeightTarget
from larkpost.gateway.controllers.due_loads import LoadInputs, due_loads
from larkpost.gateway.controllers.model_assignment import assign_models, split_evacuated

LIFETIME_SECONDS = 0.1
"""Seconds for which a division serves: items ask for it again and again. As long as the loader's
interval."""


@dataclass(frozen=True, slots=True)
class Division:
    """The engines of one service.

    Attributes:
        made_at: steady time at which it was worked out.
        own: each model's engines.
        loading: engines that load a version now, or will be ordered to in a moment.
    """

    made_at: float
    own: dict[ModelName, frozenset[InstanceId]]
    loading: frozenset[InstanceId]


class EngineDivision:
    """The division of each service's engines among its models, and the loads that are due.

    Args:
        demands: returns what the batches of each model ask for.
    """

    def __init__(
        self, blackboard: Blackboard, clock: Clock, demands: Callable[[], Demands]
    ) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._demands = demands
        self._known: dict[ServiceName, Division] = {}

    def due(self, service: Service, now: float) -> list[tuple[InstanceId, WeightTarget]]:
        """Returns the engines of a service that should be loading now, and what."""
        inputs = LoadInputs(
            self._blackboard.directory,
            self._blackboard.targets,
            self._demands(),
            self._blackboard.evacuations.zones(),
        )
        return due_loads(service, inputs, now)

    def engines_of(self, service: ServiceName, model: ModelName) -> frozenset[InstanceId]:
        """Returns a model's own engines; none if the service does not hold the model.

        None of them is in an evacuated zone: a batch would wait for engines that get nothing.
        """
        return self._division(service).own.get(model, frozenset())

    def loading(self, service: ServiceName) -> frozenset[InstanceId]:
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
        configuration = self._blackboard.configuration.current
        service = configuration.services.get(name) if configuration is not None else None
        if service is None or not service.models:
            return Division(now, {}, frozenset())
        loading = frozenset(engine for engine, _ in self.due(service, now))
        return Division(now, self._own(service), loading)

    def _own(self, service: Service) -> dict[ModelName, frozenset[InstanceId]]:
        directory = self._blackboard.directory
        ready = directory.ready_of(service.name)
        serving, _ = split_evacuated(ready, self._blackboard.evacuations.zones())
        division = assign_models(service, serving, directory, self._demands())
        return {model: frozenset(engines) for model, engines in division.items()}
