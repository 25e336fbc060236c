"""Determines which daemon acts on a subject, and grants it the lease to do so.

Some controllers act outside the fleet on behalf of all daemons: engine orders, usage reports,
server orders. One daemon is selected for each subject without communication. Two daemons may
briefly disagree on it, so the selected one also takes a lease for each act.
"""

from larkpost.common.ids import DaemonId
from larkpost.gateway.controllers.leases import Lease, LeaseSubject, LeaseTable
from larkpost.gateway.controllers.membership import Membership


class Coordination:
    """Selection and leases for controllers that act on behalf of the fleet."""

    def __init__(self, membership: Membership, leases: LeaseTable) -> None:
        self._membership = membership
        self._leases = leases

    @property
    def own(self) -> DaemonId:
        """This process's id, stated as the holder in its orders."""
        return self._membership.own

    def is_coordinator(self) -> bool:
        """Returns whether this daemon is a coordinator."""
        return self._membership.is_coordinator()

    def count_alive(self) -> int:
        """Returns how many daemons are considered alive, this one included."""
        return len(list(self._membership.alive()))

    def is_responsible_for(self, key: str) -> bool:
        """Returns whether this daemon is the one selected to act on a key."""
        return self._membership.choose_coordinator(key) == self._membership.own

    async def take_lease(self, subject: LeaseSubject) -> Lease | None:
        """Takes the lease for one act; None if another daemon holds it or the store fails."""
        return await self._leases.take(subject)
