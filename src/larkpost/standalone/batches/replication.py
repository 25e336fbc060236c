"""Copies of batches at a second daemon, so that the death of the owner loses no finished sample.

The owner groups newly finished samples and sends them to a standby, chosen by rendezvous hashing
and preferably in another zone. A daemon that is asked for a batch it does not know fetches it from
the likely standbys. If none has it, the trainer opens the batch again: the trainer holds the
specification and knows its slots, so no store is needed.
"""

import asyncio
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.standalone.batches.ledger import BatchLedger, BatchSpec, Sample
from larkpost.standalone.batches.messages import (
    sample_from_message,
    sample_to_message,
    spec_from_message,
    spec_to_message,
)
from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.blackboard.members import MemberInfo
from larkpost.standalone.rendezvous import rank_members
from larkpost.standalone.wire import larkpost_pb2 as pb
from larkpost.standalone.wire.peer import PeerError, PeerMethod, PeerTransport

STANDBY_CANDIDATES = 3
"""Daemons among which a standby is sought, of other zones first."""
REPLICATE_TIMEOUT = 1.0
"""Seconds to wait for the answer of a standby."""
MAX_REPLICAS = 1024
"""Batches of other daemons that a daemon keeps copies of, the newest."""


@dataclass(slots=True)
class Replica:
    """A copy of another daemon's batch."""

    spec: BatchSpec
    owner: DaemonId
    last_update_at: float
    samples: dict[int, Sample] = field(default_factory=dict)


@dataclass(slots=True)
class RecoveredBatch:
    """What was found of a batch elsewhere."""

    spec: BatchSpec
    samples: list[Sample]


class ReplicaStore:
    """Copies held for other daemons."""

    def __init__(self, clock: Clock, lifetime: float) -> None:
        self._clock = clock
        self._lifetime = lifetime
        self._replicas: dict[BatchId, Replica] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def store(self, message: pb.BatchReplica) -> None:
        """Adds to a copy, or drops it once the batch is closed."""
        batch = BatchId(message.spec.id)
        if message.closed:
            self._replicas.pop(batch, None)
            return
        spec = spec_from_message(message.spec)
        owner = DaemonId(message.owner)
        replica = self._replicas.get(batch)
        if replica is None or replica.spec != spec:
            replica = Replica(spec, owner, self._clock.now())
            self._replicas[batch] = replica
        replica.owner = owner
        replica.last_update_at = self._clock.now()
        for sample in map(sample_from_message, message.samples):
            replica.samples.setdefault(sample.slot, sample)

    def get(self, batch: BatchId) -> Replica | None:
        """Returns the copy of a batch, or None."""
        return self._replicas.get(batch)

    async def expire(self) -> None:
        """Drops copies that were not touched for long, and the oldest above the limit."""
        limit = self._clock.now() - self._lifetime
        kept = [(b, r) for b, r in self._replicas.items() if r.last_update_at >= limit]
        kept.sort(key=lambda pair: pair[1].last_update_at)
        self._replicas = dict(kept[-MAX_REPLICAS:])


class Replicator:
    """Sends copies of owned batches, and finds batches of other daemons."""

    def __init__(self, board: Blackboard, transport: PeerTransport) -> None:
        self._board = board
        self._transport = transport
        self._standbys: dict[BatchId, DaemonId] = {}

    async def copy_to_standby(self, ledger: BatchLedger, new_samples: list[Sample]) -> bool:
        """Sends new samples to the standby; all of the batch if the standby has changed.

        Returns:
            Whether a second daemon now holds them.
        """
        spec = ledger.spec
        for standby in self._candidates(spec.id):
            fresh = self._standbys.get(spec.id) != standby.id
            samples = ledger.finished_samples() if fresh else new_samples
            if await self._send(standby, spec, samples, closed=False):
                self._standbys[spec.id] = standby.id
                return True
        self._standbys.pop(spec.id, None)
        return False

    async def drop_copy(self, spec: BatchSpec) -> None:
        """Has the standby drop its copy of a batch that is closed."""
        standby = self._standbys.pop(spec.id, None)
        member = self._board.members.get(standby) if standby is not None else None
        if member is not None:
            await self._send(member, spec, [], closed=True)

    async def recover(self, batch: BatchId) -> RecoveredBatch | None:
        """Looks for a batch at the likely standbys and takes it over from its owner."""
        payload = pb.BatchFetchRequest(id=batch).SerializeToString()
        candidates = self._candidates(batch)
        answers = await asyncio.gather(*(self._fetch(m, payload) for m in candidates))
        known = [answer for answer in answers if answer is not None and answer.known]
        if not known:
            return None
        owner = DaemonId(known[0].owner)
        member = self._board.members.get(owner)
        if member is not None and owner != self._board.members.own.id:
            request = pb.BatchFetchRequest(id=batch, take_over=True)
            last_state = await self._fetch(member, request.SerializeToString())
            if last_state is not None and last_state.known:
                known.append(last_state)
        samples = {s.slot: s for answer in known for s in answer.samples}
        decoded = [sample_from_message(message) for message in samples.values()]
        return RecoveredBatch(spec_from_message(known[0].spec), decoded)

    def _candidates(self, batch: BatchId) -> list[MemberInfo]:
        own = self._board.members.own
        others = rank_members((m for m in self._board.members.eligible() if m.id != own.id), batch)
        remote = [member for member in others if member.zone != own.zone]
        local = [member for member in others if member.zone == own.zone]
        return (remote + local)[:STANDBY_CANDIDATES]

    async def _send(
        self, target: MemberInfo, spec: BatchSpec, samples: list[Sample], closed: bool
    ) -> bool:
        message = pb.BatchReplica(
            spec=spec_to_message(spec),
            samples=map(sample_to_message, samples),
            closed=closed,
            owner=self._board.members.own.id,
        )
        payload = message.SerializeToString()
        try:
            await self._transport.request(
                target.address, PeerMethod.REPLICATE_BATCH, payload, REPLICATE_TIMEOUT
            )
        except PeerError:
            return False
        return True

    async def _fetch(self, target: MemberInfo, payload: bytes) -> pb.BatchFetchReply | None:
        try:
            answer = await self._transport.request(
                target.address, PeerMethod.FETCH_BATCH, payload, REPLICATE_TIMEOUT
            )
        except PeerError:
            return None
        return pb.BatchFetchReply.FromString(answer)


@dataclass(frozen=True, slots=True)
class Replication:
    """Both sides of the copying of batches.

    Attributes:
        replicas: copies of other daemons' batches.
        replicator: sends copies of this daemon's.
    """

    replicas: ReplicaStore
    replicator: Replicator


def encode_fetch_reply(spec: BatchSpec, samples: list[Sample], owner: DaemonId) -> bytes:
    """Answers a fetch with a known batch."""
    reply = pb.BatchFetchReply(
        known=True,
        spec=spec_to_message(spec),
        samples=map(sample_to_message, samples),
        owner=owner,
    )
    return reply.SerializeToString()
