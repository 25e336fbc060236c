"""Direct and indirect probes of other daemons, and answers to their probes.

Owns the probes in progress and those relayed for others. The results are acted on by
`larkpost.standalone.controllers.membership`.
"""

import asyncio

from larkpost.common.ids import DaemonId
from larkpost.standalone.blackboard.members import MemberInfo, member_from_message
from larkpost.standalone.controllers.gossip import Gossip
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.wire import larkpost_pb2 as pb

ACK_POLLS = 8
"""Number of checks for an acknowledgement within a probe's timeout."""
MAX_LOOP_DELAY_DIVISOR = 2
"""A missing ack counts only if the event loop is late by at most the timeout divided by this."""
RELAY_LIFETIME_FACTOR = 2
"""A relayed probe is kept for the probe timeout times this."""


class Prober:
    """Probes other daemons and answers their probes."""

    def __init__(self, runtime: Runtime, gossip: Gossip) -> None:
        self._table = runtime.board.members
        self._gossip = gossip
        self._clock = runtime.clock
        self._tasks = runtime.tasks
        self._settings = runtime.settings.membership
        self._rng = runtime.rng
        self._sequence = 0
        self._waiting: dict[int, asyncio.Event] = {}
        self._relayed: dict[int, tuple[MemberInfo, int]] = {}
        """For each relayed probe, the requesting daemon and the sequence number it gave."""
        gossip.register_handler("ping", self._on_ping)
        gossip.register_handler("ack", self._on_ack)
        gossip.register_handler("ping_request", self._on_ping_request)

    async def probe(self, target: MemberInfo) -> bool:
        """Returns whether a daemon answers a direct probe or an indirect one through helpers."""
        return await self._ping(target) or await self._ping_by_helpers(target)

    async def _ping(self, target: MemberInfo) -> bool:
        sequence, answered = self._register_probe()
        self._gossip.send(target, pb.Envelope(ping=pb.Ping(sequence=sequence)))
        return await self._await_ack(sequence, answered, self._settings.probe_timeout)

    async def _ping_by_helpers(self, target: MemberInfo) -> bool:
        helpers = [member for member in self._table.alive_others() if member.id != target.id]
        helpers = self._rng.sample(helpers, min(len(helpers), self._settings.indirect_probes))
        sequence, answered = self._register_probe()
        request = pb.PingRequest(sequence=sequence, target=target.to_message())
        for helper in helpers:
            self._gossip.send(helper, pb.Envelope(ping_request=request))
        return await self._await_ack(sequence, answered, self._settings.probe_timeout)

    def _register_probe(self) -> tuple[int, asyncio.Event]:
        self._sequence += 1
        answered = asyncio.Event()
        self._waiting[self._sequence] = answered
        return self._sequence, answered

    async def _await_ack(self, sequence: int, answered: asyncio.Event, timeout: float) -> bool:
        """Waits for an acknowledgement.

        Also returns True if the event loop is late, as a missing ack is inconclusive then.
        """
        started = self._clock.now()
        while not answered.is_set() and self._clock.now() < started + timeout:
            await self._clock.sleep(timeout / ACK_POLLS)
        self._waiting.pop(sequence, None)
        loop_delay = self._clock.now() - started - timeout
        return answered.is_set() or loop_delay > timeout / MAX_LOOP_DELAY_DIVISOR

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
        await self._clock.sleep(RELAY_LIFETIME_FACTOR * self._settings.probe_timeout)
        self._relayed.pop(sequence, None)
