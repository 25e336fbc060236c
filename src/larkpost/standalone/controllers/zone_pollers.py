"""Which daemons of a zone poll the platform on behalf of the others."""

from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.rendezvous import rank_members

POLLERS_PER_ZONE = 2
"""Daemons on duty in each zone, so that the death of one leaves no gap."""


def is_zone_poller(board: Blackboard, resource: str) -> bool:
    """Whether this daemon polls for its zone. Two views that differ only add a poller."""
    own = board.members.own
    pollers = rank_members(board.members.eligible(own.zone), resource)[:POLLERS_PER_ZONE]
    return any(holder.id == own.id for holder in pollers)
