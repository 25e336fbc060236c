"""The membership table: every daemon that this one knows, and its last known state."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from larkpost.common.ids import Address, DaemonId, ZoneId
from larkpost.standalone.wire import larkpost_pb2 as pb


class MemberState(IntEnum):
    """State of a daemon. At one incarnation only a higher state replaces a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """One incarnation of a daemon."""

    id: DaemonId
    zone: ZoneId
    address: Address
    incarnation: int
    state: MemberState = MemberState.ALIVE
    since: float = 0.0
    leaving: bool = False
    """It is stopping as planned: it still answers, and takes on nothing new."""

    @property
    def usable(self) -> bool:
        """Whether work may be given to it: a suspect is still a member."""
        return self.state <= MemberState.SUSPECT

    @property
    def eligible(self) -> bool:
        """Whether it may own engines, hold duties and keep copies."""
        return self.usable and not self.leaving

    def replaces(self, other: "MemberInfo") -> bool:
        """Returns whether this state is newer than ``other``."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)

    def to_message(self) -> pb.Member:
        """Returns the message that other daemons are sent."""
        return pb.Member(
            id=self.id,
            zone=self.zone,
            address=self.address,
            incarnation=self.incarnation,
            state=int(self.state),
            leaving=self.leaving,
        )


def member_from_message(message: pb.Member, since: float) -> MemberInfo:
    """Returns the state in a message.

    Args:
        since: the local time at which it was learned, in seconds.
    """
    return MemberInfo(
        DaemonId(message.id),
        ZoneId(message.zone),
        Address(message.address),
        message.incarnation,
        MemberState(message.state),
        since,
        message.leaving,
    )


class MemberTable:
    """Members by id."""

    def __init__(self, own: MemberInfo) -> None:
        self.own = own
        self._others: dict[DaemonId, MemberInfo] = {}
        self.revision = 0
        """Grows with each change, so that derived values can be cached."""

    def __len__(self) -> int:
        return len(self._others) + 1

    def get(self, daemon: DaemonId) -> MemberInfo | None:
        """Returns what is known of a daemon."""
        return self.own if daemon == self.own.id else self._others.get(daemon)

    def put(self, member: MemberInfo) -> None:
        """Stores a member's state; the caller has checked that it is newer."""
        self._others[member.id] = member
        self.revision += 1

    def update_own(
        self, incarnation: int, state: MemberState = MemberState.ALIVE, leaving: bool = False
    ) -> None:
        """Raises the daemon's own incarnation or state; leaving is never taken back."""
        leaving = leaving or self.own.leaving
        self.own = replace(self.own, incarnation=incarnation, state=state, leaving=leaving)
        self.revision += 1

    def others(self) -> Iterable[MemberInfo]:
        """Returns every other known daemon, dead ones included."""
        return self._others.values()

    def alive_others(self) -> list[MemberInfo]:
        """Returns the other daemons that may be given work."""
        return [member for member in self._others.values() if member.usable]

    def alive(self, zone: ZoneId | None = None) -> list[MemberInfo]:
        """Returns the usable daemons of a zone, or of all zones, this one included."""
        members = self.alive_others()
        if self.own.usable:
            members.append(self.own)
        return [member for member in members if zone is None or member.zone == zone]

    def eligible(self, zone: ZoneId | None = None) -> list[MemberInfo]:
        """Returns the daemons of a zone, or of all, that may be given something to keep."""
        return [member for member in self.alive(zone) if member.eligible]

    def zones(self) -> set[ZoneId]:
        """Returns the zones that have a known daemon, dead ones included."""
        return {member.zone for member in self._others.values()} | {self.own.zone}
