"""Logs which engines are lent to which models, when that changes."""

from larkpost.common.clock import Clock
from larkpost.gateway.blackboard.configuration import Service, ServiceName
from larkpost.gateway.blackboard.weight_targets import Demands, ModelDemand
from larkpost.gateway.controllers.lending import Lending, lending_role
from larkpost.gateway.observability.eventlog import Event, EventLog

LOG_INTERVAL_SECONDS = 1.0
"""Minimum time between two log lines for one service."""

MAX_NAMED = 8
"""Most engines that a log line names for each model."""


class LendingLog:
    """Logs changes of each service's lending, at most once per `LOG_INTERVAL_SECONDS`."""

    def __init__(self, log: EventLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._logged: dict[ServiceName, tuple[float, Lending]] = {}
        """For each service, the time and content of its last log line."""

    def record(self, service: Service, lending: Lending, demands: Demands) -> None:
        """Logs a service's lending and the reasons for it, if it differs from the last log line."""
        now = self._clock.now()
        logged_at, logged = self._logged.get(service.name, (float("-inf"), Lending()))
        if lending == logged or now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged[service.name] = (now, lending)
        known = {model: demands.get(model, ModelDemand()) for model in service.models}
        self._log.record(
            Event.ENGINES_LENT,
            service=service.name,
            counts={model: len(engines) for model, engines in lending.lent.items()},
            lent={model: engines[:MAX_NAMED] for model, engines in lending.lent.items()},
            standings={model: lending_role(demand) for model, demand in known.items()},
            outlooks={model: demand.deadline_forecast for model, demand in known.items()},
            asked_after={model: demand.submit_delay for model, demand in known.items()},
        )
