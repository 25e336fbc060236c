"""Whether this daemon may act: it is in the ready phase and its configuration is still valid.

A daemon that was paused or partitioned may hold an epoch that has been replaced. It therefore acts
only while its configuration was verified recently: by the table service, or by a daemon of its zone
while it sees a quorum of the zone's daemons. A confirmation reports a zone as in force only when a
quorum of the zone's daemons has the epoch and every other one has been considered dead for longer
than the validity time. Validity is computed from the clock on each check, so a daemon that resumes
after a pause finds its configuration expired before it acts.
"""

from collections.abc import Collection

from larkpost.common.errors import NotReadyError, StoppingError
from larkpost.common.ids import DaemonId, ZoneId
from larkpost.standalone.blackboard.board import Phase
from larkpost.standalone.blackboard.members import MemberInfo, MemberState
from larkpost.standalone.controllers.facts import Dissemination
from larkpost.standalone.rendezvous import choose
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.wire import larkpost_pb2 as pb
from larkpost.standalone.wire.peer import PeerError, PeerMethod, PeerTransport

STATE_TIMEOUT = 0.5
"""Seconds to wait for a daemon's configuration state."""
RETRY_AFTER_NOT_READY = 1.0
"""Seconds after which a refused caller may retry."""


class Readiness:
    """Decides whether the daemon may admit work and give orders."""

    def __init__(
        self,
        runtime: Runtime,
        transport: PeerTransport,
        dissemination: Dissemination,
    ) -> None:
        self._board = runtime.board
        self._transport = transport
        self._dissemination = dissemination
        self._clock = runtime.clock
        self._settings = runtime.settings.configuration
        self._forget_time = runtime.settings.membership.forget_time
        self._rng = runtime.rng
        self._verified_at = float("-inf")
        self._is_alone = False
        self._alone_revision = -1

    @property
    def admits_work(self) -> bool:
        """Whether the daemon may admit new work and give orders now."""
        return self._board.phase == Phase.READY and self.is_current()

    def check(self) -> None:
        """Raises an error unless the daemon admits work.

        Raises:
            NotReadyError: the configuration in force is unknown or no longer verified.
            StoppingError: the daemon is stopping.
        """
        if self._board.phase == Phase.STOPPING:
            raise StoppingError("this daemon is stopping")
        if not self.admits_work:
            raise NotReadyError(
                "this daemon has not verified the configuration in force recently",
                retry_after=RETRY_AFTER_NOT_READY,
            )

    def record_verified(self, asked_at: float) -> None:
        """Records that the table service or the zone verified the epoch.

        Args:
            asked_at: local time of the request, not of the answer: this daemon may have been
                paused in between.
        """
        self._verified_at = max(self._verified_at, asked_at)

    def is_current(self) -> bool:
        """Whether the configuration was verified within the validity time."""
        if self._is_alone_in_zone():
            return True
        age = self._clock.now() - self._verified_at
        return age <= self._settings.validity_time

    async def refresh(self) -> None:
        """Verifies the configuration with a daemon of the zone before its validity expires."""
        age = self._clock.now() - self._verified_at
        if age < self._settings.validity_time / 3 or self._board.phase == Phase.JOINING:
            return
        zone = self._board.members.own.zone
        alive = self._board.members.alive(zone)
        if not self.has_quorum(zone, [member.id for member in alive]):
            return
        peers = [member for member in alive if member.id != self._board.members.own.id]
        if not peers:
            self.record_verified(self._clock.now())
            return
        await self._verify_with(self._rng.choice(peers))

    def known_members(self, zone: ZoneId) -> list[MemberInfo]:
        """Returns the zone's daemons, without those that left or died beyond the forget time."""
        members = [*self._board.members.others(), self._board.members.own]
        return [m for m in members if m.zone == zone and not self._is_forgotten(m)]

    def has_quorum(self, zone: ZoneId, daemons: Collection[DaemonId]) -> bool:
        """Whether the daemons are a majority of the zone's, or half including the tie-breaker."""
        known = self.known_members(zone)
        count = sum(member.id in daemons for member in known)
        tie_breaker = choose(known, f"quorum/{zone}")
        wins_tie = tie_breaker is not None and tie_breaker.id in daemons
        return 2 * count > len(known) or (2 * count == len(known) and count > 0 and wins_tie)

    def may_still_act(self, member: MemberInfo) -> bool:
        """Whether a daemon not known to have the epoch may still act on an older one."""
        if member.state != MemberState.DEAD:
            return True
        return self._clock.now() - member.since < self._settings.lost_grace

    async def fetch_state(self, member: MemberInfo) -> pb.ConfigurationStateReply | None:
        """Requests a daemon's configuration state; None if it does not answer."""
        try:
            answer = await self._transport.request(
                member.address, PeerMethod.CONFIGURATION_STATE, b"", STATE_TIMEOUT
            )
        except PeerError:
            return None
        return pb.ConfigurationStateReply.FromString(answer)

    async def on_state(self, _payload: bytes) -> bytes:
        """Answers with this daemon's epoch and whether it may act on it."""
        reply = pb.ConfigurationStateReply(
            epoch=self._board.configuration.epoch, ready=self.admits_work
        )
        return reply.SerializeToString()

    async def _verify_with(self, peer: MemberInfo) -> None:
        asked_at = self._clock.now()
        state = await self.fetch_state(peer)
        if state is None or not state.ready:
            return
        if state.epoch > self._board.configuration.epoch:
            await self._dissemination.fetch_from(peer.address)
        if self._board.configuration.epoch >= state.epoch:
            self.record_verified(asked_at)

    def _is_alone_in_zone(self) -> bool:
        """Whether no other daemon of the zone is known; cached per revision of the members."""
        if self._alone_revision != self._board.members.revision:
            self._alone_revision = self._board.members.revision
            self._is_alone = len(self.known_members(self._board.members.own.zone)) == 1
        return self._is_alone

    def _is_forgotten(self, member: MemberInfo) -> bool:
        if member.state == MemberState.LEFT:
            return True
        is_expired = self._clock.now() - member.since > self._forget_time
        return member.state == MemberState.DEAD and is_expired
