"""Replication of batches to a standby daemon, so that finished samples survive the owner's failure.

The owner sends newly finished samples in groups to a standby, chosen by rendezvous hashing and
preferably in another zone. A daemon that is asked for an unknown batch fetches it from the standby
candidates. If none has it, the trainer reopens the batch: it has the specification and the list of
held slots, so no store is needed.
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
"""Number of daemons tried as standby, those of other zones first."""
REPLICATE_TIMEOUT = 1.0
"""Seconds to wait for another daemon's answer."""
MAX_REPLICAS = 1024
"""Maximum number of replicas at a daemon; the least recently updated are dropped."""


@dataclass(slots=True)
class Replica:
    """A replica of another daemon's batch."""

    spec: BatchSpec
    owner: DaemonId
    last_update_at: float
    samples: dict[int, Sample] = field(default_factory=dict)


@dataclass(slots=True)
class RecoveredBatch:
    """A batch recovered from other daemons."""

    spec: BatchSpec
    samples: list[Sample]


class ReplicaStore:
    """Replicas held for other daemons."""

    def __init__(self, clock: Clock, lifetime: float) -> None:
        self._clock = clock
        self._lifetime = lifetime
        self._replicas: dict[BatchId, Replica] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def store(self, message: pb.BatchReplica) -> None:
        """Updates a replica, or drops it if the batch is closed."""
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
        """Returns the replica of a batch, or None."""
        return self._replicas.get(batch)

    async def expire(self) -> None:
        """Drops replicas beyond their lifetime, and the least recently updated above the limit."""
        limit = self._clock.now() - self._lifetime
        unexpired = [(b, r) for b, r in self._replicas.items() if r.last_update_at >= limit]
        unexpired.sort(key=lambda pair: pair[1].last_update_at)
        self._replicas = dict(unexpired[-MAX_REPLICAS:])


class Replicator:
    """Replicates owned batches to standbys, and recovers batches of other daemons."""

    def __init__(self, board: Blackboard, transport: PeerTransport) -> None:
        self._board = board
        self._transport = transport
        self._standbys: dict[BatchId, DaemonId] = {}

    async def copy_to_standby(self, ledger: BatchLedger, new_samples: list[Sample]) -> bool:
        """Sends new samples to the standby, or all finished ones if the standby has changed.

        Returns:
            Whether a standby has stored them.
        """
        spec = ledger.spec
        for standby in self._candidates(spec.id):
            is_new_standby = self._standbys.get(spec.id) != standby.id
            samples = ledger.finished_samples() if is_new_standby else new_samples
            if await self._send(standby, spec, samples, closed=False):
                self._standbys[spec.id] = standby.id
                return True
        self._standbys.pop(spec.id, None)
        return False

    async def drop_copy(self, spec: BatchSpec) -> None:
        """Tells the standby to drop its replica of a closed batch."""
        standby = self._standbys.pop(spec.id, None)
        member = self._board.members.get(standby) if standby is not None else None
        if member is not None:
            await self._send(member, spec, [], closed=True)

    async def recover(self, batch: BatchId) -> RecoveredBatch | None:
        """Fetches a batch from the standby candidates and takes it over from its owner."""
        payload = pb.BatchFetchRequest(id=batch).SerializeToString()
        candidates = self._candidates(batch)
        answers = await asyncio.gather(*(self._fetch(m, payload) for m in candidates))
        known_replies = [answer for answer in answers if answer is not None and answer.known]
        if not known_replies:
            return None
        owner = DaemonId(known_replies[0].owner)
        member = self._board.members.get(owner)
        if member is not None and owner != self._board.members.own.id:
            request = pb.BatchFetchRequest(id=batch, take_over=True)
            last_state = await self._fetch(member, request.SerializeToString())
            if last_state is not None and last_state.known:
                known_replies.append(last_state)
        samples = {s.slot: s for answer in known_replies for s in answer.samples}
        decoded = [sample_from_message(message) for message in samples.values()]
        return RecoveredBatch(spec_from_message(known_replies[0].spec), decoded)

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
    """The receiving and the sending side of replication.

    Attributes:
        replicas: replicas of other daemons' batches.
        replicator: replicates this daemon's batches.
    """

    replicas: ReplicaStore
    replicator: Replicator


def encode_fetch_reply(spec: BatchSpec, samples: list[Sample], owner: DaemonId) -> bytes:
    """Encodes the reply to a fetch of a known batch."""
    reply = pb.BatchFetchReply(
        known=True,
        spec=spec_to_message(spec),
        samples=map(sample_to_message, samples),
        owner=owner,
    )
    return reply.SerializeToString()
