"""Membership by random probing (after SWIM): constant cost per daemon at any fleet size.

Each period a daemon probes one other. Without an answer it asks helpers; without theirs it suspects
the daemon, which has some time to refute with a higher incarnation. Changes travel on the probes,
and each daemon that first learns of one passes it on at once to a few others.
"""

import asyncio
import math
from dataclasses import replace

from larkpost.common.ids import Address, DaemonId
from larkpost.standalone.blackboard.members import MemberInfo, MemberState, member_from_message
from larkpost.standalone.controllers.gossip import Gossip
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.wire import larkpost_pb2 as pb
from larkpost.standalone.wire.peer import PeerError, PeerMethod, PeerTransport

UPDATES_PER_DATAGRAM = 6
"""Changes of members that one datagram carries."""
EAGER_FANOUT = 3
"""Daemons to which a change is passed on at once."""
MAX_EAGER_DATAGRAMS = 16
"""Most datagrams to each of them."""
RETRANSMIT_FACTOR = 3
"""A change travels on this many datagrams for each doubling of the fleet."""
REVIVE_EVERY_PROBES = 5
"""Every so many probes one goes to a dead daemon or a configured peer, to heal a partition."""
JOIN_TIMEOUT = 1.0
"""Seconds to wait for a peer's member table."""
JOIN_ANSWERS = 2
"""Tables to read on joining; probes and exchanges bring what two peers do not know."""
SYNC_INTERVAL = 30.0
"""Seconds between exchanges of the whole table with one random daemon."""
# None of these figures is measured.


class Membership:
    """Keeps the blackboard's member table."""

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
        self._news = 0
        """Changes learned since the last eager datagrams."""
        self._probe_order: list[DaemonId] = []
        self._probes = 0
        self._sequence = 0
        self._waiting: dict[int, asyncio.Event] = {}
        self._relayed: dict[int, tuple[MemberInfo, int]] = {}
        gossip.pick_updates = self._pick_updates
        gossip.apply_updates = self.apply
        gossip.handle("ping", self._on_ping)
        gossip.handle("ack", self._on_ack)
        gossip.handle("ping_request", self._on_ping_request)

    def start(self) -> None:
        """Starts probing and joining."""
        self._tasks.every(self._settings.probe_interval, self._probe_round, "membership")
        self._tasks.every(SYNC_INTERVAL, self._synchronise, "membership-sync")

    async def join(self) -> bool:
        """Asks configured peers, in random order, for the member table until enough answered.

        Returns:
            Whether one answered; with no peers configured, True.
        """
        answers = 0
        for peer in self._rng.sample(self._peers, len(self._peers)):
            answers += await self._exchange_with(peer)
            if answers >= JOIN_ANSWERS:
                break
        return answers > 0 or not self._peers

    def announce_leaving(self) -> None:
        """Announces a planned stop: this daemon still answers and takes on nothing new."""
        self._table.put_own(self._table.own.incarnation + 1, leaving=True)
        self._spread(self._table.own.id)

    def leave(self) -> None:
        """Announces that this daemon leaves for good."""
        self._table.put_own(self._table.own.incarnation, MemberState.LEFT)
        targets = self._table.alive_others()
        for target in self._rng.sample(targets, min(len(targets), 2 * EAGER_FANOUT)):
            self._gossip.send(target, pb.Envelope())

    def apply(self, sender: pb.Member, updates: list[pb.Member]) -> None:
        """Applies what a datagram says of its sender and of other members."""
        for message in [sender, *updates]:
            self._apply_update(member_from_message(message, self._clock.now()))

    async def on_join(self, payload: bytes) -> bytes:
        """Answers a join request with the whole table."""
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
        self._adopt(update)

    def _refute(self, update: MemberInfo) -> None:
        own = self._table.own
        if own.state == MemberState.LEFT or update.state == MemberState.ALIVE:
            return
        if update.incarnation >= own.incarnation:
            self._table.put_own(update.incarnation + 1)
            self._spread(own.id)

    def _adopt(self, update: MemberInfo) -> None:
        known = self._table.get(update.id)
        self._table.put(update)
        if known is None or known.state != update.state:
            self._telemetry.change(f"member.{update.id}", update.state.name.lower())
        self._spread(update.id)
        if update.state == MemberState.SUSPECT:
            self._tasks.spawn(self._confirm_death(update), "suspicion")

    def _spread(self, daemon: DaemonId) -> None:
        self._updates[daemon] = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._table) + 2))
        self._news += 1
        if self._news == 1:
            self._tasks.spawn(self._send_eagerly(), "membership-news")

    async def _send_eagerly(self) -> None:
        """Passes on what is new, gathered for a moment: a lost zone is many changes at once."""
        await self._clock.sleep(self._settings.probe_interval / 20)
        datagrams = min(math.ceil(self._news / UPDATES_PER_DATAGRAM), MAX_EAGER_DATAGRAMS)
        self._news = 0
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
        # News and refutations need more hops in a larger fleet.
        growth = max(math.log10(len(self._table)), 1.0)
        await self._clock.sleep(self._settings.suspicion_time * growth)
        known = self._table.get(suspect.id)
        if known is not None and _is_unchanged(known, suspect):
            self._change_state(known, MemberState.DEAD)

    def _change_state(self, member: MemberInfo, state: MemberState) -> None:
        self._adopt(replace(member, state=state, since=self._clock.now()))

    async def _probe_round(self) -> None:
        self._probes += 1
        self._telemetry.gauge("members_alive", len(self._table.alive()))
        if self._probes % REVIVE_EVERY_PROBES == 0:
            await self._try_to_heal()
        target = self._next_target()
        if target is None:
            return
        if await self._ping(target) or await self._ping_by_helpers(target):
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

    async def _ping(self, target: MemberInfo) -> bool:
        sequence, answered = self._expect()
        self._gossip.send(target, pb.Envelope(ping=pb.Ping(sequence=sequence)))
        return await self._await_ack(sequence, answered, self._settings.probe_timeout)

    async def _ping_by_helpers(self, target: MemberInfo) -> bool:
        helpers = [member for member in self._table.alive_others() if member.id != target.id]
        helpers = self._rng.sample(helpers, min(len(helpers), self._settings.indirect_probes))
        sequence, answered = self._expect()
        request = pb.PingRequest(sequence=sequence, target=target.to_message())
        for helper in helpers:
            self._gossip.send(helper, pb.Envelope(ping_request=request))
        return await self._await_ack(sequence, answered, self._settings.probe_timeout)

    def _expect(self) -> tuple[int, asyncio.Event]:
        self._sequence += 1
        answered = asyncio.Event()
        self._waiting[self._sequence] = answered
        return self._sequence, answered

    async def _await_ack(self, sequence: int, answered: asyncio.Event, timeout: float) -> bool:
        """Waits for an answer; a loop that is itself late blames nobody and reports one."""
        started = self._clock.now()
        while not answered.is_set() and self._clock.now() < started + timeout:
            await self._clock.sleep(timeout / 8)
        self._waiting.pop(sequence, None)
        own_delay = self._clock.now() - started - timeout
        return answered.is_set() or own_delay > timeout / 2

    async def _try_to_heal(self) -> None:
        now = self._clock.now()
        limit = self._settings.forget_time
        dead = [m for m in self._table.others() if not m.usable and now - m.since < limit]
        if dead:
            self._gossip.send(self._rng.choice(dead), pb.Envelope(ping=pb.Ping()))
        known = {member.address for member in self._table.alive_others()}
        missing = [peer for peer in self._peers if peer not in known]
        if missing:
            await self._exchange_with(self._rng.choice(missing))

    def _on_ping(self, envelope: pb.Envelope) -> None:
        sender = self._table.get(DaemonId(envelope.sender.id))
        if sender is not None:
            self._gossip.send(sender, pb.Envelope(ack=pb.Ack(sequence=envelope.ping.sequence)))

    def _on_ack(self, envelope: pb.Envelope) -> None:
        sequence = envelope.ack.sequence
        relayed = self._relayed.pop(sequence, None)
        if relayed is not None:
            origin, origin_sequence = relayed
            self._gossip.send(origin, pb.Envelope(ack=pb.Ack(sequence=origin_sequence)))
        elif sequence in self._waiting:
            self._waiting[sequence].set()

    def _on_ping_request(self, envelope: pb.Envelope) -> None:
        origin = self._table.get(DaemonId(envelope.sender.id))
        if origin is None:
            return
        self._sequence += 1
        self._relayed[self._sequence] = (origin, envelope.ping_request.sequence)
        target = member_from_message(envelope.ping_request.target, self._clock.now())
        self._gossip.send(target, pb.Envelope(ping=pb.Ping(sequence=self._sequence)))
        self._tasks.spawn(self._forget_relay(self._sequence), "relayed-probe")

    async def _forget_relay(self, sequence: int) -> None:
        await self._clock.sleep(2 * self._settings.probe_timeout)
        self._relayed.pop(sequence, None)


def _is_unchanged(known: MemberInfo, earlier: MemberInfo) -> bool:
    return (known.incarnation, known.state) == (earlier.incarnation, earlier.state)
