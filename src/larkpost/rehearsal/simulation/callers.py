"""Simulated trainers and clients of a fleet, which record what they observe."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import aclosing

from larkpost.client import BatchSession, DaemonUnreachableError
from larkpost.common.errors import LarkpostError, Ran
from larkpost.common.ids import Address, BatchId, DaemonId, RequestId, ZoneId
from larkpost.rehearsal.simulation.network import HostUnreachableError
from larkpost.rehearsal.simulation.records import CallOutcome, ClientCall, Delivery
from larkpost.rehearsal.simulation.world import World
from larkpost.rehearsal.workload import TrainerShape
from larkpost.standalone.batches.ledger import BatchSpec, Page
from larkpost.standalone.batches.service import Pull
from larkpost.standalone.routing.inference import InferenceCall
from larkpost.standalone.routing.work import Answer

PULL_TIMEOUT = 10.0
CALL_TIMEOUT = 3.0
CLIENT_ITEM_TIMEOUT = 30.0


class SimulatedBatchEndpoint:
    """Batch API calls from a zone to daemons."""

    def __init__(self, world: World, zone: ZoneId) -> None:
        self._world = world
        self._caller = world.callers[zone]
        self.duplicate_next_pull = False
        """Send the next pull to a second daemon as well and use the first response."""

    async def open(self, daemon: Address, spec: BatchSpec, held: tuple[int, ...]) -> None:
        await self._call(daemon, lambda d: d.batches.open(spec, held), CALL_TIMEOUT)

    async def pull(self, daemon: Address, call: Pull) -> Page:
        if not self.duplicate_next_pull:
            return await self._call(daemon, lambda d: d.batches.pull(call), PULL_TIMEOUT)
        self.duplicate_next_pull = False
        return await self._pull_from_two_daemons(daemon, call)

    async def close(self, daemon: Address, batch: BatchId) -> None:
        await self._call(daemon, lambda d: d.batches.close(batch), CALL_TIMEOUT)

    async def announce(self, daemon: Address, policy, version: int) -> None:
        """Announces a new weight version to a daemon."""

        async def handle(target) -> None:
            target.directory.announce_version(policy, version)

        await self._call(daemon, handle, CALL_TIMEOUT)

    async def _pull_from_two_daemons(self, daemon: Address, call: Pull) -> Page:
        others = [n.host.address for n in self._world.daemons.values() if n.host.address != daemon]
        addresses = [daemon, *others[:1]]
        pulls = [
            asyncio.ensure_future(self._call(a, lambda d: d.batches.pull(call), PULL_TIMEOUT))
            for a in addresses
        ]
        done, _late = await asyncio.wait(pulls, return_when=asyncio.FIRST_COMPLETED)
        for late in _late:
            late.add_done_callback(lambda task: task.cancelled() or task.exception())
        first, *rest = done
        for other in rest:
            other.exception()
        return first.result()

    async def _call(self, address: Address, handle: Callable[..., Awaitable], timeout: float):
        node = self._world.fabric.daemon_at(address)
        if node is None:
            raise DaemonUnreachableError("connection refused", ran=Ran.NO)
        try:
            return await self._world.network.call(
                self._caller,
                node.host,
                lambda: handle(node.daemon),
                timeout,
                is_caller_request=True,
            )
        except HostUnreachableError as error:
            ran = Ran.UNKNOWN if error.delivered else Ran.NO
            raise DaemonUnreachableError(str(error), ran=ran) from error


class SimulatedTrainer:
    """Runs training steps until `stop` is called; open batches are then completed."""

    def __init__(self, world: World, shape: TrainerShape, zone: ZoneId, rng: random.Random) -> None:
        self.world = world
        self.shape = shape
        self.endpoint = SimulatedBatchEndpoint(world, zone)
        self.version = 0
        self.steps = 0
        self.step_waits: list[float] = []
        self._rng = rng
        self._stopping = False
        self._serial = 0

    def stop(self) -> None:
        """Stops opening new batches."""
        self._stopping = True

    async def run(self) -> None:
        """Runs until stopped and all open batches are complete."""
        await self._publish()
        opened: list[BatchSession] = []
        while opened or not self._stopping:
            while not self._stopping and len(opened) <= self.shape.ahead:
                opened.append(await self._open())
            if opened:
                await self._collect(opened.pop(0))
                await self._train()

    async def _open(self) -> BatchSession:
        self._serial += 1
        batch = BatchId(f"{self.shape.name}-{self._serial}")
        spec = self.shape.make_spec(batch, self.version, self._rng)
        self.world.records.batches_opened.append(spec)
        addresses = [Address(f"{name}:1") for name in self.world.daemon_zones]
        session = BatchSession(self.endpoint, addresses, spec, self._rng)
        await session.open()
        return session

    async def _collect(self, session: BatchSession) -> None:
        started = self.world.now
        records = self.world.records
        async with aclosing(session.pages(self.version)) as pages:
            async for page in pages:
                for sample in page.samples:
                    held = sample.slot in session.held
                    records.deliveries.append(
                        Delivery(session.spec, sample, self.version, held, self.world.now)
                    )
        await session.close()
        records.completed_batches.append(session.spec.id)
        waited = self.world.now - started
        self.step_waits.append(waited)
        idle = records.idle_seconds
        idle[self.shape.name] = idle.get(self.shape.name, 0.0) + waited

    async def _train(self) -> None:
        await asyncio.sleep(self.shape.train_seconds)
        trained = self.world.records.train_seconds
        trained[self.shape.name] = trained.get(self.shape.name, 0.0) + self.shape.train_seconds
        self.steps += 1
        await self._publish()

    async def _publish(self) -> None:
        self.version += 1
        self.world.platform.publish_weights(self.shape.policy, self.version)
        daemons = [node.host.address for node in self.world.daemons.values()]
        if not daemons:
            return
        try:
            await self.endpoint.announce(self._rng.choice(daemons), self.shape.policy, self.version)
        except LarkpostError:
            return  # the next pull announces the version as well


class SimulatedClients:
    """Sends requests to a service."""

    def __init__(self, world: World, service: str, max_tokens: int = 24) -> None:
        self._world = world
        self._service = service
        self._max_tokens = max_tokens
        self._count = 0
        self.latencies: list[float] = []

    async def ask(
        self,
        daemon: DaemonId,
        zone: ZoneId,
        run_once: bool = False,
        key: str | None = None,
        deadline: float | None = None,
    ) -> ClientCall:
        """Sends one request to a daemon and records its outcome."""
        self._count += 1
        request = f"{self._service}-{self._count}"
        prompt = f"question {self._count}"
        call = ClientCall(
            request, self._service, prompt, self._max_tokens, run_once, key, self._world.now
        )
        self._world.records.calls.append(call)
        await self._send(call, daemon, zone, deadline)
        call.ended_at = self._world.now
        if call.outcome == CallOutcome.ANSWER:
            self.latencies.append(call.ended_at - call.asked_at)
        return call

    async def _send(
        self, call: ClientCall, daemon: DaemonId, zone: ZoneId, deadline: float | None
    ) -> None:
        node = self._world.daemons.get(daemon)
        if node is None:
            call.outcome, call.code = CallOutcome.NOTHING, "refused"
            return
        inference = _inference_call(call, deadline)
        stream = self._world.network.stream(
            self._world.callers[zone],
            node.host,
            lambda: node.daemon.inference.complete(inference),
            CLIENT_ITEM_TIMEOUT,
        )
        answer = Answer()
        try:
            async with aclosing(stream):
                async for run in stream:
                    answer.append(run)
        except LarkpostError as error:
            call.outcome = CallOutcome.NOT_RUN if error.ran == Ran.NO else CallOutcome.UNKNOWN
            call.code = error.code
        except HostUnreachableError as error:
            call.outcome, call.code = CallOutcome.NOTHING, str(error)
        else:
            call.outcome = CallOutcome.ANSWER
            call.tokens, call.spans = tuple(answer.tokens), tuple(answer.spans)


def _inference_call(call: ClientCall, deadline: float | None) -> InferenceCall:
    """Converts a client call to the daemon's request type."""
    return InferenceCall(
        RequestId(call.request),
        call.service,
        call.prompt,
        call.max_tokens,
        deadline,
        call.run_once,
        call.key,
    )
