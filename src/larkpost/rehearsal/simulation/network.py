"""A simulated network with delay, loss, duplication, one-way partitions, dead and frozen hosts."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from larkpost.common.ids import Address, ZoneId

Result = TypeVar("Result")
MIN_WAIT_SECONDS = 0.001
"""A shorter wait may not advance a virtual clock."""
NO_TIMEOUT = float("inf")


class HostUnreachableError(Exception):
    """The connection was refused or reset, or timed out."""

    def __init__(self, message: str, delivered: bool) -> None:
        super().__init__(message)
        self.delivered = delivered
        """Whether the request may have reached the target host."""


class Host:
    """A simulated machine."""

    def __init__(self, address: Address, zone: ZoneId) -> None:
        self.address = address
        self.zone = zone
        self.alive = True
        self.frozen_until = 0.0
        self.refusing = False
        """The listener is closed: new connections are refused, responses in progress continue."""
        self.calls = 0
        """Streams and caller requests in progress on this host."""
        self.in_transit = 0
        """Response parts in transit to the callers, as in a kernel's send buffers."""
        self._tasks: dict[asyncio.Task, None] = {}

    async def wait_until_running(self) -> None:
        """Waits while the host is frozen; cancels the task if the host is dead."""
        while self.alive and (wait := self.frozen_until - _now()) > 0:
            await asyncio.sleep(max(wait, MIN_WAIT_SECONDS))
        if not self.alive:
            raise asyncio.CancelledError

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task:
        """Runs a task on this host; it is cancelled when the host is killed."""
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    def kill(self) -> None:
        """Kills the host and cancels its tasks."""
        self.alive = False
        for task in list(self._tasks):
            task.cancel()


@dataclass(slots=True)
class NetworkConditions:
    """Faults that the network applies to messages. Times in seconds."""

    delay: float = 0.0005
    jitter: float = 0.0005
    datagram_loss: float = 0.0
    datagram_repeat: float = 0.0
    late_share: float = 0.0
    """Share of messages delayed by up to ``late_seconds``, which reorders them."""
    late_seconds: float = 1.0
    zone_cuts: set[tuple[ZoneId, ZoneId]] = field(default_factory=set)
    """Ordered pairs: no message gets from the first zone to the second."""
    link_cuts: set[tuple[Address, Address]] = field(default_factory=set)


class Network:
    """Carries messages between hosts."""

    def __init__(self, rng: random.Random) -> None:
        self.conditions = NetworkConditions()
        self._rng = rng

    def send_datagram(self, source: Host, target: Host, deliver: Callable[[], None]) -> None:
        """Sends a message that may be lost, duplicated or delayed."""
        if not source.alive:
            return
        conditions = self.conditions
        copies = 1 + (self._rng.random() < conditions.datagram_repeat)
        for _ in range(copies):
            if self._rng.random() >= conditions.datagram_loss:
                asyncio.ensure_future(self._deliver(source, target, deliver))

    async def call(
        self,
        source: Host,
        target: Host,
        handler: Callable[[], Awaitable[Result]],
        timeout: float,
        is_caller_request: bool = False,
    ) -> Result:
        """Runs ``handler`` on the target and returns its result to the source.

        Args:
            is_caller_request: whether a planned stop must wait for the call.

        Raises:
            HostUnreachableError: the connection failed, or there was no response within
                ``timeout`` seconds.
        """
        progress = _CallProgress(is_caller_request)
        work = asyncio.ensure_future(self._call(source, target, handler, progress))
        try:
            done, _ = await asyncio.wait({work}, timeout=timeout)
        except asyncio.CancelledError:
            work.cancel()
            raise
        await source.wait_until_running()
        if not done:
            work.cancel()
            raise HostUnreachableError(f"no response within {timeout:g} s", progress.delivered)
        return work.result()

    async def stream(
        self,
        source: Host,
        target: Host,
        start: Callable[[], AsyncIterator[Result]],
        item_timeout: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[Result]:
        """Runs a generator on the target and yields its items at the source.

        Raises:
            HostUnreachableError: the connection failed, or there was no item within
                ``item_timeout`` seconds.
        """
        await self._connect(source, target, item_timeout)
        if not may_send():
            raise HostUnreachableError("not sent", delivered=False)
        items: asyncio.Queue[_Item] = asyncio.Queue()
        producer = target.spawn(self._produce(source, target, start, items))
        producer.add_done_callback(lambda task: _enqueue_reset(task, items))
        try:
            while True:
                item = await self._next_item(items, item_timeout)
                await source.wait_until_running()
                if item.end:
                    if item.error is not None:
                        raise item.error
                    return
                yield item.value
        finally:
            producer.cancel()

    def is_reachable(self, source: Host, target: Host) -> bool:
        """Whether messages currently get from one host to the other."""
        conditions = self.conditions
        if (source.zone, target.zone) in conditions.zone_cuts:
            return False
        return (source.address, target.address) not in conditions.link_cuts

    async def _deliver(self, source: Host, target: Host, deliver: Callable[[], None]) -> None:
        await asyncio.sleep(self._delay())
        if target.alive and self.is_reachable(source, target):
            task = target.spawn(target.wait_until_running())
            await asyncio.wait({task})
            if target.alive:
                deliver()

    async def _call(
        self,
        source: Host,
        target: Host,
        handler: Callable[[], Awaitable[Result]],
        progress: "_CallProgress",
    ) -> Result:
        await self._connect(source, target, NO_TIMEOUT)
        progress.delivered = True
        work = target.spawn(self._handle(target, handler, progress.is_caller_request))
        await asyncio.wait({work})
        if work.cancelled() or not target.alive:
            raise HostUnreachableError("connection reset", delivered=True)
        result = work.result()
        await asyncio.sleep(self._delay())
        if not self.is_reachable(target, source):
            await asyncio.Event().wait()
        return result

    async def _handle(
        self, target: Host, handler: Callable[[], Awaitable[Result]], is_caller_request: bool
    ) -> Result:
        target.calls += is_caller_request
        try:
            await target.wait_until_running()
            result = await handler()
            await target.wait_until_running()
            return result
        finally:
            target.calls -= is_caller_request

    async def _connect(self, source: Host, target: Host, timeout: float) -> None:
        """Connects to the target; a partition drops the attempt, a dead host refuses it."""
        await source.wait_until_running()
        await asyncio.sleep(self._delay())
        if not self.is_reachable(source, target) or not self.is_reachable(target, source):
            if timeout == NO_TIMEOUT:
                await asyncio.Event().wait()
            await asyncio.sleep(timeout)
            await source.wait_until_running()
            raise HostUnreachableError(f"no connection within {timeout:g} s", delivered=False)
        if not target.alive or target.refusing:
            raise HostUnreachableError("connection refused", delivered=False)
        await source.wait_until_running()

    async def _produce(
        self,
        source: Host,
        target: Host,
        start: Callable[[], AsyncIterator[Result]],
        items: "asyncio.Queue[_Item]",
    ) -> None:
        target.calls += 1
        generator = start()
        try:
            await asyncio.sleep(self._delay())
            await target.wait_until_running()
            async for value in generator:
                await target.wait_until_running()
                await self._put(source, target, items, _Item(value))
            await self._put(source, target, items, _Item(end=True))
        except Exception as error:
            await self._put(source, target, items, _Item(end=True, error=error))
        finally:
            target.calls -= 1
            await generator.aclose()

    async def _put(
        self, source: Host, target: Host, items: "asyncio.Queue[_Item]", item: "_Item"
    ) -> None:
        target.calls -= item.end
        target.in_transit += 1
        try:
            await asyncio.sleep(self._delay())
            while not self.is_reachable(target, source):
                await asyncio.sleep(0.1)
            items.put_nowait(item)
        finally:
            target.calls += item.end
            target.in_transit -= 1

    async def _next_item(self, items: "asyncio.Queue[_Item]", timeout: float) -> "_Item":
        try:
            return await asyncio.wait_for(items.get(), timeout)
        except TimeoutError:
            raise HostUnreachableError(f"no data within {timeout:g} s", delivered=True) from None

    def _delay(self) -> float:
        conditions = self.conditions
        delay = conditions.delay + self._rng.random() * conditions.jitter
        if conditions.late_share and self._rng.random() < conditions.late_share:
            delay += self._rng.random() * conditions.late_seconds
        return delay


@dataclass(slots=True)
class _CallProgress:
    is_caller_request: bool
    delivered: bool = False


@dataclass(slots=True)
class _Item:
    value: Any = None
    end: bool = False
    error: Exception | None = None


def _enqueue_reset(task: asyncio.Task, items: "asyncio.Queue[_Item]") -> None:
    if task.cancelled():
        error = HostUnreachableError("connection reset", delivered=True)
        items.put_nowait(_Item(end=True, error=error))


def _now() -> float:
    return asyncio.get_running_loop().time()
