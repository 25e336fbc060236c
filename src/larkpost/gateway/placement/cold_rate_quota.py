"""How many requests one daemon may send to a cold instance in a span of time.

The bound holds for all daemons together, also while they disagree on who there is, so nothing is
agreed on at the moment of a send. Only two kinds of daemon send at all: owners of open batches,
whom everyone knows from the heads, and a few that rendezvous hashing names for clients' requests.
Each kind has its part of the bound. The owners' part is divided by one more than there are, so
that one of whom the others have not heard yet takes what is left over.

Pure rules over a typed view; `cold_senders` makes the view.
"""

from collections.abc import Collection
from dataclasses import dataclass
from itertools import islice

from larkpost.common.hashing import hash64
from larkpost.common.ids import DaemonId, InstanceId

PRIMARY_FRACTION = 0.8
"""Part of the bound that is the owners' at engines, and the clients' at other instances; without
unit."""
MIN_OWNER_COUNT = 2
"""Batches come from several trainers at once: one owner alone leaves as much as two do."""
UNSEEN_OWNER_ALLOWANCE = 1
"""Shares left for owners of whom this daemon has not heard yet."""
NEW_OWNER_DIVISOR = 12
"""A new owner takes this part of the owners' part. Three trainers hand their batches in at the same
moment; three owners of the step before have sent their shares within the same second, and others
that are cut off and do not know of their successors go on. With a sixth, four of those were too
many."""
MIN_SENDS = 1
"""What a daemon may send that cannot know how many others do."""
VIEW_MISMATCH_FACTOR = 2
"""By how much fewer daemons are named than might send: views may differ in all of them."""


@dataclass(frozen=True, slots=True)
class SenderView:
    """Who may send to cold instances, as one daemon sees it.

    Attributes:
        own: this daemon.
        owners: owners of open batches, now or a moment ago.
        members: daemons that are considered alive.
        is_settled: whether the other owners have heard of this one, and it of them.
        is_informed: whether this daemon knows the members well enough to know who is named.
        is_blind: whether it may not have heard of late what the others have.
    """

    own: DaemonId
    owners: frozenset[DaemonId]
    members: frozenset[DaemonId]
    is_established: bool = False
    knows_members: bool = False
    is_stale: bool = True


@dataclass(frozen=True, slots=True)
class SendCategory:
    """Sends to one instance that are limited alike.

    Attributes:
        is_owner_work: whether an owner of a batch sends; else it is a client's request.
        is_cold: whether the instance is known to be cold.
        bound: requests that all daemons together may send there in any second.
    """

    instance: InstanceId
    is_owner_work: bool
    is_cold: bool
    bound: float


def send_quota(view: SenderView, kind: SendCategory, *, is_engine: bool) -> int:
    """Returns how many sends of a kind this daemon may make in a window.

    Args:
        is_engine: whether the instance's service holds models.
    """
    if not kind.is_owner_work:
        return client_quota(kind.bound, view, kind.instance, is_engine=is_engine)
    if not kind.is_cold:
        return stale_view_quota(kind.bound, view, is_engine=is_engine)
    return owner_quota(kind.bound, view, kind.instance, is_engine=is_engine)


def owner_quota(bound: float, view: SenderView, instance: InstanceId, *, is_engine: bool) -> int:
    """Returns how many runs of items and reward calls this daemon may send."""
    part = bound * (PRIMARY_FRACTION if is_engine else 1 - PRIMARY_FRACTION)
    share = _even_share(part, view)
    if share and view.is_established:
        return share
    if share and not view.is_stale:
        return min(share, max(MIN_SENDS, int(part / NEW_OWNER_DIVISOR)))
    selected = _is_selected(view.owners | {view.own}, view.own, instance, _selected_count(part))
    return MIN_SENDS if selected else 0


def stale_view_quota(bound: float, view: SenderView, *, is_engine: bool) -> int:
    """Returns what a blind owner may send to an instance that was not cold when it last heard."""
    part = bound * (PRIMARY_FRACTION if is_engine else 1 - PRIMARY_FRACTION)
    return max(MIN_SENDS, _even_share(part, view))


def client_quota(bound: float, view: SenderView, instance: InstanceId, *, is_engine: bool) -> int:
    """Returns how many clients' requests this daemon may send."""
    part = bound * (1 - PRIMARY_FRACTION if is_engine else PRIMARY_FRACTION)
    selected = _is_selected(view.members, view.own, instance, _selected_count(part))
    return MIN_SENDS if selected and view.knows_members else 0


def _even_share(part: float, view: SenderView) -> int:
    counted = max(len(view.owners | {view.own}), MIN_OWNER_COUNT) + UNSEEN_OWNER_ALLOWANCE
    return int(part / counted)


def _selected_count(part: float) -> int:
    """Returns how many daemons may take the least share; one wherever a request is allowed."""
    return max(int(part / (VIEW_MISMATCH_FACTOR * MIN_SENDS)), int(part >= 1))


def _is_selected(
    daemons: Collection[DaemonId], own: DaemonId, instance: InstanceId, count: int
) -> bool:
    """Returns whether rendezvous hashing names this daemon among the first for an instance.

    As soon as enough others come before it the rest is not asked: a whole zone's instances are
    judged at once when an evacuation ends.
    """
    if own not in daemons or not count:
        return False
    rank = _weight(own, instance)
    before = (name for name in daemons if _weight(name, instance) > rank)
    return next(islice(before, count - 1, None), None) is None


def _weight(daemon: DaemonId, instance: InstanceId) -> int:
    return hash64(f"cold\x00{daemon}\x00{instance}")
