"""In-memory engines that implement the server port, for tests and simulations."""

import functools
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    EngineReport,
    Headers,
    NotRunError,
    NotRunReason,
    OrderOutcome,
    OutgoingRequest,
    PortState,
    ServerLoad,
    StreamEvent,
    VersionOrder,
)
from larkpost.platform.stand_in.engine_state import EngineState, expected_output, handle_order

STALL_SECONDS = 1000.0
CRASH_SECONDS = 0.08
"""Time from the start of a request that crashes its server to the crash."""


@dataclass(slots=True)
class ScriptedEngine(EngineState):
    """An engine whose failures a test controls, and that records what it ran.

    Attributes:
        down: whether it does not respond.
        stall_after: number of events after which its streams stall; None for never.
        break_after: number of events after which its next streams break; None for never.
        status: failure status of its responses, instead of a stream; None for no failure.
        unsigned: whether its responses have no signature.
        cold_until: time at which it is warm; its responses report how long it stays cold.
        cold_known_from: time from which every daemon can know that it is cold.
        cold_arrivals: arrival times of requests from then on while it was cold.
        most_running: maximum number of concurrent requests so far.
        whole_at: time at which each complete stream ended.
        ranks: priority of each request that ran.
        signatures: signatures of its responses by request, each with the start time of the run.
        failures: number of responses with the failure status, by request.
    """

    down: bool = False
    break_after: int | None = None
    stall_after: int | None = None
    status: int | None = None
    unsigned: bool = False
    cold_until: float = 0.0
    cold_known_from: float = 0.0
    cold_arrivals: list[float] = field(default_factory=list)
    most_running: int = 0
    whole_at: dict[str, float] = field(default_factory=dict)
    ranks: dict[str, int | None] = field(default_factory=dict)
    signatures: dict[str, list[tuple[str, float]]] = field(default_factory=dict)
    failures: Counter[str] = field(default_factory=Counter)


class ScriptedResponse:
    """An engine's response; implements `larkpost.gateway.servers.port.ServerResponse`."""

    def __init__(
        self,
        clock: Clock,
        state: ScriptedEngine,
        request: OutgoingRequest,
        model: ModelName,
        output_events: int | None = None,
        crash: Callable[[], None] | None = None,
    ) -> None:
        self._crash = crash
        self._output_events = output_events
        self._clock = clock
        self._state = state
        self._request = request
        self._model = model
        self.status = state.status or 200
        self.headers: Headers = ()
        self.load = ServerLoad(state.running, 0, state.slots)
        self.cold_left = max(0.0, state.cold_until - clock.now())
        self.version = state.versions.get(model, 1)
        name = request.request_id.decode()
        signature = f"{name}.{id(state)}.{len(state.runs)}"  # unique per response
        self.signature = None if state.unsigned else signature
        state.signatures.setdefault(name, []).append((signature, clock.now()))
        state.failures[name] += state.status is not None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; see the port."""
        await self._crash_if_so()
        await self._clock.sleep(self._state.event_seconds)
        if self._state.down or self._state.break_after is not None:
            raise BrokenResponseError("the answer broke off", connection_lost=True)
        yield b"answer to " + self._request.request_id

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yields the body's events; see the port."""
        await self._crash_if_so()
        output = expected_output(self._request.request_id.decode(), self._output_events)
        first = (self._request.resume_after or 0) + 1
        version = self.version
        for made, number in enumerate(range(first, len(output) + 1)):
            if made == self._state.stall_after:
                await self._clock.sleep(STALL_SECONDS)
            await self._clock.sleep(self._state.event_seconds)
            if self._state.down or made == self._state.break_after:
                raise BrokenResponseError("the stream broke off", connection_lost=True)
            newest = self._state.versions.get(self._model, 1)
            changed = newest if newest != version else None
            version = newest
            data = output[number - 1]
            if number == len(output):
                self._state.whole_at[self._request.request_id.decode()] = self._clock.now()
            yield StreamEvent(number, data, data, changed)

    async def _crash_if_so(self) -> None:
        """Crashes the engine shortly after the start of a request that does so.

        Raises:
            BrokenResponseError: the engine has crashed.
        """
        if self._crash is None:
            return
        await self._clock.sleep(CRASH_SECONDS)
        self._crash()
        raise BrokenResponseError("the server has crashed", connection_lost=True)


class ScriptedEngines:
    """All engines; implements `larkpost.gateway.servers.port.ServerPort`.

    Attributes:
        crashing: targets of requests that crash every engine that runs them.
        when_crashed: called with an engine that such a request has crashed.
        running: number of engines that have each request now.
        left_at: time at which an engine last had each request that none has now.
    """

    def __init__(self, clock: Clock, model: ModelName) -> None:
        self._clock = clock
        self._model = model
        self.engines: dict[InstanceId, ScriptedEngine] = {}
        self.connected: set[InstanceId] = set()
        self.output_events: int | None = None
        self.crashing: set[bytes] = set()
        self.when_crashed: Callable[[InstanceId], None] = lambda _: None
        self.running: Counter[str] = Counter()
        self.left_at: dict[str, float] = {}

    @asynccontextmanager
    async def send(
        self, instance: InstanceInfo, request: OutgoingRequest
    ) -> AsyncIterator[ScriptedResponse]:
        """Sends a request; see the port."""
        await self._clock.sleep(0.001)
        state = self.engines.get(instance.id)
        if state is None or state.down:
            raise NotRunError(NotRunReason.UNREACHABLE)
        if state.cold_known_from <= self._clock.now() < state.cold_until:
            state.cold_arrivals.append(self._clock.now())
        if state.running >= state.slots or self._clock.now() < state.loading_until:
            raise NotRunError(NotRunReason.FULL)
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        state.runs.append(request.request_id.decode())
        state.ranks[request.request_id.decode()] = request.priority
        self.running[request.request_id.decode()] += 1
        try:
            crash = functools.partial(self.crash, instance.id)
            yield ScriptedResponse(
                self._clock,
                state,
                request,
                self._model,
                self.output_events,
                crash if request.target in self.crashing else None,
            )
        finally:
            state.running -= 1
            self.running[request.request_id.decode()] -= 1
            self.left_at[request.request_id.decode()] = self._clock.now()

    def crash(self, engine: InstanceId) -> None:
        """Crashes an engine: all its requests break, and its port refuses connections."""
        state = self.engines[engine]
        if not state.down:
            state.down = True
            self.when_crashed(engine)

    def is_connected(self, instance: InstanceInfo) -> bool:
        """Returns whether the instance is one of `connected`; see the port."""
        return instance.id in self.connected

    async def probe(self, instance: InstanceInfo, timeout: float) -> PortState:
        """Checks whether an engine listens; see the port."""
        await self._clock.sleep(0.001)
        state = self.engines.get(instance.id)
        return PortState.DEAD if state is None or state.down else PortState.LISTENS

    async def report(self, instance: InstanceInfo, timeout: float) -> EngineReport | None:
        """Requests an engine's report; see the port."""
        await self._clock.sleep(0.001)
        state = self.engines.get(instance.id)
        if state is None or state.down:
            return None
        busy = self._clock.now() < state.loading_until
        return EngineReport(state.orders_accepted, busy, state.running, 0, dict(state.versions))

    async def order(
        self, instance: InstanceInfo, order: VersionOrder, timeout: float
    ) -> OrderOutcome:
        """Sends an order to an engine; see the port."""
        await self._clock.sleep(0.001)
        state = self.engines.get(instance.id)
        if state is None or state.down:
            return OrderOutcome.UNKNOWN
        now = self._clock.now()
        return handle_order(state, order, now)
