"""Makes calls to the store for other daemons that the store turns away.

The documents are the store's own and pass unchanged in both directions, so a daemon speaks to a
peer as it speaks to the store.
"""

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
"""Largest body of a call: half as much again as the largest transaction that the store takes, so
that each call that the store would take passes."""
RESERVED_BYTES_PER_CALL = 300_000
"""Reserved for one call and its response; most are far smaller, and few are made at once."""
NOT_FOUND = 404
TOO_LARGE = 413
UNAVAILABLE = 503


class PeerStoreApp:
    """The application behind the address at which peers ask for calls to the store."""

    def __init__(self, store: HttpStore, budget: MemoryBudget | None = None) -> None:
        self._store = store
        self._budget = budget if budget is not None else MemoryBudget()

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Makes the call, unless the store turns this daemon away as well."""
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
        if self._store.is_failing:
            return UNAVAILABLE, b""
        query = scope["query_string"].decode("latin-1")
        target = f"{scope['path']}?{query}" if query else scope["path"]
        return await self._store.relay_call(scope["method"], target, body or None)


async def _read_body(receive: Receive) -> bytes | None:
    """Returns a request's whole body, or None if it is too large or broke off."""
    try:
        return await asgi.read_body(receive, MAX_BODY_BYTES)
    except ClientDisconnectedError:
        return None  # nobody reads the status that is sent instead
