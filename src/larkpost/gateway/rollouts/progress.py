"""An item's output so far, and its runs at engines, each continued where the last one broke off.

Owns the output of one item until it has a result. `codec.py` writes it for the next owner.
"""

from dataclasses import dataclass, field

from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.rollouts.model import Item, Result, ResultState

LONG_ITEM_EVENTS = 30
"""Events after which an item has shown itself long; three in four items have fewer."""


class DiscontinuityError(ValueError):
    """An event does not follow the last one that is known."""


@dataclass(slots=True)
class Progress:
    """What is known of an item's output so far.

    Attributes:
        events: data of the whole events in order.
        output_bytes: their length together.
        last_event: id of the last one, or None.
        event_versions: the weight version that made each of them.
        failed_runs: runs that the engine itself reported as failed.
        impossible_responses: responses that say the item can never be done.
        moves: how often it was moved to a faster engine.
        pace_left: pace of the engine that it was last moved away from, which bounds that of the
            next one; 0 if it was not moved, or no engine as fast had a place.
        whole: whether the output is complete, so that no engine has to run the item again.
        failed_calls: reward calls of the whole output that the server itself reported as failed.
    """

    item: Item
    events: list[bytes] = field(default_factory=list)
    last_event: int | None = None
    event_versions: list[int] = field(default_factory=list)
    failed_runs: int = 0
    unprocessable_responses: int = 0
    migrations: int = 0
    previous_service_time: float = 0.0
    whole: bool = False
    failed_calls: int = 0
    output_bytes: int = 0

    @property
    def is_long(self) -> bool:
        """Whether the item has shown itself long; such items are what a step waits for."""
        return len(self.events) >= LONG_ITEM_EVENTS

    @property
    def versions(self) -> set[int]:
        """The weight versions that made an event of the output."""
        return set(self.event_versions)

    def take(self, event_id: int, data: bytes, version: int) -> None:
        """Adds an event.

        Raises:
            DiscontinuityError: it does not follow the last one.
        """
        if self.last_event is not None and event_id != self.last_event + 1:
            raise DiscontinuityError(f"event {event_id} after {self.last_event}")
        if self.last_event is None and event_id not in (0, 1):
            raise DiscontinuityError(f"event {event_id} at the start")
        self.events.append(data)
        self.output_bytes += len(data)
        self.last_event = event_id
        self.event_versions.append(version)

    def restart(self) -> None:
        """Forgets all output, so that the next run starts anew."""
        self.events.clear()
        self.output_bytes = 0
        self.event_versions.clear()
        self.last_event = None
        self.whole = False
        self.failed_calls = 0

    def complete(self) -> None:
        """Records that the output is whole.

        Raises:
            ValueError: there is no output, or it is not text.
        """
        if not self.events:
            raise ValueError("an output without events")
        self._text()
        self.whole = True

    def result(self, score: str | None = None) -> Result:
        """Returns the result of a whole output with its score, if it has one.

        Raises:
            ValueError: the output is not text.
        """
        versions = tuple(sorted(self.versions))
        return Result(
            self.item.id, ResultState.DONE, self._text(), versions, score, self.item.group
        )

    def _text(self) -> str:
        return b"\n".join(self.events).decode()


@dataclass(frozen=True, slots=True)
class ItemRun:
    """One run of an item at an engine, from where its output is.

    Attributes:
        engine: where the item has its place.
        route: the item's, when the run began.
        progress: the item with its output so far; the run adds to it.
    """

    engine: InstanceInfo
    route: Route
    progress: Progress

    @property
    def item(self) -> Item:
        """The item that runs."""
        return self.progress.item
