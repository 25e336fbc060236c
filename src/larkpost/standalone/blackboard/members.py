"""The membership table: every known daemon with its last known state."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from larkpost.common.ids import Address, DaemonId, ZoneId
from larkpost.standalone.wire import larkpost_pb2 as pb


class MemberState(IntEnum):
    """State of a daemon. Within one incarnation a higher state replaces a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """State of a daemon in one incarnation; ``since`` is the local time at which it was learned."""

    id: DaemonId
    zone: ZoneId
    address: Address
    incarnation: int
    state: MemberState = MemberState.ALIVE
    since: float = 0.0
    leaving: bool = False
    """Whether it is in a planned stop: it still answers, but takes on nothing new."""

    @property
    def usable(self) -> bool:
        """Whether it counts as a live member: alive or suspect."""
        return self.state <= MemberState.SUSPECT

    @property
    def eligible(self) -> bool:
        """Whether it may own engines, poll for its zone and hold replicas."""
        return self.usable and not self.leaving

    def replaces(self, other: "MemberInfo") -> bool:
        """Returns whether this state supersedes ``other``."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)

    def to_message(self) -> pb.Member:
        """Returns the protobuf message for other daemons."""
        return pb.Member(
            id=self.id,
            zone=self.zone,
            address=self.address,
            incarnation=self.incarnation,
            state=int(self.state),
            leaving=self.leaving,
        )


def member_from_message(message: pb.Member, since: float) -> MemberInfo:
    """Returns the member state in a message.

    Args:
        message: the member as sent by another daemon.
        since: local monotonic time in seconds at which it was received.
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
        """Increases with each change; caches of derived values compare it."""

    def __len__(self) -> int:
        return len(self._others) + 1

    def get(self, daemon: DaemonId) -> MemberInfo | None:
        """Returns the state of a daemon, or None if it is unknown."""
        return self.own if daemon == self.own.id else self._others.get(daemon)

    def put(self, member: MemberInfo) -> None:
        """Stores the state of another daemon; the caller must have checked that it is newer."""
        self._others[member.id] = member
        self.revision += 1

    def update_own(
        self, incarnation: int, state: MemberState = MemberState.ALIVE, leaving: bool = False
    ) -> None:
        """Updates this daemon's incarnation and state; ``leaving`` is never reset."""
        leaving = leaving or self.own.leaving
        self.own = replace(self.own, incarnation=incarnation, state=state, leaving=leaving)
        self.revision += 1

    def others(self) -> Iterable[MemberInfo]:
        """Returns every other known daemon, including dead ones."""
        return self._others.values()

    def alive_others(self) -> list[MemberInfo]:
        """Returns the other daemons that are alive or suspect."""
        return [member for member in self._others.values() if member.usable]

    def alive(self, zone: ZoneId | None = None) -> list[MemberInfo]:
        """Returns the alive and suspect daemons of a zone, or of all zones, including this one."""
        members = self.alive_others()
        if self.own.usable:
            members.append(self.own)
        return [member for member in members if zone is None or member.zone == zone]

    def eligible(self, zone: ZoneId | None = None) -> list[MemberInfo]:
        """Returns the daemons of a zone, or of all zones, that may take on responsibilities."""
        return [member for member in self.alive(zone) if member.eligible]

    def zones(self) -> set[ZoneId]:
        """Returns the zones of all known daemons, including dead ones."""
        return {member.zone for member in self._others.values()} | {self.own.zone}
