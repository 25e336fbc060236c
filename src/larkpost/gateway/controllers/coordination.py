"""Which daemon acts on a subject, and its right to.

Several controllers act on the world outside on behalf of the whole fleet: orders to engines, usage
reports, orders of servers. For each subject one daemon is chosen, without messages; because two
daemons may choose differently for a moment, the chosen one also takes a lease for each act.
"""

from larkpost.common.ids import DaemonId
from larkpost.gateway.controllers.leases import Lease, LeaseSubject, LeaseTable
from larkpost.gateway.controllers.membership import Membership


class Coordination:
    """What a controller that acts for the fleet asks before each act."""

    def __init__(self, membership: Membership, leases: LeaseTable) -> None:
        self._membership = membership
        self._leases = leases

    @property
    def own(self) -> DaemonId:
        """This process's id: the holder that an act names."""
        return self._membership.own

    def is_coordinator(self) -> bool:
        """Returns whether this daemon is one of those that may be chosen."""
        return self._membership.is_coordinator()

    def count_alive(self) -> int:
        """Returns how many daemons are considered alive, this one included."""
        return len(list(self._membership.alive()))

    def is_responsible_for(self, key: str) -> bool:
        """Returns whether this daemon is the one to act on what a key names."""
        return self._membership.choose_coordinator(key) == self._membership.own

    async def take_lease(self, subject: LeaseSubject) -> Lease | None:
        """Takes the lease for one act, or returns None if another holds it or the store fails."""
        return await self._leases.take(subject)
