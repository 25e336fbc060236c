"""Decodes server-sent events.

SSE libraries drop unknown fields, but the platform reports a change of the weight version in a
custom field, so the lines of an event are parsed here. aiohttp decodes the framing of the body.
"""

from collections.abc import Iterator

from larkpost.gateway.servers.port import StreamEvent
from larkpost.platform import names

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1_048_576
"""Maximum bytes of one event; far more than an event has, as a server in trouble may send bytes
without end."""


class EventDecoder:
    """Buffers bytes and yields complete events; takes time in proportion to the bytes."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self._searched = 0
        """Number of pending bytes that are known to contain no end of an event."""
        self._held_back = b""
        """A final CR, which may be half of a CRLF."""

    def feed(self, content: bytes) -> Iterator[StreamEvent]:
        """Adds bytes and yields the events that are complete.

        Raises:
            ValueError: an event has no valid id, or is too long.
        """
        self._append(content)
        start = 0
        while (end := self._pending.find(EVENT_END, max(start, self._searched))) >= 0:
            block = bytes(self._pending[start:end])
            start = end + len(EVENT_END)
            if block.strip():
                yield _read_event(block)
        del self._pending[:start]
        self._searched = max(0, len(self._pending) - 1)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError(f"an event has more than {MAX_EVENT_BYTES} bytes")

    def _append(self, content: bytes) -> None:
        """Adds bytes with CRLF replaced by LF."""
        content = self._held_back + content
        self._held_back = b"\r" if content.endswith(b"\r") else b""
        self._pending += content.removesuffix(b"\r").replace(b"\r\n", b"\n")

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
