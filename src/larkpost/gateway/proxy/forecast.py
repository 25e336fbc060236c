"""Foresees whether a request will be served, from the places of its service and its caller's time.

An answer is worth most within the route's objective, counted from the caller's first try, less
until the caller leaves, and nothing after that. So a request that can still be answered waits, and
one that cannot is told so at once.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.gateway.blackboard.configuration import ServiceName
from larkpost.gateway.blackboard.directory import Directory
from larkpost.gateway.placement.verdict import Verdict
from larkpost.gateway.placement.work import Work
from larkpost.gateway.proxy.balancer import Balancer

LEAST_SHARE_OF_PACE = 0.5
"""A request may need half of what requests take: the smallest of a service do, and a refusal that
was not necessary costs more than an offer in vain."""
FREE_SHARE = 0.5
"""While less than this share of the places is taken, nothing waits and nothing is refused: what is
known of the others' requests is a second old, and is not believed against so many free places."""
LEAST_RETRY_SECONDS = 0.05
"""A caller that comes back sooner meets the same state: it is told from loads that are as old."""
MOST_RETRY_SECONDS = 1.0
"""Nothing is foreseen further ahead: loads and paces that were told are used for about a second."""
NO_PLACE_RETRY_SECONDS = 0.5
"""When to come back to a service without any place: entries of instances take about that long."""
HEEDED_SHARE = 1 / 3
"""Callers wait at most this share of the time that they have left before they come back."""


class Outlook(StrEnum):
    """Whether a request will be answered, and when."""

    IN_TIME = "in_time"  # within its objective
    LATE = "late"  # after it, while the caller still waits
    NOT_AT_ALL = "not_at_all"


@dataclass(frozen=True, slots=True)
class Limits:
    """The times of one request, on the steady clock.

    Attributes:
        objective_at: until then an answer is worth most.
        end_at: until then it is worth anything; nothing is sent on afterwards.
        usual_pace: seconds it takes at a server if nothing is known of their pace.
    """

    objective_at: float
    end_at: float
    usual_pace: float


@dataclass(frozen=True, slots=True)
class Places:
    """The places of a service that a piece of work may take.

    Attributes:
        total: of all instances that placement allows, now or in a moment.
        taken: those believed taken; more than all if instances let requests wait.
        pace: seconds a request takes there; 0 if not known lately.
        closed: those of the taken that hold no request: their instance failed, refused or is cold.
    """

    total: int
    taken: int
    pace: float
    closed: int = field(default=0, compare=False)

    @property
    def free(self) -> int:
        """Places believed free."""
        return max(0, self.total - self.taken)

    @property
    def are_mostly_free(self) -> bool:
        """Whether so few are taken that nothing need wait."""
        return self.taken < self.total * FREE_SHARE

    @property
    def hold_little(self) -> bool:
        """Whether so few hold a request that instances which failed may well take another."""
        return self.taken - self.closed < self.total * FREE_SHARE


@dataclass(frozen=True, slots=True)
class Forecast:
    """What is foreseen for one request.

    Attributes:
        wait: seconds until a place is expected free for it.
        retry_after: seconds after which a caller that is refused should come back.
    """

    outlook: Outlook
    wait: float
    retry_after: float

    @property
    def is_hopeless(self) -> bool:
        """Whether it will not be served."""
        return self.outlook is Outlook.NOT_AT_ALL


def survey(directory: Directory, balancer: Balancer, service: ServiceName, work: Work) -> Places:
    """Counts the places of a service for a piece of work.

    An instance that failed or refused a moment ago, or that is cold, has no free place.
    """
    total = taken = closed = 0
    paced_slots, rate = 0, 0.0
    for info in directory.of_service(service):
        verdict = balancer.placement.judge(info, work)
        if not verdict.is_allowed and verdict is not Verdict.COLD:
            continue
        slots = max(1, info.slots)
        occupied = balancer.occupied(info)
        is_closed = not verdict.is_allowed or balancer.is_avoided(info.id)
        total += slots
        taken += max(occupied, slots) if is_closed else occupied
        closed += max(0, slots - occupied) if is_closed else 0
        pace = balancer.pace(info.id)
        if pace:
            paced_slots += slots
            rate += slots / pace
    return Places(total, taken, paced_slots / rate if rate else 0.0, closed)


def foresee(
    places: Places, limits: Limits, now: float, ahead: int = 0, blocked_for: float = 0.0
) -> Forecast:
    """Foresees one request.

    Args:
        ahead: requests that wait here and come first.
        blocked_for: seconds for which no place was seen to come free; it is expected to go on for
            as long again, whatever the paces say.
    """
    pace = places.pace or limits.usual_pace
    wait = _wait(places, pace, ahead, blocked_for)
    is_untried = places.hold_little and not ahead and not blocked_for
    if _is_hopeless(places, limits, now, wait + pace * LEAST_SHARE_OF_PACE, is_untried):
        outlook = Outlook.NOT_AT_ALL
    elif now + wait + pace <= limits.objective_at:
        outlook = Outlook.IN_TIME
    else:
        outlook = Outlook.LATE
    return Forecast(outlook, wait, _retry_after(wait, limits.end_at - now))


def unreachable(limits: Limits, now: float) -> Forecast:
    """Foresees a request that reached no server, though it was sent to all."""
    wait = NO_PLACE_RETRY_SECONDS
    return Forecast(Outlook.NOT_AT_ALL, wait, _retry_after(wait, limits.end_at - now))


def is_late_anyway(places: Places, limits: Limits, now: float) -> bool:
    """Tells whether a request would be late even if it got a place now."""
    return now + (places.pace or limits.usual_pace) > limits.objective_at


def _wait(places: Places, pace: float, ahead: int, blocked_for: float) -> float:
    if not places.total:
        return NO_PLACE_RETRY_SECONDS
    missing = places.taken + ahead + 1 - places.total
    if missing <= 0 or places.are_mostly_free:
        return 0.0
    return max(blocked_for, missing * pace / places.total)


def _is_hopeless(
    places: Places, limits: Limits, now: float, least: float, is_untried: bool
) -> bool:
    """Tells whether a request that takes ``least`` seconds or more will not be served.

    Args:
        is_untried: whether few places hold a request and none was found closed lately: one offer
            in vain costs less than a refusal for nothing.
    """
    if now >= limits.end_at or not places.total:
        return True
    if places.are_mostly_free or is_untried:
        return False
    return now + least > limits.end_at


def _retry_after(wait: float, time_left: float) -> float:
    wanted = min(MOST_RETRY_SECONDS, max(LEAST_RETRY_SECONDS, wait))
    usable = math.floor(min(wanted, time_left * HEEDED_SHARE) * 1000) / 1000
    return max(0.001, usable)
