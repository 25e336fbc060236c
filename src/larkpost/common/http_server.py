"""An HTTP server that runs in the process's event loop and leaves signal handling to the process.

Wraps uvicorn; the application handles the requests.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterator

import uvicorn

from larkpost.common.addresses import split_address
from larkpost.common.ids import Address

BACKLOG = 1024
"""Maximum number of connections waiting to be accepted."""
KEEP_ALIVE_SECONDS = 75
"""Idle connections are closed after this time."""
START_POLL_SECONDS = 0.005
"""Interval of the check whether the server has started: uvicorn has no event for it."""
CLOSE_SECONDS = 0.4
"""Maximum wait for responses in progress on close. Callers of `close` drain them beforehand, and a
process that takes too long to exit is killed."""


Application = Callable[[dict, Callable, Callable], Awaitable[None]]
"""An ASGI application, called with a scope, a receive function and a send function."""


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server without signal handlers that sleeps until it is closed.

    uvicorn's own main loop wakes ten times a second to renew a date header that is not sent here.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._closing = asyncio.Event()

    def close(self) -> None:
        """Requests shutdown of the server."""
        self.should_exit = True
        self._closing.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Waits until `close` is called."""
        await self._closing.wait()


class HttpServer:
    """Serves an application until it is closed.

    Args:
        protocol: the HTTP protocol class of a connection, or uvicorn's name for one.
        idle_seconds: idle time after which a connection is closed; a protocol class may override
            it.
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
        """The open client connections."""
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
        """Stops listening; closes connections once responses complete or after CLOSE_SECONDS."""
        self._server.close()
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit:
            # uvicorn exits the process if it cannot bind; the caller of `start` handles it instead.
            raise OSError(f"cannot listen on {self._address}") from None
