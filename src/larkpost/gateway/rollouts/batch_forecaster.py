"""The outlook of each open batch: its own daemon's word, or what its owner has reported.

Owns what the owners of batches report. `controllers/batch_forecast.py` has the rule; this module
gathers its inputs: due times from the heads and routes, paces from the balancer.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId, InstanceId
from larkpost.gateway.blackboard.configuration import (
    Configuration,
    ConfigurationState,
    ModelName,
    Route,
    Service,
    ServiceName,
)
from larkpost.gateway.blackboard.daemon_report import BatchProgress
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.weight_targets import DeadlineForecast, ModelDemand
from larkpost.gateway.controllers.batch_forecast import (
    BatchCapacity,
    forecast_deadline,
    most_urgent_forecast,
)
from larkpost.gateway.controllers.lending import MAX_LENT_FRACTION
from larkpost.gateway.rollouts.model import BatchHead

LOWEST_PRIORITY = 9
"""Of a model without a batch, or whose route is not known."""
REPORT_LIFETIME_SECONDS = 1.2
"""How long a report is believed: some four heartbeats. Then nothing is known of its batches."""


@dataclass(frozen=True, slots=True)
class ForecastInputs:
    """What outlooks are worked out from, beside reports.

    Attributes:
        pace: returns the seconds that an event takes at an engine; 0 if not known.
        store_time: returns the store's clock in seconds, or None if it is not known.
    """

    configuration: ConfigurationState
    directory: InstanceDirectory
    service_time: Callable[[InstanceId], float]
    clock: Clock
    store_time: Callable[[], float | None]


@dataclass(frozen=True, slots=True)
class ModelHeads:
    """The heads of batches that demands are worked out from.

    Attributes:
        open: of the batches that are open.
        newest: of each model's newest batch: between two steps none is open, but versions load.
    """

    open: Iterable[BatchHead]
    newest: Iterable[BatchHead] = ()


class BatchForecaster:
    """What is known of the progress of open batches, and what follows from it."""

    def __init__(self, inputs: ForecastInputs) -> None:
        self._inputs = inputs
        self._reports: dict[DaemonId, tuple[float, dict[BatchId, BatchProgress]]] = {}
        """What each owner reported last, and the steady time of that."""

    def record_report(self, daemon: DaemonId, batches: dict[BatchId, BatchProgress]) -> None:
        """Records what another daemon reports of its batches, in place of its last report."""
        if batches:
            self._reports[daemon] = (self._inputs.clock.now(), batches)
        else:
            self._reports.pop(daemon, None)

    def add_forecasts(
        self,
        demands: dict[ModelName, ModelDemand],
        heads: ModelHeads,
        own: dict[BatchId, BatchProgress],
    ) -> dict[ModelName, ModelDemand]:
        """Returns what models ask for, with the outlook of their open batches added.

        Args:
            own: progress of the batches that this daemon owns.
        """
        known = self._recent_reports() | own
        capacities: dict[ServiceName, BatchCapacity] = {}
        forecasts: dict[ModelName, list[DeadlineForecast]] = defaultdict(list)
        waiting: dict[ModelName, int] = defaultdict(int)
        for head in heads.open:
            progress = known.get(head.id)
            if progress is None:
                forecasts[head.model].append(DeadlineForecast.UNKNOWN)
            else:
                forecasts[head.model].append(self._forecast(head, progress, capacities))
                waiting[head.model] += progress.waiting
        priorities = self._priorities(heads)
        return {
            model: replace(
                demand,
                deadline_forecast=most_urgent_forecast(forecasts[model]),
                waiting=waiting[model],
                priority=priorities.get(model, LOWEST_PRIORITY),
            )
            for model, demand in demands.items()
        }

    def _priorities(self, heads: ModelHeads) -> dict[ModelName, int]:
        """Returns the priority of each model: the highest of its open and its newest batch."""
        priorities: dict[ModelName, int] = {}
        for head in (*heads.open, *heads.newest):
            known = priorities.get(head.model, LOWEST_PRIORITY)
            priorities[head.model] = min(known, self._priority(head))
        return priorities

    def _recent_reports(self) -> dict[BatchId, BatchProgress]:
        """Returns what the others reported a moment ago."""
        oldest = self._inputs.clock.now() - REPORT_LIFETIME_SECONDS
        for daemon in [name for name, (at, _) in self._reports.items() if at < oldest]:
            del self._reports[daemon]
        return {
            batch: progress
            for _, batches in self._reports.values()
            for batch, progress in batches.items()
        }

    def _forecast(
        self,
        head: BatchHead,
        progress: BatchProgress,
        capacities: dict[ServiceName, BatchCapacity],
    ) -> DeadlineForecast:
        """Returns the outlook of a batch.

        Args:
            capacities: of the services that other batches of the same pass have asked for.
        """
        now = self._inputs.store_time()
        configuration = self._inputs.configuration.current
        if now is None or configuration is None:
            return DeadlineForecast.UNKNOWN
        route = configuration.match(head.host, head.path.encode("latin-1"))
        service = _service_of(route, configuration)
        if route is None or not route.due or service is None:
            return DeadlineForecast.UNKNOWN
        due_in = head.created_at + route.due - now
        if service.name not in capacities:
            capacities[service.name] = self._capacity(service)
        return forecast_deadline(progress, due_in, capacities[service.name])

    def _priority(self, head: BatchHead) -> int:
        """Returns the priority of a batch's tenant or route, 0 highest."""
        configuration = self._inputs.configuration.current
        if configuration is None:
            return LOWEST_PRIORITY
        route = configuration.match(head.host, head.path.encode("latin-1"))
        if route is None:
            return LOWEST_PRIORITY
        return configuration.priority_of(head.tenant, route)

    def _capacity(self, service: Service) -> BatchCapacity:
        """Returns what a service's engines can do for a batch.

        It counts on an equal share of them, less what its model may lend.
        """
        engines = self._inputs.directory.ready_of(service.name)
        known = (self._inputs.service_time(info.id) for info in engines)
        service_times = sorted(service_time for service_time in known if service_time)
        if not service_times:
            return BatchCapacity(0, 0, 0.0, 0.0)
        places = sum(max(1, info.slots) for info in engines)
        return BatchCapacity(
            max(1, int(places * (1 - MAX_LENT_FRACTION) / len(service.models))),
            places,
            service_times[len(service_times) // 2] / service.tokens_per_event,
            service_times[0] / service.tokens_per_event,
        )


def _service_of(route: Route | None, configuration: Configuration) -> Service | None:
    """Returns the service of engines that a route names first; None if it names none."""
    if route is None or not route.shares:
        return None
    service = configuration.services.get(route.shares[0].service)
    return service if service is not None and service.models else None
