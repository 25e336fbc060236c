"""Helpers for the ASGI applications of this package."""

from collections.abc import Awaitable, Callable, Iterable

from larkpost.gateway.memory.budget import Reservation

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class ClientDisconnectedError(Exception):
    """The client closed its connection before the response was complete."""


async def read_body(
    receive: Receive, limit: int, reservation: Reservation | None = None
) -> bytes | bytearray | None:
    """Returns a request's whole body, or None if it is larger than ``limit`` bytes.

    Parts are appended to one buffer, so that a large body is not held twice.

    Args:
        reservation: memory reserved for the body; grows if the body is larger. None to reserve
            nothing.

    Raises:
        ClientDisconnectedError: the client closed its connection.
        MemoryBudgetError: there is not enough memory for the rest of the body.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        part = message.get("body", b"")
        size = len(body) + len(part)
        if size > limit:
            return None
        if reservation is not None and size > reservation.size:
            reservation.grow(size - reservation.size)
        is_last = not message.get("more_body", False)
        if is_last and not body:
            return part
        body += part
        if is_last:
            return body


async def send_head(send: Send, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Sends a response's status and headers."""
    await send({"type": "http.response.start", "status": status, "headers": list(headers)})


async def send_whole(
    send: Send, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends a complete response."""
    await send_head(send, status, headers)
    await send({"type": "http.response.body", "body": body})
