"""Relays store calls for peer daemons that cannot reach the store.

Requests and responses pass unchanged in both directions, so a daemon calls a peer in the same way
as the store.
"""

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.gateway.memory.budget import MemoryBudget, MemoryBudgetError, MemoryPurpose
from larkpost.platform import asgi, names
from larkpost.platform.asgi import ClientDisconnectedError, Receive, Send
from larkpost.platform.store import HttpStore

RELAYED_CALLS = {
    ("POST", names.TRANSACTION_PATH),
    ("GET", names.READ_PATH),
    ("GET", names.FEED_PATH),
}
MAX_BODY_BYTES = 1_500_000
"""Maximum body of a call; above the largest transaction that the store accepts."""
RESERVED_BYTES_PER_CALL = 300_000
"""Memory reserved for one call and its response; most need far less."""
NOT_FOUND = 404
TOO_LARGE = 413
UNAVAILABLE = 503


class PeerStoreApp:
    """The ASGI application that relays store calls for peers."""

    def __init__(
        self,
        store: HttpStore,
        budget: MemoryBudget | None = None,
        lifecycle: Lifecycle | None = None,
    ) -> None:
        self._store = store
        self._lifecycle = lifecycle if lifecycle is not None else Lifecycle()
        self._budget = budget if budget is not None else MemoryBudget()

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Relays the call, unless this daemon's own calls fail as well or its stop ends."""
        try:
            with self._budget.reserve(MemoryPurpose.RELAYED_CALLS, RESERVED_BYTES_PER_CALL, "peer"):
                await self._serve(scope, receive, send)
        except MemoryBudgetError:
            await asgi.send_whole(send, UNAVAILABLE, [(b"content-length", b"0")], b"")

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        status, content = await self._relay(scope, receive)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
        ]
        await asgi.send_whole(send, status, headers, content)

    async def _relay(self, scope: dict, receive: Receive) -> tuple[int, bytes]:
        """Returns the status and the body for the peer."""
        if (scope["method"], scope["path"]) not in RELAYED_CALLS:
            return NOT_FOUND, b""
        body = await _read_body(receive)
        if body is None:
            return TOO_LARGE, b""
        if self._store.is_failing or self._lifecycle.has_expired:
            return UNAVAILABLE, b""
        query = scope["query_string"].decode("latin-1")
        target = f"{scope['path']}?{query}" if query else scope["path"]
        return await self._store.relay_call(scope["method"], target, body or None)


async def _read_body(receive: Receive) -> bytes | None:
    """Returns a request's whole body, or None if it is too large or the peer disconnected."""
    try:
        return await asgi.read_body(receive, MAX_BODY_BYTES)
    except ClientDisconnectedError:
        return None  # nobody reads the response
