"""The state of a fake engine, its output, and its handling of weight orders.

`larkpost.platform.stand_in.server_app` serves it over HTTP; in-memory engines of the tests use it
as well.
"""

from dataclasses import dataclass, field

from larkpost.common.hashing import hash64
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.servers.port import OrderOutcome, VersionOrder

MIN_EVENTS = 4
MAX_EXTRA_EVENTS = 12
"""A request's output has `MIN_EVENTS` events and up to `MAX_EXTRA_EVENTS` - 1 more."""
LOAD_SECONDS = 0.9
"""Duration of a weight load; short, so that a demo has several."""


def expected_output(request_id: str, events: int | None = None) -> list[bytes]:
    """Returns the event data that every engine generates for a request.

    Args:
        events: number of events; None to derive it from the request id.
    """
    count = MIN_EVENTS + hash64(request_id) % MAX_EXTRA_EVENTS if events is None else events
    return [f"{request_id}-{number}".encode() for number in range(1, count + 1)]


@dataclass(slots=True)
class EngineState:
    """One engine.

    Attributes:
        slots: maximum number of concurrent requests.
        event_seconds: seconds per event.
        running: number of running requests.
        versions: loaded weight version per model.
        highest_token: highest fencing token of all orders so far.
        orders_accepted: number of orders accepted so far.
        loading_until: time at which the current load ends, in seconds.
        runs: ids of all requests that have run.
        orders: (holder, fencing token, model, version, time) of each order received.
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


def handle_order(state: EngineState, order: VersionOrder, now: float) -> OrderOutcome:
    """Validates an order as an engine does, and starts the load if it is accepted."""
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
