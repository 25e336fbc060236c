"""What a stand-in engine is, makes and does with an order of weights.

`larkpost.platform.stand_in.server_app` serves it over HTTP; the tests' engines in memory share it.
"""

from dataclasses import dataclass, field

from larkpost.common.hashing import hash64
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.servers.port import OrderOutcome, VersionOrder

MIN_EVENTS = 4
MAX_EXTRA_EVENTS = 12
"""A request's output has `MIN_EVENTS` events and up to `SPREAD_EVENTS` - 1 more."""
LOAD_SECONDS = 0.9
"""A load of weights, in seconds. Short, so that a demonstration has several."""


def expected_output(request_id: str, events: int | None = None) -> list[bytes]:
    """Returns the events' data that every engine makes for a request.

    Args:
        events: how many; None for a number that hangs on the request.
    """
    count = MIN_EVENTS + hash64(request_id) % MAX_EXTRA_EVENTS if events is None else events
    return [f"{request_id}-{number}".encode() for number in range(1, count + 1)]


@dataclass(slots=True)
class EngineState:
    """One engine.

    Attributes:
        slots: requests that it runs at once.
        event_seconds: time it takes for an event.
        running: requests that run now.
        versions: weight version per model that it holds.
        highest_token: the highest fencing token of all orders so far.
        orders_taken: how many orders it has carried out or begun.
        loading_until: when the load under way ends, in seconds.
        runs: ids of all requests it has run.
        orders: (holder, fencing token, model, version, time) of each order that arrived.
    """

    slots: int = 8
    event_seconds: float = 0.03
    running: int = 0
    versions: dict[ModelName, int] = field(default_factory=dict)
    highest_token: int = 0
    orders_accepted: int = 0
    loading_until: float = 0.0
    runs: list[str] = field(default_factory=list)
    orders: list[tuple[str, int, ModelName, int, float]] = field(default_factory=list)


def take_order(state: EngineState, order: VersionOrder, now: float) -> OrderOutcome:
    """Judges an order as an engine does, and begins the load if it is to."""
    state.orders.append((order.holder, order.fencing_token, order.model, order.version, now))
    if order.fencing_token < state.highest_token:
        return OrderOutcome.FENCED
    state.highest_token = order.fencing_token
    if order.expected_orders != state.orders_accepted or now < state.loading_until:
        return OrderOutcome.BUSY
    if state.versions.get(order.model, 0) >= order.version:
        return OrderOutcome.HOLDS
    state.orders_accepted += 1
    state.loading_until = now + LOAD_SECONDS
    state.versions[order.model] = order.version
    return OrderOutcome.TAKEN
