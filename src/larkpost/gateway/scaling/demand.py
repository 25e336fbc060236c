"""What is asked of a service of engines, from its open batches and the pace of its engines."""

from collections.abc import Callable

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Configuration, Service
from larkpost.gateway.blackboard.directory import InstanceDirectory
from larkpost.gateway.blackboard.weight_targets import Demands
from larkpost.gateway.scaling.planner import Demand


class DemandForecast:
    """Works out the demand of services.

    Args:
        demands: returns what the batches of each model ask for.
        pace: returns the seconds between two events of a run at an engine; 0 if not known.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        demands: Callable[[], Demands],
        pace: Callable[[InstanceId], float],
    ) -> None:
        self._directory = directory
        self._demands = demands
        self._pace = pace

    def of(self, service: Service, configuration: Configuration) -> Demand:
        """Returns the demand of a service: the tokens of each open batch within its due time."""
        routes = configuration.batch_routes_to(service.name)
        due = min((route.due for route in routes if route.due), default=0.0)
        if not due:
            return Demand()
        demands = self._demands()
        work = sum(demands[model].work for model in service.models if model in demands)
        return Demand(work / due, self._server_rate(service))

    def _server_rate(self, service: Service) -> float:
        """Returns the tokens that an engine of middling pace makes a second; 0 if not known."""
        paces = sorted(
            pace
            for info in self._directory.of_service(service.name)
            if (pace := self._pace(info.id))
        )
        if not paces:
            return 0.0
        return service.slots * service.tokens_per_event / paces[len(paces) // 2]
