"""ASGI applications for readiness and metrics."""

from collections.abc import Callable

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.metrics import CONTENT_TYPE
from larkpost.platform import names
from larkpost.platform.asgi import Receive, Send, send_whole

OK = 200
NOT_FOUND = 404
NOT_READY = 503


class ReadinessApp:
    """Reports whether this daemon is ready for clients."""

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Responds with 200 if ready, else with 503."""
        status = NOT_FOUND
        if scope["path"] == names.READY_PATH:
            status = OK if self._lifecycle.ready else NOT_READY
        await send_whole(send, status, [(b"content-length", b"0")], b"")


class MetricsApp:
    """Serves the metrics.

    Args:
        read: returns the encoded metrics.
        path: path at which they are served.
    """

    def __init__(self, read: Callable[[], bytes], path: str) -> None:
        self._read = read
        self._path = path

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Responds with the metrics."""
        is_known = scope["path"] == self._path
        body = self._read() if is_known else b""
        headers = [
            (b"content-type", CONTENT_TYPE.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await send_whole(send, OK if is_known else NOT_FOUND, headers, body)
