"""Closes idle client connections while a daemon stops, so that clients turn to other daemons."""

import asyncio

from larkpost.gateway.blackboard.lifecycle import Lifecycle
from larkpost.platform.http_protocol import Listener

POLL_SECONDS = 0.05
"""Interval between two checks for idle connections."""
IDLE_SECONDS = 1.0
"""Idle time after which a connection is closed; a new connection has sent its request by then."""


async def close_idle_while_stopping(lifecycle: Lifecycle, listener: Listener) -> None:
    """Closes idle connections once long requests are refused; runs until cancelled.

    Earlier, the platform would lead the clients' new connections to this daemon again.
    """
    loop = asyncio.get_running_loop()
    while True:
        now = loop.time()
        if lifecycle.refuses_unbounded(now):
            listener.close_idle_since(now - IDLE_SECONDS)
        await asyncio.sleep(POLL_SECONDS)
