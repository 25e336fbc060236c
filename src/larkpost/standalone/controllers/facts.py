"""Dissemination of facts: pushed to a few daemons at once, and repaired by anti-entropy.

A daemon that learns a new fact pushes it to ``FANOUT`` others, so a fact reaches the fleet in a
logarithmic number of hops. Every datagram carries the digest of the sender's table; a difference
that persists is repaired by fetching the buckets that differ.
"""

import asyncio
from collections.abc import Iterable

from larkpost.common.ids import Address, DaemonId
from larkpost.standalone.blackboard.facts import Fact
from larkpost.standalone.controllers.gossip import Gossip
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.wire import larkpost_pb2 as pb
from larkpost.standalone.wire.peer import PeerError, PeerMethod, PeerTransport

FANOUT = 4
"""Number of daemons to which a daemon pushes a fact that is new to it."""
PUSH_DELAY = 0.02
"""Seconds over which new facts are collected into one push."""
MAX_PUSHED = 32
"""Maximum number of new facts to push at once; more are left to the comparison of digests."""
PUSH_TIMEOUT = 1.0
"""Seconds to wait for the answer to a push or a fetch."""
REPAIR_DELAY = 0.5
"""Seconds a difference must persist before it is repaired; pushes resolve most before that."""


class Dissemination:
    """Pushes new facts to other daemons and repairs differences between fact tables."""

    def __init__(
        self,
        runtime: Runtime,
        gossip: Gossip,
        transport: PeerTransport,
    ) -> None:
        self._board = runtime.board
        self._transport = transport
        self._clock = runtime.clock
        self._tasks = runtime.tasks
        self._telemetry = runtime.telemetry
        self._rng = runtime.rng
        self._outgoing: dict[str, Fact] = {}
        self._repairing = False
        gossip.compare_digest = self._compare_digest

    def publish(self, *facts: Fact) -> bool:
        """Merges facts and pushes those that are new.

        If more than ``MAX_PUSHED`` are new, as when a machine list is first read, none is pushed;
        the comparison of digests spreads them.

        Returns:
            Whether any fact was new.
        """
        new_facts = self._merge(facts)
        if 0 < len(new_facts) <= MAX_PUSHED:
            if not self._outgoing:
                self._tasks.spawn(self._push(), "push-facts")
            self._outgoing |= {fact.key: fact for fact in new_facts}
        return bool(new_facts)

    def _merge(self, facts: Iterable[Fact]) -> list[Fact]:
        new_facts = [fact for fact in facts if self._board.facts.merge(fact)]
        if new_facts:
            self._telemetry.count("facts_merged", len(new_facts))
        return new_facts

    async def on_push(self, payload: bytes) -> bytes:
        """Merges pushed facts."""
        self.publish(*map(_from_message, pb.FactPush.FromString(payload).facts))
        return b""

    async def on_sync(self, payload: bytes) -> bytes:
        """Answers with the facts of the buckets whose digests differ."""
        request = pb.FactSyncRequest.FromString(payload)
        facts = self._board.facts.facts_differing_from(list(request.bucket_digests))
        return pb.FactSyncReply(facts=map(_to_message, facts)).SerializeToString()

    async def fetch_from(self, address: Address) -> bool:
        """Fetches the facts of the buckets in which a peer differs from this daemon.

        Returns:
            Whether the peer answered.
        """
        request = pb.FactSyncRequest(bucket_digests=self._board.facts.bucket_digests)
        payload = request.SerializeToString()
        try:
            answer = await self._transport.request(
                address, PeerMethod.SYNC_FACTS, payload, PUSH_TIMEOUT
            )
        except PeerError:
            return False
        # Facts that a peer already had are known elsewhere, so they are not pushed.
        self._merge(map(_from_message, pb.FactSyncReply.FromString(answer).facts))
        return True

    async def _push(self) -> None:
        await self._clock.sleep(PUSH_DELAY)
        facts, self._outgoing = list(self._outgoing.values()), {}
        payload = pb.FactPush(facts=map(_to_message, facts)).SerializeToString()
        targets = self._board.members.alive_others()
        targets = self._rng.sample(targets, min(len(targets), FANOUT))
        pushes = [self._push_to(target.address, payload) for target in targets]
        await asyncio.gather(*pushes)

    async def _push_to(self, address: Address, payload: bytes) -> None:
        try:
            await self._transport.request(address, PeerMethod.PUSH_FACTS, payload, PUSH_TIMEOUT)
        except PeerError:
            return  # a later comparison of digests repairs it

    def _compare_digest(self, daemon: DaemonId, digest: int) -> None:
        if digest != self._board.facts.digest and not self._repairing:
            self._repairing = True
            self._tasks.spawn(self._repair(daemon, digest), "repair-facts")

    async def _repair(self, daemon: DaemonId, digest: int) -> None:
        try:
            await self._clock.sleep(REPAIR_DELAY)
            member = self._board.members.get(daemon)
            if digest != self._board.facts.digest and member is not None:
                await self.fetch_from(member.address)
        finally:
            self._repairing = False


def _to_message(fact: Fact) -> pb.Fact:
    return pb.Fact(key=fact.key, version=fact.version, value=fact.value)


def _from_message(message: pb.Fact) -> Fact:
    return Fact(message.key, message.version, message.value)
