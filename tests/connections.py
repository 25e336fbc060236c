"""A TCP server for tests that ends its connections on close without a traceback."""

import asyncio
from collections.abc import Awaitable, Callable

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ConnectionServer:
    """Serves connections until it is closed.

    Args:
        handler: serves one connection.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._is_closing = False

    async def __aenter__(self) -> "ConnectionServer":
        return self

    async def __aexit__(self, *_) -> None:
        await self.close()

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop_listening(self) -> None:
        """Stops listening until `start` is called again; open connections stay."""
        self._server.close()

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        self._is_closing = True
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._handler(reader, writer)
        except asyncio.CancelledError:
            if not self._is_closing:
                raise
        finally:
            self._tasks.discard(task)
            if self._is_closing:
                writer.transport.abort()
            else:
                writer.close()
