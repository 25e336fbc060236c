"""What daemons report to each other with their heartbeats, beside their use of instances."""

from dataclasses import dataclass, field
from typing import NamedTuple

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.tenants import TenantName


class LastingPace(NamedTuple):
    """How long a unit of work takes at an incarnation of an instance, its bursts taken out.

    Attributes:
        born: Unix millisecond of the incarnation's start; None if it does not say it.
        seconds: seconds a unit of work takes there.
    """

    born: int | None
    seconds: float


class TenantUse(NamedTuple):
    """What one daemon holds for one tenant at a moment.

    Attributes:
        running: its requests at servers.
        waiting: its requests that wait for a place.
    """

    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """What one daemon reports; what it does not say is unknown.

    Attributes:
        paces: lasting paces that it has learnt itself.
        tenants: use by its tenants with the greatest use, of bounded number.
        capacity: what its machine can bear beside clients, without unit; None if not known.
    """

    paces: dict[InstanceId, LastingPace] = field(default_factory=dict)
    tenants: dict[TenantName, TenantUse] = field(default_factory=dict)
    capacity: float | None = None
