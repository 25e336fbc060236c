"""Decodes server-sent events.

SSE libraries drop unknown fields, but the platform reports a change of the weight version in a
custom field, so the lines of an event are parsed here. aiohttp decodes the framing of the body.
"""

from collections.abc import Iterator

from larkpost.gateway.servers.port import StreamEvent
from larkpost.platform import names

EVENT_END = b"\n\n"


class EventDecoder:
    """Buffers bytes and yields complete events."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, content: bytes) -> Iterator[StreamEvent]:
        """Adds bytes and yields the events that are complete.

        Raises:
            ValueError: an event has no valid id.
        """
        # Normalizes the whole buffer, as a CRLF may be split between two chunks.
        self._pending = (self._pending + content).replace(b"\r\n", b"\n")
        while EVENT_END in self._pending:
            block, self._pending = self._pending.split(EVENT_END, 1)
            if block.strip():
                yield _read_event(block)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._pending.strip())


def _read_event(block: bytes) -> StreamEvent:
    event_id: int | None = None
    version: int | None = None
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = int(value)
        elif name == b"data":
            data.append(value)
        elif name.lower() == names.WEIGHT_VERSIONS:
            version = int(value)
    if event_id is None:
        raise ValueError("an event has no id")
    return StreamEvent(event_id, b"\n".join(data), block + EVENT_END, version)
