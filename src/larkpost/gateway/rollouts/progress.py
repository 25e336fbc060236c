"""Output of an item so far, and its runs at engines, each of which resumes the last one.

`codec.py` encodes the output for the next owner of the batch.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.configuration import Route
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.rollouts.model import Item, Result, ResultState

LONG_ITEM_EVENTS = 30
"""Number of events from which an item counts as long."""
MAX_OUTPUT_BYTES, MAX_OUTPUT_EVENTS = 524_288, 16_384
"""Maximum output of an item. A result must fit into one transaction of the store, and a server in
trouble may send events without end."""
FIRST_IDLE_LINE_SECONDS = 2.0
"""Time without progress after which an item is logged."""


class WaitsFor(StrEnum):
    """What has to happen next to an unfinished item."""

    ROUTE = "route"  # the configuration has no route for it
    PAUSE = "pause"  # before it queues again
    SLOT = "slot"  # at any engine that may take it
    OUTPUT = "output"  # of the engine that runs it
    CALL_ROUTE = "call_route"  # the configuration has no route for its reward call
    CALL_SLOT = "call_slot"  # at a server for its reward call
    SCORE = "score"  # of a server that runs its reward call


class DiscontinuityError(ValueError):
    """An event does not follow the last known one."""


class OversizedOutputError(ValueError):
    """An output has more bytes or events than a result may have."""


@dataclass(slots=True)
class Progress:
    """Output of an item so far.

    Attributes:
        events: data of the complete events in order.
        output_bytes: total length of the events' data.
        last_event: id of the last event; None if there is none.
        event_versions: weight version that produced each event.
        failed_runs: number of runs that the engine reported as failed.
        unprocessable_responses: number of responses that the item can never be processed.
        migrations: number of migrations to a faster engine.
        service_time_limit: maximum seconds per event of the item's next engine: the service time
            of the engine that it last migrated from; 0 for no limit: before a migration, or
            once no engine within the limit had a free slot.
        whole: whether the output is complete, so that no engine has to run the item again.
        failed_calls: number of reward calls for the output that the server reported as failed.
        lost_runs: number of runs in a row that lost their server before any output, or of its
            reward calls that got no complete response.
        lost_at: steady time of the last of them.
        waits_for: what has to happen next to the item.
        engine: server that has the item or its reward call now; None if none has.
        idle_since: steady time of its last output, or since which it waits for its first one.
        idle_line_after: seconds without progress after which the next line of the log is due.
    """

    item: Item
    events: list[bytes] = field(default_factory=list)
    last_event: int | None = None
    event_versions: list[int] = field(default_factory=list)
    failed_runs: int = 0
    unprocessable_responses: int = 0
    migrations: int = 0
    service_time_limit: float = 0.0
    whole: bool = False
    failed_calls: int = 0
    output_bytes: int = 0
    lost_runs: int = 0
    lost_at: float = float("-inf")
    waits_for: WaitsFor = WaitsFor.SLOT
    engine: InstanceId | None = None
    idle_since: float = float("inf")
    idle_line_after: float = FIRST_IDLE_LINE_SECONDS

    @property
    def is_long(self) -> bool:
        """Whether the item has already produced a long output."""
        return len(self.events) >= LONG_ITEM_EVENTS

    @property
    def versions(self) -> set[int]:
        """The weight versions that produced the output."""
        return set(self.event_versions)

    def take(self, event_id: int, data: bytes, version: int) -> None:
        """Adds an event to the output.

        Raises:
            DiscontinuityError: the event does not follow the last one.
            OversizedOutputError: the output would be too large for a result.
        """
        is_oversized = self.output_bytes + len(data) > MAX_OUTPUT_BYTES
        if is_oversized or len(self.events) >= MAX_OUTPUT_EVENTS:
            raise OversizedOutputError("the output is larger than a result may be")
        if self.last_event is not None and event_id != self.last_event + 1:
            raise DiscontinuityError(f"event {event_id} does not follow event {self.last_event}")
        if self.last_event is None and event_id not in (0, 1):
            raise DiscontinuityError(f"the first event is {event_id}, not 0 or 1")
        self.events.append(data)
        self.output_bytes += len(data)
        self.last_event = event_id
        self.event_versions.append(version)

    def record_activity(self, now: float) -> None:
        """Records that the item begins to wait or makes progress at a steady time."""
        self.idle_since = now
        self.idle_line_after = FIRST_IDLE_LINE_SECONDS

    def record_lost_run(self, now: float) -> None:
        """Counts a run of the item or of its reward call that lost its server."""
        self.lost_runs += 1
        self.lost_at = now

    def wait_for(self, waits_for: WaitsFor, engine: InstanceId | None = None) -> None:
        """Records what has to happen next, and which server has the item."""
        self.waits_for = waits_for
        self.engine = engine

    def restart(self) -> None:
        """Discards the output, so that the next run starts over."""
        self.events.clear()
        self.output_bytes = 0
        self.event_versions.clear()
        self.last_event = None
        self.whole = False
        self.failed_calls = 0

    def complete(self) -> None:
        """Marks the output as complete.

        Raises:
            ValueError: there is no output, or it is not valid UTF-8.
        """
        if not self.events:
            raise ValueError("the output has no events")
        self._text()
        self.whole = True

    def result(self, score: str | None = None) -> Result:
        """Returns the result of a complete output, with its score if it has one.

        Raises:
            ValueError: the output is not valid UTF-8.
        """
        versions = tuple(sorted(self.versions))
        return Result(
            self.item.id, ResultState.DONE, self._text(), versions, score, self.item.group
        )

    def _text(self) -> str:
        return b"\n".join(self.events).decode()


@dataclass(frozen=True, slots=True)
class ItemRun:
    """One run of an item at an engine, which resumes after its last event.

    Attributes:
        engine: engine where the item has a slot.
        route: route of the item when the run started.
        progress: output of the item so far, to which the run adds.
    """

    engine: InstanceInfo
    route: Route
    progress: Progress

    @property
    def item(self) -> Item:
        """The item that runs."""
        return self.progress.item
