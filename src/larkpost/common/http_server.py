"""An HTTP listener inside the process's one event loop; signals stay with the process.

Owns the library's server; what is served is the application's.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterator

import uvicorn

from larkpost.common.addresses import split_address
from larkpost.common.ids import Address

BACKLOG = 1024
"""Connections that may wait to be accepted."""
KEEP_ALIVE_SECONDS = 75
"""How long a connection may be idle."""
START_POLL_SECONDS = 0.005
"""Between two checks whether the server has started: the library has no event for it."""
CLOSE_SECONDS = 0.4
"""Longest wait for responses under way once the server is to end: whoever closes it has waited for
them before, and a process that stays too long is killed."""


Application = Callable[[dict, Callable, Callable], Awaitable[None]]
"""An ASGI application: called with a scope, and with functions to receive and to send."""


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the process, and sleeps until it is closed.

    The library's own server wakes ten times a second to renew a header that is not sent here.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._closing = asyncio.Event()

    def close(self) -> None:
        """Asks the server to end."""
        self.should_exit = True
        self._closing.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Waits until the server is asked to end."""
        await self._closing.wait()


class HttpServer:
    """Serves an application until it is closed.

    Args:
        protocol: the class that speaks HTTP on a connection, or the library's name for one.
        idle_seconds: how long a connection may be idle; a protocol class may set its own.
    """

    def __init__(
        self,
        app: Application,
        address: Address,
        protocol: type[asyncio.Protocol] | str = "httptools",
        idle_seconds: int = KEEP_ALIVE_SECONDS,
    ) -> None:
        self._address = address
        host, port = split_address(address)
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=BACKLOG,
            timeout_keep_alive=idle_seconds,
            timeout_graceful_shutdown=CLOSE_SECONDS,
        )
        logging.getLogger("uvicorn.error").disabled = True
        self._server = EmbeddedServer(config)
        self._task: asyncio.Task | None = None

    @property
    def connections(self) -> set[asyncio.Protocol]:
        """The connections of clients."""
        return self._server.server_state.connections

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: the address cannot be bound.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError(f"cannot listen on {self._address}")
            await asyncio.sleep(START_POLL_SECONDS)

    async def close(self) -> None:
        """Stops listening, and closes connections once their responses are complete, or late."""
        self._server.close()
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit:
            # The library exits the process if it cannot bind; that is the caller's decision.
            raise OSError(f"cannot listen on {self._address}") from None
