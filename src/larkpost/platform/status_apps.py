"""The applications behind the addresses that tell of this daemon: readiness and metrics."""

from collections.abc import Callable

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.observability.metrics import CONTENT_TYPE
from larkpost.platform import names
from larkpost.platform.ingress import Receive, Send


class ReadinessApp:
    """The application behind the address that tells whether this daemon takes clients."""

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Answers 200 if ready, else 503."""
        known = scope["path"] == names.READY_CALL
        status = (200 if self._lifecycle.ready else 503) if known else 404
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})


class MetricsApp:
    """The application behind the address for metrics.

    Args:
        read: returns the metrics as text.
        path: where they are.
    """

    def __init__(self, read: Callable[[], bytes], path: str) -> None:
        self._read = read
        self._path = path

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Answers with the metrics."""
        known = scope["path"] == self._path
        body = self._read() if known else b""
        headers = [
            (b"content-type", CONTENT_TYPE.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        status = 200 if known else 404
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})
