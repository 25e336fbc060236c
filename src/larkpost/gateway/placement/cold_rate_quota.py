"""How many requests one daemon may send to a cold instance within a window.

The limit holds for all daemons together, even while their views of the fleet differ, so no
agreement is needed at the time of a send. Only two kinds of daemon send: owners of open batches,
known to all from the batch heads, and a few daemons selected by rendezvous hashing for client
requests. Each kind has its part of the limit. The owners' part is divided by one more than the
number of owners, which leaves a share for an owner that the others have not seen yet.

Pure functions over `SenderView`, which `sender_tracker` provides.
"""

from collections.abc import Collection
from dataclasses import dataclass
from itertools import islice

from larkpost.common.hashing import hash64
from larkpost.common.ids import DaemonId, InstanceId

PRIMARY_FRACTION = 0.8
"""Fraction of the limit for the primary senders: batch owners at engines, clients elsewhere."""
MIN_OWNER_COUNT = 2
"""Batches arrive from several trainers at once, so a single owner counts as two."""
UNSEEN_OWNER_ALLOWANCE = 1
"""Shares left for owners that this daemon has not seen yet."""
NEW_OWNER_DIVISOR = 12
"""Divisor of the owners' part that gives a new owner's quota. It leaves room for up to three new
owners while the three of the previous step and disconnected daemons still send their shares. With a
divisor of 6, four of these together exceeded the limit."""
MIN_SENDS = 1
"""Sends allowed to a daemon that cannot know how many others send."""
VIEW_MISMATCH_FACTOR = 2
"""Divisor of the number of selected daemons, because daemons with different views may select
different ones."""


@dataclass(frozen=True, slots=True)
class SenderView:
    """The senders to cold instances, as one daemon sees them.

    Attributes:
        own: this daemon.
        owners: current and recent owners of open batches.
        members: daemons considered alive.
        is_established: whether the other owners know of this daemon, and it knows of them.
        knows_members: whether this daemon knows the members well enough to tell which are selected.
        is_stale: whether this daemon may lack recent changes that others know of.
    """

    own: DaemonId
    owners: frozenset[DaemonId]
    members: frozenset[DaemonId]
    is_established: bool = False
    knows_members: bool = False
    is_stale: bool = True


@dataclass(frozen=True, slots=True)
class SendCategory:
    """Sends to one instance that share a limit.

    Attributes:
        is_owner_work: whether a batch owner sends; otherwise it is a client request.
        is_cold: whether the instance is known to be cold.
        bound: requests that all daemons together may send to it in any second.
    """

    instance: InstanceId
    is_owner_work: bool
    is_cold: bool
    bound: float


def send_quota(view: SenderView, category: SendCategory, *, is_engine: bool) -> int:
    """Returns how many sends of a category this daemon may make in a window.

    Args:
        is_engine: whether the instance's service serves models.
    """
    if not category.is_owner_work:
        return client_quota(category.bound, view, category.instance, is_engine=is_engine)
    if not category.is_cold:
        return stale_view_quota(category.bound, view, is_engine=is_engine)
    return owner_quota(category.bound, view, category.instance, is_engine=is_engine)


def owner_quota(bound: float, view: SenderView, instance: InstanceId, *, is_engine: bool) -> int:
    """Returns how many item runs and reward calls in total this daemon may send."""
    part = bound * (PRIMARY_FRACTION if is_engine else 1 - PRIMARY_FRACTION)
    share = _even_share(part, view)
    if share and view.is_established:
        return share
    if share and not view.is_stale:
        return min(share, max(MIN_SENDS, int(part / NEW_OWNER_DIVISOR)))
    selected = _is_selected(view.owners | {view.own}, view.own, instance, _selected_count(part))
    return MIN_SENDS if selected else 0


def stale_view_quota(bound: float, view: SenderView, *, is_engine: bool) -> int:
    """Returns the quota of an owner with a stale view at an instance last known to be warm."""
    part = bound * (PRIMARY_FRACTION if is_engine else 1 - PRIMARY_FRACTION)
    return max(MIN_SENDS, _even_share(part, view))


def client_quota(bound: float, view: SenderView, instance: InstanceId, *, is_engine: bool) -> int:
    """Returns how many client requests this daemon may send."""
    part = bound * (1 - PRIMARY_FRACTION if is_engine else PRIMARY_FRACTION)
    selected = _is_selected(view.members, view.own, instance, _selected_count(part))
    return MIN_SENDS if selected and view.knows_members else 0


def _even_share(part: float, view: SenderView) -> int:
    share_count = max(len(view.owners | {view.own}), MIN_OWNER_COUNT) + UNSEEN_OWNER_ALLOWANCE
    return int(part / share_count)


def _selected_count(part: float) -> int:
    """Returns how many daemons get the minimum quota; at least one if any request is allowed."""
    return max(int(part / (VIEW_MISMATCH_FACTOR * MIN_SENDS)), int(part >= 1))


def _is_selected(
    daemons: Collection[DaemonId], own: DaemonId, instance: InstanceId, count: int
) -> bool:
    """Returns whether rendezvous hashing ranks this daemon among the first for an instance.

    Stops as soon as enough daemons rank higher: when an evacuation ends, the instances of a whole
    zone are evaluated at once.
    """
    if own not in daemons or not count:
        return False
    rank = _weight(own, instance)
    higher_ranked = (name for name in daemons if _weight(name, instance) > rank)
    return next(islice(higher_ranked, count - 1, None), None) is None


def _weight(daemon: DaemonId, instance: InstanceId) -> int:
    return hash64(f"cold\x00{daemon}\x00{instance}")
