"""What is known of one client request while it is forwarded.

Owns the record of which servers may have run a request and which certainly did not; the rules that
read it stand in `retry`, `turn_gate` and `server_choice`.
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
    """Whether servers have crashed under requests like this one, and what follows from it."""

    NONE = "none"  # it may be sent to any server
    QUARANTINED = "quarantined"  # it goes to no server
    TRIAL = "trial"  # it may go to one server, to see whether the quarantine is a mistake


@dataclass(slots=True)
class Attempts:
    """The attempts of one request.

    Attributes:
        waiter: its service, its work, its times, and its place in the queue.
        first_forecast: what was forecast when it came.
        forecast: the latest forecast.
        ran_at: servers that may have run it.
        refused_by: servers that certainly did not, since it last waited.
        reasons: why they did not.
        last: the last failure that a server responded with in full.
        quarantine: as it was last found; a trial lasts as long as the request.
        opened: the responses that are passed on as they come; at most one is used.
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
        """Whether each server that it was sent to since it last waited could not be reached."""
        return self.reasons == {NotRunReason.UNREACHABLE}

    @property
    def is_trial(self) -> bool:
        """Whether it may go to one server although it is quarantined."""
        return self.quarantine is QuarantineState.TRIAL

    @property
    def tried(self) -> set[InstanceId]:
        """The servers that are not tried again: those that may have run it or refused it."""
        return self.may_have_run_on | self.refused_by

    def reset_refusals(self) -> None:
        """Has all servers that did not run it tried again."""
        self.refused_by.clear()
        self.reasons.clear()

    async def close_unused(self, used: WholeResponse | StreamedResponse | None) -> None:
        """Ends the calls whose responses are not used, as another one came first.

        All of them are ended, also if the request is cancelled meanwhile.
        """
        async with AsyncExitStack() as calls:
            for opened in self.opened:
                if opened is not used:
                    calls.push_async_callback(opened.abandon)

    def record_may_have_run(self, instance: InstanceId) -> None:
        """Records that a server may have run it, also while that is not known yet."""
        self.may_have_run_on.add(instance)

    def record_not_run(self, instance: InstanceId, reason: NotRunReason) -> None:
        """Records that a server certainly did not run it."""
        self.may_have_run_on.discard(instance)
        self.refused_by.add(instance)
        self.reasons.add(reason)
