"""The loads of weights that are due now: asked by who gives the orders, and by who avoids them."""

from collections.abc import Callable

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.blackboard.configuration import Service
from larkpost.gateway.controllers.weights import Demands, WeightTarget, due_loads


class LoadPlan:
    """Works the due loads out from what this daemon believes; all daemons work out the same.

    Args:
        demands: tells what the batches of each model ask for.
    """

    def __init__(self, blackboard: Blackboard, demands: Callable[[], Demands]) -> None:
        self._beliefs = blackboard
        self._demands = demands

    def due(self, service: Service, now: float) -> list[tuple[InstanceId, WeightTarget]]:
        """Returns the engines of a service that should be loading now, and what."""
        return due_loads(
            service,
            self._beliefs.directory,
            self._beliefs.targets,
            self._demands(),
            now,
            self._beliefs.evacuations.zones(),
        )
