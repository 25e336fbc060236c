"""The ports of a daemon, implemented on the simulated network."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

from larkpost.common.errors import PlatformError
from larkpost.common.ids import Address, AttemptId, ZoneId
from larkpost.rehearsal.engine_model import EngineModel
from larkpost.rehearsal.engine_types import (
    QueueFullError,
    StaleOrderError,
    StreamCutError,
    UnknownAttemptError,
)
from larkpost.rehearsal.platform_model import (
    PlatformDownError,
    PlatformModel,
    RateLimitedError,
    ResponseLostError,
)
from larkpost.rehearsal.simulation.fabric import EngineNode, Fabric
from larkpost.rehearsal.simulation.network import Host, HostUnreachableError
from larkpost.standalone.engines.port import (
    EngineChunk,
    EngineNotSentError,
    EngineOutcomeUnknownError,
    EngineRefusedError,
    EngineReport,
    GenerateRequest,
    Order,
    StaleTokenError,
)
from larkpost.standalone.table_service.ports import MachineEntry, Row
from larkpost.standalone.wire.peer import PeerError, PeerMethod

Result = TypeVar("Result")


class SimulatedClock:
    """The loop's virtual time; a frozen host's sleep ends only once it resumes."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        return 1 + int(self.now() * 1000)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._host.wait_until_running()


class SimulatedTransport:
    """Datagrams and requests to other daemons."""

    def __init__(self, fabric: Fabric, host: Host) -> None:
        self._fabric = fabric
        self._host = host

    def send(self, address: Address, data: bytes) -> None:
        node = self._fabric.daemon_at(address)
        if node is not None:
            receive = node.daemon.gossip.receive
            self._fabric.network.send_datagram(self._host, node.host, lambda: receive(data))

    async def request(
        self, address: Address, method: PeerMethod, payload: bytes, timeout: float
    ) -> bytes:
        node = self._fabric.daemon_at(address)
        if node is None:
            raise PeerError("connection refused")
        handler = node.daemon.handlers[method]
        try:
            return await self._fabric.network.call(
                self._host, node.host, lambda: handler(payload), timeout
            )
        except HostUnreachableError as error:
            raise PeerError(str(error)) from error


class SimulatedEngines:
    """Calls to engines."""

    def __init__(self, fabric: Fabric, host: Host) -> None:
        self._fabric = fabric
        self._host = host

    async def generate(
        self,
        address: Address,
        request: GenerateRequest,
        chunk_timeout: float,
        may_send: Callable[[], bool],
    ) -> AsyncIterator[EngineChunk]:
        engine = self._fabric.engine_at(address)
        if engine is None:
            raise EngineNotSentError("connection refused")

        def start() -> AsyncIterator[EngineChunk]:
            return _submit_and_stream(engine.model, request)

        async for chunk in self._stream(engine.host, start, chunk_timeout, may_send):
            yield chunk

    async def resume(
        self, address: Address, attempt: AttemptId, offset: int, chunk_timeout: float
    ) -> AsyncIterator[EngineChunk]:
        engine = self._fabric.engine_at(address)
        if engine is None:
            raise EngineNotSentError("connection refused")
        model = engine.model
        async for chunk in self._stream(
            engine.host, lambda: model.stream(attempt, offset), chunk_timeout, lambda: True
        ):
            yield chunk

    async def cancel(self, address: Address, attempt: AttemptId) -> None:
        engine = self._fabric.engine_at(address)
        if engine is None:
            return

        async def handle() -> None:
            engine.model.cancel(attempt)

        await self._call(engine.host, handle, 1.0)

    async def report(self, address: Address, timeout: float) -> EngineReport:
        engine = self._engine(address)

        async def handle() -> EngineReport:
            await engine.model.wait_while_frozen()
            return engine.model.report()

        return await self._call(engine.host, handle, timeout)

    async def order(self, address: Address, order: Order, timeout: float) -> None:
        engine = self._engine(address)

        async def handle() -> None:
            await engine.model.wait_while_frozen()
            engine.model.handle_order(order)

        try:
            await self._call(engine.host, handle, timeout)
        except StaleOrderError as error:
            raise StaleTokenError("the engine has a higher token", error.args[0]) from error

    def _engine(self, address: Address) -> EngineNode:
        engine = self._fabric.engine_at(address)
        if engine is None:
            raise EngineNotSentError("connection refused")
        return engine

    async def _call(
        self, target: Host, handle: Callable[[], Awaitable[Result]], timeout: float
    ) -> Result:
        try:
            return await self._fabric.network.call(self._host, target, handle, timeout)
        except HostUnreachableError as error:
            raise EngineOutcomeUnknownError(str(error)) from error

    async def _stream(
        self,
        target: Host,
        start: Callable[[], AsyncIterator[EngineChunk]],
        chunk_timeout: float,
        may_send: Callable[[], bool],
    ) -> AsyncIterator[EngineChunk]:
        stream = self._fabric.network.stream(self._host, target, start, chunk_timeout, may_send)
        try:
            async for chunk in stream:
                yield chunk
        except QueueFullError as error:
            raise EngineRefusedError(str(error), 0.5) from error
        except (StreamCutError, UnknownAttemptError) as error:
            raise EngineOutcomeUnknownError(repr(error)) from error
        except HostUnreachableError as error:
            kind = EngineOutcomeUnknownError if error.delivered else EngineNotSentError
            raise kind(str(error)) from error
        finally:
            await stream.aclose()


async def _submit_and_stream(
    model: EngineModel, request: GenerateRequest
) -> AsyncIterator[EngineChunk]:
    await model.wait_while_frozen()
    model.submit(request)
    async for chunk in model.stream(request.attempt, len(request.prefix)):
        yield chunk


class SimulatedPlatform:
    """Calls to the platform."""

    def __init__(self, fabric: Fabric, host: Host) -> None:
        self._fabric = fabric
        self._host = host

    @property
    def _model(self) -> PlatformModel:
        return self._fabric.platform

    async def read(self, key: str, timeout: float) -> Row | None:
        return await self._call(lambda: self._model.read(key), timeout)

    async def compare_and_set(
        self, key: str, expected_version: int, value: bytes, timeout: float
    ) -> bool:
        return await self._call(
            lambda: self._model.compare_and_set(key, expected_version, value), timeout
        )

    async def entries(self, zone: ZoneId | None, timeout: float) -> list[MachineEntry]:
        return await self._call(lambda: self._model.machines(zone), timeout)

    async def _call(self, handle: Callable[[], Awaitable[Result]], timeout: float) -> Result:
        try:
            return await self._fabric.network.call(
                self._host, self._fabric.platform_host, handle, timeout
            )
        except (
            HostUnreachableError,
            PlatformDownError,
            ResponseLostError,
            RateLimitedError,
        ) as error:
            raise PlatformError(repr(error)) from error
