"""What is known of one client request while it is forwarded."""

from dataclasses import dataclass, field

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.proxy.forecast import Forecast
from larkpost.gateway.proxy.request import ClientRequest, WholeResponse
from larkpost.gateway.proxy.waiting import Waiter
from larkpost.gateway.servers.port import NotRunReason


@dataclass(slots=True)
class Attempts:
    """The attempts of one request.

    Attributes:
        waiter: its service, its work, its times, and its place in the line.
        first_forecast: what was foreseen when it came.
        forecast: what was foreseen last.
        ran_at: servers that may have run it.
        refused_by: servers that certainly did not, since it last waited.
        reasons: why they did not.
        last: the last failure that a server answered in full.
        is_quarantined: whether it goes to no server any more, as others crashed under its like.
        is_trial: whether it may go to one server all the same, to see if that is a mistake.
    """

    request: ClientRequest
    route: Route
    waiter: Waiter
    first_forecast: Forecast
    forecast: Forecast
    ran_at: set[InstanceId] = field(default_factory=set)
    refused_by: set[InstanceId] = field(default_factory=set)
    reasons: set[NotRunReason] = field(default_factory=set)
    last: WholeResponse | None = None
    is_quarantined: bool = False
    is_trial: bool = False

    @property
    def are_all_unreachable(self) -> bool:
        """Whether each server that it was sent to since it last waited could not be reached."""
        return self.reasons == {NotRunReason.UNREACHABLE}

    def begin_round(self) -> None:
        """Has all servers that did not run it tried again."""
        self.refused_by.clear()
        self.reasons.clear()
