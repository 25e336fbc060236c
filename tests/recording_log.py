"""An event log for tests that keeps all events in memory."""

from larkpost.gateway.observability.eventlog import Event, EventLog


class RecordingLog(EventLog):
    """Keeps the events of one daemon."""

    def __init__(self) -> None:
        super().__init__("daemon")
        self.events: list[tuple[Event, dict]] = []

    def record(self, event: Event, **fields) -> None:
        """Stores an event."""
        self.events.append((event, fields))
