"""The state of one client request while it is forwarded.

Owns the record of which servers may have run a request and which certainly did not; the rules that
use it are in `retry`, `request_scheduler` and `server_choice`.
"""

from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.proxy.forecast import Forecast
from larkpost.gateway.proxy.request import ClientRequest, StreamedResponse, WholeResponse
from larkpost.gateway.proxy.waiter import Waiter
from larkpost.gateway.servers.port import NotRunReason


class QuarantineState(StrEnum):
    """Whether a request is quarantined because servers crashed on requests like it."""

    NONE = "none"  # may be sent to any server
    QUARANTINED = "quarantined"  # must not be sent to any server
    TRIAL = "trial"  # may be sent to one server, to test whether the quarantine is a mistake


@dataclass(slots=True)
class Attempts:
    """The attempts of one request.

    Attributes:
        waiter: its queue entry, with its service, work and deadlines.
        first_forecast: the forecast at its arrival.
        forecast: the latest forecast.
        may_have_run_on: servers that may have run it.
        refused_by: servers that certainly did not run it, since it last waited.
        reasons: why they did not run it.
        last_failure: the last whole response with a server failure.
        quarantine: its last known quarantine state; a trial lasts as long as the request.
        opened: the streamed responses; at most one is used.
    """

    request: ClientRequest
    route: Route
    waiter: Waiter
    first_forecast: Forecast
    forecast: Forecast
    may_have_run_on: set[InstanceId] = field(default_factory=set)
    refused_by: set[InstanceId] = field(default_factory=set)
    reasons: set[NotRunReason] = field(default_factory=set)
    last_failure: WholeResponse | None = None
    quarantine: QuarantineState = QuarantineState.NONE
    opened: list[StreamedResponse] = field(default_factory=list)

    @property
    def are_all_unreachable(self) -> bool:
        """Whether every server that it was sent to since it last waited was unreachable."""
        return self.reasons == {NotRunReason.UNREACHABLE}

    @property
    def is_trial(self) -> bool:
        """Whether it is a trial, which may be sent to one server although it is quarantined."""
        return self.quarantine is QuarantineState.TRIAL

    @property
    def tried(self) -> set[InstanceId]:
        """The servers not to try again: those that may have run it or refused it."""
        return self.may_have_run_on | self.refused_by

    def reset_refusals(self) -> None:
        """Allows the servers that did not run it to be tried again."""
        self.refused_by.clear()
        self.reasons.clear()

    async def close_unused(self, used: WholeResponse | StreamedResponse | None) -> None:
        """Abandons the streamed responses that are not used.

        Abandons all of them even if the request is cancelled meanwhile.
        """
        async with AsyncExitStack() as stack:
            for opened in self.opened:
                if opened is not used:
                    stack.push_async_callback(opened.abandon)

    def record_may_have_run(self, instance: InstanceId) -> None:
        """Records that a server may have run it; also called while that is not known yet."""
        self.may_have_run_on.add(instance)

    def record_not_run(self, instance: InstanceId, reason: NotRunReason) -> None:
        """Records that a server certainly did not run it."""
        self.may_have_run_on.discard(instance)
        self.refused_by.add(instance)
        self.reasons.add(reason)
