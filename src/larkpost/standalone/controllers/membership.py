"""SWIM-style membership: random probing with a constant cost per daemon at any fleet size.

Each period a daemon probes one other, see `larkpost.standalone.controllers.probing`. A daemon that
does not answer becomes a suspect, and is declared dead unless it refutes the suspicion in time with
a higher incarnation. Updates are piggybacked on probes, and a daemon that learns a new one also
sends it to a few others at once.
"""

import math
from dataclasses import replace

from larkpost.common.ids import Address, DaemonId
from larkpost.standalone.blackboard.members import MemberInfo, MemberState, member_from_message
from larkpost.standalone.controllers.gossip import Gossip
from larkpost.standalone.controllers.probing import Prober
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.wire import larkpost_pb2 as pb
from larkpost.standalone.wire.peer import PeerError, PeerMethod, PeerTransport

UPDATES_PER_DATAGRAM = 6
"""Maximum number of member updates in one datagram."""
EAGER_FANOUT = 3
"""Number of daemons to which new updates are sent without waiting for the next probe."""
MAX_EAGER_DATAGRAMS = 16
"""Maximum number of such datagrams to one daemon for one group of new updates."""
EAGER_DELAY_DIVISOR = 20
"""New updates are sent after a delay of the probe interval divided by this."""
RETRANSMIT_FACTOR = 3
"""An update is sent about ``RETRANSMIT_FACTOR * log2(fleet size)`` times."""
HEAL_EVERY_PROBES = 5
"""Probe rounds between attempts to reach dead daemons and missing peers after a partition."""
JOIN_TIMEOUT = 1.0
"""Seconds to wait for a peer's member table."""
MIN_JOIN_REPLIES = 2
"""Member tables to fetch on joining; later probes and exchanges supply what they lack."""
SYNC_INTERVAL = 30.0
"""Seconds between exchanges of the whole member table with a random daemon."""


class Membership:
    """Maintains the blackboard's member table."""

    def __init__(
        self,
        runtime: Runtime,
        gossip: Gossip,
        transport: PeerTransport,
    ) -> None:
        self._table = runtime.board.members
        self._gossip = gossip
        self._transport = transport
        self._clock = runtime.clock
        self._tasks = runtime.tasks
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.membership
        self._peers = [
            peer for peer in runtime.settings.peers if peer != runtime.board.members.own.address
        ]
        self._rng = runtime.rng
        self._updates: dict[DaemonId, int] = {}
        """Queued updates: for each daemon, how often its state is still to be sent."""
        self._new_update_count = 0
        """Updates queued since the last eager datagrams."""
        self._probe_order: list[DaemonId] = []
        self._probe_rounds = 0
        gossip.pick_updates = self._pick_updates
        gossip.apply_updates = self.apply
        self._prober = Prober(runtime, gossip)

    def start(self) -> None:
        """Starts periodic probing and synchronisation of the member table."""
        self._tasks.every(self._settings.probe_interval, self._probe_round, "membership")
        self._tasks.every(SYNC_INTERVAL, self._synchronise, "membership-sync")

    async def join(self) -> bool:
        """Fetches the member table from configured peers, in random order, until enough answered.

        Returns:
            Whether a peer answered; True if no peers are configured.
        """
        answers = 0
        for peer in self._rng.sample(self._peers, len(self._peers)):
            answers += await self._exchange_with(peer)
            if answers >= MIN_JOIN_REPLIES:
                break
        return answers > 0 or not self._peers

    def announce_leaving(self) -> None:
        """Announces a planned stop: this daemon still answers, but takes on nothing new."""
        self._table.update_own(self._table.own.incarnation + 1, leaving=True)
        self._queue_update(self._table.own.id)

    def leave(self) -> None:
        """Announces that this daemon has left; gossip adds its state to the empty envelopes."""
        self._table.update_own(self._table.own.incarnation, MemberState.LEFT)
        targets = self._table.alive_others()
        for target in self._rng.sample(targets, min(len(targets), 2 * EAGER_FANOUT)):
            self._gossip.send(target, pb.Envelope())

    def apply(self, sender: pb.Member, updates: list[pb.Member]) -> None:
        """Applies the states in a datagram: its sender's and those of other members."""
        for message in [sender, *updates]:
            self._apply_update(member_from_message(message, self._clock.now()))

    async def on_join(self, payload: bytes) -> bytes:
        """Answers a join request with the whole member table."""
        request = pb.JoinRequest.FromString(payload)
        self.apply(request.member, [])
        members = [member.to_message() for member in self._table.others()]
        members.append(self._table.own.to_message())
        return pb.JoinReply(members=members).SerializeToString()

    async def _exchange_with(self, address: Address) -> bool:
        request = pb.JoinRequest(member=self._table.own.to_message())
        payload = request.SerializeToString()
        try:
            answer = await self._transport.request(address, PeerMethod.JOIN, payload, JOIN_TIMEOUT)
        except PeerError:
            return False
        for message in pb.JoinReply.FromString(answer).members:
            self._apply_update(member_from_message(message, self._clock.now()))
        return True

    async def _synchronise(self) -> None:
        targets = self._table.alive_others()
        if targets:
            await self._exchange_with(self._rng.choice(targets).address)

    def _apply_update(self, update: MemberInfo) -> None:
        if update.id == self._table.own.id:
            self._refute(update)
            return
        known = self._table.get(update.id)
        if known is not None and not update.replaces(known):
            return
        if known is None and not update.usable:
            return
        self._store_member(update)

    def _refute(self, update: MemberInfo) -> None:
        own = self._table.own
        if own.state == MemberState.LEFT or update.state == MemberState.ALIVE:
            return
        if update.incarnation >= own.incarnation:
            self._table.update_own(update.incarnation + 1)
            self._queue_update(own.id)

    def _store_member(self, update: MemberInfo) -> None:
        known = self._table.get(update.id)
        self._table.put(update)
        if known is None or known.state != update.state:
            self._telemetry.log_state(f"member.{update.id}", update.state.name.lower())
        self._queue_update(update.id)
        if update.state == MemberState.SUSPECT:
            self._tasks.spawn(self._confirm_death(update), "suspicion")

    def _queue_update(self, daemon: DaemonId) -> None:
        self._updates[daemon] = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._table) + 2))
        self._new_update_count += 1
        if self._new_update_count == 1:
            self._tasks.spawn(self._send_eagerly(), "membership-news")

    async def _send_eagerly(self) -> None:
        """Sends new updates to a few daemons, after a delay that groups simultaneous changes."""
        await self._clock.sleep(self._settings.probe_interval / EAGER_DELAY_DIVISOR)
        datagrams = min(
            math.ceil(self._new_update_count / UPDATES_PER_DATAGRAM), MAX_EAGER_DATAGRAMS
        )
        self._new_update_count = 0
        targets = self._table.alive_others()
        for target in self._rng.sample(targets, min(len(targets), EAGER_FANOUT)):
            for _ in range(datagrams):
                if self._updates:
                    self._gossip.send(target, pb.Envelope())

    def _pick_updates(self) -> list[pb.Member]:
        picked = sorted(self._updates, key=lambda daemon: -self._updates[daemon])
        picked = picked[:UPDATES_PER_DATAGRAM]
        for daemon in picked:
            self._updates[daemon] -= 1
            if self._updates[daemon] <= 0:
                del self._updates[daemon]
        members = [self._table.get(daemon) for daemon in picked]
        return [member.to_message() for member in members if member is not None]

    async def _confirm_death(self, suspect: MemberInfo) -> None:
        # In a larger fleet, suspicions and refutations take more hops, so the time is longer.
        size_factor = max(math.log10(len(self._table)), 1.0)
        await self._clock.sleep(self._settings.suspicion_time * size_factor)
        known = self._table.get(suspect.id)
        if known is not None and _is_unchanged(known, suspect):
            self._change_state(known, MemberState.DEAD)

    def _change_state(self, member: MemberInfo, state: MemberState) -> None:
        self._store_member(replace(member, state=state, since=self._clock.now()))

    async def _probe_round(self) -> None:
        self._probe_rounds += 1
        self._telemetry.gauge("members_alive", len(self._table.alive()))
        if self._probe_rounds % HEAL_EVERY_PROBES == 0:
            await self._heal_partition()
        target = self._next_target()
        if target is None:
            return
        if await self._prober.probe(target):
            return
        known = self._table.get(target.id)
        if known is not None and known.state == MemberState.ALIVE and _is_unchanged(known, target):
            self._change_state(known, MemberState.SUSPECT)

    def _next_target(self) -> MemberInfo | None:
        while self._probe_order:
            target = self._table.get(self._probe_order.pop())
            if target is not None and target.usable:
                return target
        order = [member.id for member in self._table.alive_others()]
        self._rng.shuffle(order)
        self._probe_order = order
        return self._table.get(self._probe_order.pop()) if order else None

    async def _heal_partition(self) -> None:
        now = self._clock.now()
        limit = self._settings.forget_time
        dead = [m for m in self._table.others() if not m.usable and now - m.since < limit]
        if dead:
            self._gossip.send(self._rng.choice(dead), pb.Envelope(ping=pb.Ping()))
        known = {member.address for member in self._table.alive_others()}
        missing = [peer for peer in self._peers if peer not in known]
        if missing:
            await self._exchange_with(self._rng.choice(missing))


def _is_unchanged(known: MemberInfo, earlier: MemberInfo) -> bool:
    return (known.incarnation, known.state) == (earlier.incarnation, earlier.state)
