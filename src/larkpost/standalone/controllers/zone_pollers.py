"""Selection of the daemons in each zone that poll the platform on behalf of the others."""

from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.rendezvous import rank_members

POLLERS_PER_ZONE = 2
"""Number of pollers in each zone; with two, the failure of one leaves no gap."""


def is_zone_poller(board: Blackboard, resource: str) -> bool:
    """Whether this daemon polls the resource for its zone.

    Daemons whose member tables differ may disagree, which only adds pollers.
    """
    own = board.members.own
    pollers = rank_members(board.members.eligible(own.zone), resource)[:POLLERS_PER_ZONE]
    return any(poller.id == own.id for poller in pollers)
