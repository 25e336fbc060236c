"""The batch service: opens, serves and closes batches, and takes over those of other daemons.

Owns the batches that are open at this daemon. Each has a ledger, which tracks its slots, and a
runner, which runs the attempts.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter

from larkpost.common.errors import (
    BatchConflictError,
    InvalidRequestError,
    OverloadedError,
    StoppingError,
    UnknownBatchError,
)
from larkpost.common.ids import BatchId
from larkpost.standalone.batches.checks import check_slots, check_spec
from larkpost.standalone.batches.ledger import BatchLedger, BatchSpec, Page, Sample
from larkpost.standalone.batches.open_batch import OpenBatch
from larkpost.standalone.batches.replication import Replication, encode_fetch_reply
from larkpost.standalone.batches.runner import BatchRunner
from larkpost.standalone.blackboard.board import Phase
from larkpost.standalone.controllers.directory import EngineDirectory
from larkpost.standalone.controllers.readiness import Readiness
from larkpost.standalone.runtime import Runtime
from larkpost.standalone.wire import larkpost_pb2 as pb

SCHEDULE_INTERVAL = 0.05
"""Seconds between scheduling rounds."""
MAX_PULL_WAIT = 30.0
"""Maximum seconds for which a pull waits for samples."""
RunnerFactory = Callable[[BatchLedger, Callable[[Sample], None]], BatchRunner]


@dataclass(frozen=True, slots=True)
class Pull:
    """A trainer's pull.

    Attributes:
        page: page number, counted by the trainer from 1.
        trainer_version: the trainer's policy version; must not rise while the pull is open.
        held: slots whose samples the trainer already has.
        limit: maximum number of samples in the page; 0 for the daemon's default.
        wait: seconds to wait for a first sample; None for the daemon's default.
    """

    batch: BatchId
    page: int
    trainer_version: int
    held: tuple[int, ...]
    limit: int = 0
    wait: float | None = None


class BatchService:
    """Owns the batches that are open at this daemon."""

    def __init__(
        self,
        runtime: Runtime,
        directory: EngineDirectory,
        replication: Replication,
        make_runner: RunnerFactory,
        readiness: Readiness,
    ) -> None:
        self._board = runtime.board
        self._directory = directory
        self._replicas = replication.replicas
        self._replicator = replication.replicator
        self._make_runner = make_runner
        self._clock = runtime.clock
        self._telemetry = runtime.telemetry
        self._settings = runtime.settings.batches
        self._batches: dict[BatchId, OpenBatch] = {}
        self._activity = runtime.activity
        self._readiness = readiness

    @property
    def running_attempts(self) -> int:
        """Number of running attempts in all batches."""
        return sum(
            batch.runner.running_attempts for batch in self._batches.values() if batch.runner
        )

    def __len__(self) -> int:
        return len(self._batches)

    async def open(self, spec: BatchSpec, held: tuple[int, ...] = ()) -> None:
        """Opens a batch, or reopens it with the slots that the trainer already holds.

        Raises:
            LarkpostError: the daemon is not ready, the batch is invalid, or too many are open.
        """
        self._readiness.check()
        spec = check_spec(spec, self._board.configuration.intent)
        check_slots(spec, held)
        existing = self._batches.get(spec.id)
        if existing is not None:
            if existing.ledger.spec != spec:
                raise BatchConflictError(
                    f"batch {spec.id!r} is already open with another specification"
                )
            existing.ledger.record_trainer_state(spec.policy_version, held)
            return
        if len(self._batches) >= self._settings.max_batches:
            raise OverloadedError(
                f"this daemon has {len(self._batches)} open batches, its maximum",
                remedy="Open the batch at another daemon.",
                retry_after=1.0,
            )
        self._add_batch(spec, [], held)

    async def pull(self, call: Pull) -> Page:
        """Returns a page of finished samples; empty if none finished within the wait.

        Raises:
            UnknownBatchError: neither this daemon nor a standby knows the batch.
            StoppingError: this daemon is stopping and the batch has no work left here.
        """
        with self._activity.request():
            batch = await self._find_or_recover(call.batch)
            check_slots(batch.ledger.spec, call.held)
            batch.last_pull_at = self._clock.now()
            self._announce_version(batch.ledger.spec, call.trainer_version)
            batch.ledger.record_trainer_state(call.trainer_version, call.held)
            await self._wait_for_samples(batch, call.wait)
            return self._build_page(batch, call)

    def samples_per_prompt(self, batch: BatchId) -> int:
        """Returns the batch's samples per prompt; 1 if the batch is no longer open."""
        existing = self._batches.get(batch)
        return existing.ledger.spec.samples_per_prompt if existing is not None else 1

    async def close(self, batch: BatchId) -> None:
        """Closes a batch; has no effect on one that is not open."""
        existing = self._batches.pop(batch, None)
        if existing is None:
            return
        if existing.runner is not None:
            existing.runner.cancel_all()
        self._update_gauge()
        with self._activity.request():
            await self._replicator.drop_copy(existing.ledger.spec)

    async def schedule_samples(self) -> None:
        """Starts samples of every batch, in the order of their due times."""
        if not self._batches or not self._readiness.admits_work:
            return
        for batch in sorted(self._batches.values(), key=attrgetter("due_at")):
            if batch.runner is not None:
                batch.runner.schedule_samples()

    async def replicate(self) -> None:
        """Sends newly finished samples to the standbys."""
        for batch in list(self._batches.values()):
            new_samples, batch.unreplicated = batch.unreplicated, []
            if (
                new_samples or not batch.was_replicated
            ) and not await self._replicator.copy_to_standby(batch.ledger, new_samples):
                batch.unreplicated = new_samples + batch.unreplicated
            else:
                batch.was_replicated = True

    async def expire(self) -> None:
        """Closes batches whose trainer has not pulled within the idle timeout."""
        limit = self._clock.now() - self._settings.idle_timeout
        for batch_id, batch in list(self._batches.items()):
            if batch.last_pull_at < limit:
                self._telemetry.log_state(f"batch.{batch_id}", "expired")
                await self.close(batch_id)

    async def on_replicate(self, payload: bytes) -> bytes:
        """Stores a replica sent by another daemon."""
        self._replicas.store(pb.BatchReplica.FromString(payload))
        return b""

    async def on_fetch(self, payload: bytes) -> bytes:
        """Answers another daemon's fetch of a batch, and hands the batch over if requested."""
        request = pb.BatchFetchRequest.FromString(payload)
        batch_id = BatchId(request.id)
        own = self._board.members.own.id
        batch = self._batches.get(batch_id)
        if batch is not None:
            answer = encode_fetch_reply(batch.ledger.spec, batch.ledger.finished_samples(), own)
            if request.take_over:
                self._hand_over(batch_id)
            return answer
        replica = self._replicas.get(batch_id)
        if replica is not None:
            samples = list(replica.samples.values())
            return encode_fetch_reply(replica.spec, samples, replica.owner)
        return pb.BatchFetchReply(known=False).SerializeToString()

    def _add_batch(
        self, spec: BatchSpec, samples: list[Sample], held: tuple[int, ...]
    ) -> OpenBatch:
        ledger = BatchLedger(spec, self._settings.longest_first)
        now = self._clock.now()
        batch = OpenBatch(ledger, now, now + spec.due if spec.due > 0 else math.inf)
        ledger.record_trainer_state(spec.policy_version, held)
        for sample in samples:
            ledger.finish(sample)

        def on_sample(sample: Sample) -> None:
            batch.unreplicated.append(sample)
            batch.changed.set()

        batch.runner = self._make_runner(ledger, on_sample)
        self._batches[spec.id] = batch
        self._announce_version(spec, spec.policy_version)
        self._update_gauge()
        return batch

    async def _find_or_recover(self, batch_id: BatchId) -> OpenBatch:
        batch = self._batches.get(batch_id)
        if batch is not None:
            if self._is_drained(batch):
                raise StoppingError(
                    f"this daemon is stopping and has no running samples of batch {batch_id!r}"
                )
            return batch
        self._readiness.check()
        found = await self._replicator.recover(batch_id)
        if batch_id in self._batches:
            return self._batches[batch_id]
        replica = self._replicas.get(batch_id)
        samples = found.samples if found is not None else []
        if replica is not None:
            samples = samples + list(replica.samples.values())
        spec = found.spec if found is not None else replica.spec if replica is not None else None
        if spec is None:
            raise UnknownBatchError(f"batch {batch_id!r} is not known")
        self._telemetry.log_state(f"batch.{batch_id}", "taken over", samples=len(samples))
        return self._add_batch(spec, samples, ())

    def _is_drained(self, batch: OpenBatch) -> bool:
        stopping = self._board.phase == Phase.STOPPING
        return (
            stopping and batch.runner.running_attempts == 0 and not batch.ledger.finished_samples()
        )

    def _hand_over(self, batch_id: BatchId) -> None:
        batch = self._batches.pop(batch_id)
        batch.runner.cancel_all()
        batch.changed.set()
        self._telemetry.log_state(f"batch.{batch_id}", "given up")
        self._update_gauge()

    async def _wait_for_samples(self, batch: OpenBatch, wait: float | None) -> None:
        seconds = self._settings.pull_wait if wait is None else min(wait, MAX_PULL_WAIT)
        deadline = self._clock.now() + seconds
        while not batch.ledger.finished_samples() and not batch.ledger.is_complete():
            remaining = deadline - self._clock.now()
            if remaining <= 0 or batch.ledger.spec.id not in self._batches:
                return
            batch.changed.clear()
            try:
                await asyncio.wait_for(batch.changed.wait(), remaining)
            except TimeoutError:
                return

    def _build_page(self, batch: OpenBatch, call: Pull) -> Page:
        stale_before = batch.ledger.stale_dropped
        limit = call.limit if call.limit > 0 else self._settings.page_size
        if batch.ledger.trainer_version > call.trainer_version:
            # Another pull has already reported a newer trainer version.
            raise InvalidRequestError(
                f"the trainer is already at version {batch.ledger.trainer_version}",
                remedy="Pull with the trainer's current version.",
            )
        page = batch.ledger.make_page(call.page, call.trainer_version, limit)
        self._telemetry.count("samples_delivered", len(page.samples))
        self._telemetry.count("samples_stale", batch.ledger.stale_dropped - stale_before)
        return page

    def _announce_version(self, spec: BatchSpec, version: int) -> None:
        pool = self._board.configuration.intent.pool(spec.pool)
        if pool is not None and pool.policy is not None:
            self._directory.announce_version(pool.policy, version)

    def _update_gauge(self) -> None:
        self._telemetry.gauge("open_batches", len(self._batches))
