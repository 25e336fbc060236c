"""A stand-in trainer, which records and verifies the samples that it receives."""

import asyncio
import random
import time
from dataclasses import asdict, dataclass, field

import aiohttp

from larkpost.client import BatchSession, HttpBatchEndpoint
from larkpost.common.errors import LarkpostError
from larkpost.common.ids import Address, BatchId
from larkpost.rehearsal.tokens import expected_answer
from larkpost.rehearsal.workload import TrainerShape
from larkpost.standalone.batches.ledger import BatchSpec, Sample


@dataclass(slots=True)
class TrainerRecord:
    """Counts and times observed by the trainer."""

    trainer: str
    steps: int = 0
    samples_expected: int = 0
    samples_delivered: int = 0
    samples_doubled: int = 0
    samples_lost: int = 0
    samples_stale: int = 0
    version_mismatches: int = 0
    idle_seconds: float = 0.0
    train_seconds: float = 0.0
    staleness: list[int] = field(default_factory=list)
    step_waits: list[float] = field(default_factory=list)

    def record_sample(self, spec: BatchSpec, sample: Sample, version: int, held: set[int]) -> None:
        """Checks a sample for duplication, staleness and correct tokens, and counts the result."""
        if sample.slot in held:
            self.samples_doubled += 1
            return
        self.samples_delivered += 1
        age = version - sample.oldest_version
        self.staleness.append(age)
        self.samples_stale += age > spec.staleness_bound
        self.version_mismatches += not is_correct(spec, sample)


def is_correct(spec: BatchSpec, sample: Sample) -> bool:
    """Whether each token is the one that its weight version generates for the slot's request."""
    prompt = spec.prompts[spec.prompt_index(sample.slot)]
    spans = [(s.version, s.first_token, s.count) for s in sample.spans]
    expected = expected_answer(f"{spec.id}/{sample.slot}", prompt, spec.max_tokens, spans)
    return list(sample.tokens) == expected


class Trainer:
    """Runs training steps until `stop` is called."""

    def __init__(
        self,
        shape: TrainerShape,
        daemons: list[Address],
        platform: Address,
        session: aiohttp.ClientSession,
        seed: int,
    ) -> None:
        self._shape = shape
        self._daemons = daemons
        self._platform = platform
        self._http = session
        self._endpoint = HttpBatchEndpoint(session)
        self._rng = random.Random(seed)
        self._run_name = f"{shape.name}-{self._rng.randrange(16**6):06x}"
        self.version = 0
        self.record = TrainerRecord(shape.name)
        self._stopping = False

    def stop(self) -> None:
        """Stops after the current step."""
        self._stopping = True

    async def run(self) -> TrainerRecord:
        """Runs steps and returns the record of the whole run."""
        await self._publish()
        opened: list[BatchSession] = []
        step = 0
        while not self._stopping:
            while len(opened) <= self._shape.ahead:
                opened.append(await self._open(step))
                step += 1
            await self._collect(opened.pop(0))
            await self._train()
        for session in opened:
            await session.close()
        return self.record

    async def _open(self, step: int) -> BatchSession:
        spec = self._shape.make_spec(BatchId(f"{self._run_name}-{step}"), self.version, self._rng)
        session = BatchSession(self._endpoint, self._daemons, spec, self._rng)
        await session.open()
        return session

    async def _collect(self, session: BatchSession) -> None:
        started = time.monotonic()
        self.record.samples_expected += session.spec.slot_count
        async for page in session.pages(self.version):
            for sample in page.samples:
                self.record.record_sample(session.spec, sample, self.version, session.held)
        await session.close()
        self.record.samples_lost += session.spec.slot_count - len(session.held)
        waited = time.monotonic() - started
        self.record.idle_seconds += waited
        self.record.step_waits.append(waited)

    async def _train(self) -> None:
        await asyncio.sleep(self._shape.train_seconds)
        self.record.train_seconds += self._shape.train_seconds
        self.record.steps += 1
        await self._publish()

    async def _publish(self) -> None:
        """Publishes a new weight version and announces it to a daemon."""
        self.version += 1
        url = f"http://{self._platform}/weights/{self._shape.policy}/{self.version}"
        async with self._http.put(url) as response:
            response.raise_for_status()
        daemon = self._rng.choice(self._daemons)
        try:
            await self._endpoint.announce_version(daemon, self._shape.policy, self.version)
        except LarkpostError:
            return  # the next pull announces the version as well


async def run_trainer(
    shape: TrainerShape, daemons: list[Address], platform: Address, seconds: float, seed: int
) -> dict:
    """Runs a trainer for a number of seconds and returns its record."""
    async with aiohttp.ClientSession() as session:
        trainer = Trainer(shape, daemons, platform, session, seed)
        asyncio.get_running_loop().call_later(seconds, trainer.stop)
        return asdict(await trainer.run())
