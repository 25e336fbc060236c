"""Estimates the demand for a service from its open batches and its engines' service times."""

from collections.abc import Callable

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Configuration, Service
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.weight_targets import Demands
from larkpost.gateway.scaling.planner import ServiceDemand


class DemandEstimator:
    """Estimates the demand for services.

    Args:
        demands: returns what the batches of each model ask for.
        service_time: returns the seconds between two events of a run at an engine; 0 if unknown.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        demands: Callable[[], Demands],
        service_time: Callable[[InstanceId], float],
    ) -> None:
        self._directory = directory
        self._demands = demands
        self._service_time = service_time

    def of(self, service: Service, configuration: Configuration) -> ServiceDemand:
        """Returns a service's demand: the tokens of open batches over the shortest due time."""
        routes = configuration.batch_routes_to(service.name)
        due = min((route.due for route in routes if route.due), default=0.0)
        if not due:
            return ServiceDemand()
        demands = self._demands()
        work = sum(demands[model].work for model in service.models if model in demands)
        return ServiceDemand(work / due, self._server_rate(service))

    def _server_rate(self, service: Service) -> float:
        """Returns the tokens per second of an engine with median service time; 0 if unknown."""
        service_times = sorted(
            service_time
            for info in self._directory.of_service(service.name)
            if (service_time := self._service_time(info.id))
        )
        if not service_times:
            return 0.0
        return service.slots * service.tokens_per_event / service_times[len(service_times) // 2]
