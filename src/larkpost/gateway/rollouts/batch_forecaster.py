"""Deadline forecasts of the open batches, from their progress as their owners report it.

`controllers/batch_forecast.py` has the rules; this module gathers their inputs: the reported
progress, due times from heads and routes, and service times from the balancer.
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
"""Priority of a model without a batch, or whose route is unknown."""
REPORT_LIFETIME_SECONDS = 1.2
"""Lifetime of a progress report; the progress of its batches is unknown afterwards."""


@dataclass(frozen=True, slots=True)
class ForecastInputs:
    """Inputs of deadline forecasts other than progress reports.

    Attributes:
        service_time: returns the seconds per event of an engine; 0 if unknown.
        store_time: returns the store's clock in seconds; None if unknown.
    """

    configuration: ConfigurationState
    directory: InstanceDirectory
    service_time: Callable[[InstanceId], float]
    clock: Clock
    store_time: Callable[[], float | None]


@dataclass(frozen=True, slots=True)
class ModelHeads:
    """Heads of the batches from which the demand of models is computed.

    Attributes:
        open: heads of the open batches.
        newest: head of each model's newest batch; a model may have no open batch between two steps.
    """

    open: Iterable[BatchHead]
    newest: Iterable[BatchHead] = ()


class BatchForecaster:
    """Keeps the reported progress of open batches and forecasts their deadlines."""

    def __init__(self, inputs: ForecastInputs) -> None:
        self._inputs = inputs
        self._reports: dict[DaemonId, tuple[float, dict[BatchId, BatchProgress]]] = {}
        """Steady time and content of the last report of each owner."""

    def record_report(self, daemon: DaemonId, batches: dict[BatchId, BatchProgress]) -> None:
        """Records the batch progress reported by another daemon, replacing its last report."""
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
        """Returns the demands with the forecast, waiting items and priority of each model added.

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
        """Returns the highest priority of each model's open batches and newest batch."""
        priorities: dict[ModelName, int] = {}
        for head in (*heads.open, *heads.newest):
            known = priorities.get(head.model, LOWEST_PRIORITY)
            priorities[head.model] = min(known, self._priority(head))
        return priorities

    def _recent_reports(self) -> dict[BatchId, BatchProgress]:
        """Returns the progress in current reports of other daemons, and drops expired reports."""
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
        """Returns the deadline forecast of a batch.

        Args:
            capacities: cache of service capacities; extended if the batch's service is missing.
        """
        now = self._inputs.store_time()
        configuration = self._inputs.configuration.current
        if now is None or configuration is None:
            return DeadlineForecast.UNKNOWN
        route = configuration.match(head.host, head.path.encode("latin-1"))
        service = _first_service(route, configuration)
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
        """Returns the capacity of a service's engines for a batch.

        Assumes that each model has an equal share of the slots, less the fraction that it may lend.
        """
        engines = self._inputs.directory.ready_of(service.name)
        known = (self._inputs.service_time(info.id) for info in engines)
        service_times = sorted(service_time for service_time in known if service_time)
        if not service_times:
            return BatchCapacity(0, 0, 0.0, 0.0)
        total_slots = sum(max(1, info.slots) for info in engines)
        return BatchCapacity(
            max(1, int(total_slots * (1 - MAX_LENT_FRACTION) / len(service.models))),
            total_slots,
            service_times[len(service_times) // 2] / service.tokens_per_event,
            service_times[0] / service.tokens_per_event,
        )


def _first_service(route: Route | None, configuration: Configuration) -> Service | None:
    """Returns the first service of a route; None without one, or if it serves no model."""
    if route is None or not route.shares:
        return None
    service = configuration.services.get(route.shares[0].service)
    return service if service is not None and service.models else None
