"""Whether a client's request can go nowhere because the operator has evacuated the zones."""

from larkpost.fleet.configuration import ServiceName
from larkpost.placement.verdict import Verdict
from larkpost.placement.work import Work
from larkpost.proxy.balancer import Balancer

EVACUATED_RETRY_SECONDS = 1.0
"""When to come back. An evacuation ends by an operator's hand, after seconds at least.

Whoever comes back sooner is refused once more; a caller with less time comes when its time says.
"""
CLOSED_FOR_LONG = {Verdict.EVACUATED, Verdict.OUTSIDE_REGIONS}
"""Objections that do not pass while a request waits."""


def is_evacuated(balancer: Balancer, service: ServiceName, work: Work) -> bool:
    """Tells whether evacuations leave a service no instance, so that waiting is of no use."""
    objections = balancer.objections(service, work)
    return Verdict.EVACUATED in objections and objections <= CLOSED_FOR_LONG
