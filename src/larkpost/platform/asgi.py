"""The calls between the HTTP library and the applications of this folder.

The library calls an application with a scope, and with a function to receive the request's body and
one to send the response. What several applications do with these stands here.
"""

from collections.abc import Awaitable, Callable, Iterable

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class ClientLeftError(Exception):
    """The client closed its connection before the response was whole."""


async def read_body(receive: Receive, limit: int) -> bytes | None:
    """Returns a request's whole body, or None if it is larger than ``limit`` bytes.

    Raises:
        ClientLeftError: the client closed its connection.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientLeftError
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def send_head(send: Send, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Sends a response's status and headers."""
    await send({"type": "http.response.start", "status": status, "headers": list(headers)})


async def send_whole(
    send: Send, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends a whole response."""
    await send_head(send, status, headers)
    await send({"type": "http.response.body", "body": body})
