"""An HTTP listener inside the process's one event loop; signals stay with the process."""

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from larkpost.addresses import split_address
from larkpost.ids import Address

BACKLOG = 1024
KEEP_ALIVE_SECONDS = 75


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves an application until it is closed."""

    def __init__(self, app: ASGIApp, address: Address) -> None:
        host, port = split_address(address)
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
        )
        self._server = EmbeddedServer(config)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: the address cannot be bound.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError(f"cannot listen on {self._server.config.host}")
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Stops listening and waits for the answers under way."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit:
            # uvicorn exits the process if it cannot bind; that is the caller's decision.
            raise OSError(
                f"cannot listen on {self._server.config.host}:{self._server.config.port}"
            ) from None
