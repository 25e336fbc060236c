"""A TCP proxy between two processes that can inject link faults."""

import asyncio
import contextlib
from enum import StrEnum

from larkpost.common.addresses import split_address
from larkpost.common.ids import Address
from larkpost.rehearsal.processes import free_address
from tests.connections import ConnectionServer

READ_BYTES = 65536
NOISE = bytes(range(192, 256))
DELAY_SECONDS = 0.15
UPSTREAM_POLL_SECONDS = 0.05
"""Interval of the check whether the upstream server is listening again."""


class LinkFault(StrEnum):
    """Faults that a proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"  # forwards bytes late
    RESET = "reset"  # aborts open and new connections
    SILENT = "silent"  # withholds all bytes; the connections end with the fault
    ONE_WAY = "one_way"  # forwards requests, withholds the server's bytes
    EXTRA = "extra"  # forwards the server's bytes twice
    GARBLE = "garble"  # replaces the server's bytes with noise, then aborts
    OLD_SILENT = "old_silent"  # discards all bytes of the open connections permanently
    HALF = "half"  # forwards half of the next read per direction, then withholds


class FaultProxy:
    """Listens at its own address and forwards connections to another one.

    Args:
        is_mirror: whether it stops listening while the upstream port is closed.
    """

    def __init__(self, upstream: Address, *, is_mirror: bool = False) -> None:
        self._is_mirror = is_mirror
        self._is_dead = False
        self._return: asyncio.Task | None = None
        self.address = free_address()
        self.fault = LinkFault.NONE
        self.upstream = upstream
        self._writers: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self._silent_up_to = 0
        """Number, from 1, of the last connection whose bytes are discarded permanently."""
        self._healed = asyncio.Event()
        self._healed.set()
        self._server = ConnectionServer(self._serve)

    async def start(self) -> None:
        """Starts listening."""
        host, port = split_address(self.address)
        await self._server.start(host, port)

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._return is not None:
            self._return.cancel()
        self.reset_connections()
        await self._server.close()

    def set_fault(self, fault: LinkFault) -> None:
        """Starts a fault, or ends it with `LinkFault.NONE`.

        Connections with withheld bytes are aborted when the fault ends: their bytes are lost, and
        none arrives twice or out of order.
        """
        held_back = self.fault in (LinkFault.SILENT, LinkFault.ONE_WAY, LinkFault.HALF)
        self.fault = fault
        if fault is LinkFault.OLD_SILENT:
            self._silent_up_to = self.connections
        if fault is LinkFault.RESET or held_back:
            self.reset_connections()
        if fault is LinkFault.NONE:
            self._healed.set()
        else:
            self._healed.clear()

    async def _serve(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(client_writer)
        self.connections += 1
        number = self.connections
        try:
            if self.fault is LinkFault.SILENT:
                await self._healed.wait()
                return
            if self.fault is LinkFault.RESET:
                return
            host, port = split_address(self.upstream)
            server_reader, server_writer = await asyncio.open_connection(host, port)
            self._writers.add(server_writer)
            try:
                to_server = self._forward(number, client_reader, server_writer, from_server=False)
                to_client = self._forward(number, server_reader, client_writer, from_server=True)
                await asyncio.gather(to_server, to_client)
            finally:
                self._drop(server_writer)
        except OSError:
            # The server is down, or a fault aborted the connection.
            await self._stop_if_upstream_is_down()
        finally:
            self._drop(client_writer)

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_server: bool,
    ) -> None:
        while content := await reader.read(READ_BYTES):
            if number <= self._silent_up_to:
                continue
            fault = self.fault
            if fault is LinkFault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            if fault is LinkFault.HALF:
                content = content[: len(content) // 2]
            if fault is LinkFault.EXTRA and from_server:
                content += content
            if fault is LinkFault.GARBLE and from_server:
                content = NOISE
            held = fault is LinkFault.SILENT or (fault is LinkFault.ONE_WAY and from_server)
            if not held:
                writer.write(content)
                await writer.drain()
            if fault is LinkFault.GARBLE and from_server:
                raise ConnectionResetError("the answer was garbled")
            if held or fault is LinkFault.HALF:
                await self._healed.wait()
                raise ConnectionResetError("bytes were held back")
        if from_server:
            await self._stop_if_upstream_is_down()
        if number > self._silent_up_to:
            with contextlib.suppress(OSError):
                writer.write_eof()

    async def _stop_if_upstream_is_down(self) -> None:
        """Stops listening if the upstream port is closed, before the client connection ends."""
        if not self._is_mirror or await self._is_upstream_there() or self._is_dead:
            return  # many connections may end at once
        self._is_dead = True
        self._server.stop_listening()
        self._return = asyncio.create_task(self._listen_again())

    async def _listen_again(self) -> None:
        """Starts listening again once the upstream port is open."""
        while not await self._is_upstream_there():
            await asyncio.sleep(UPSTREAM_POLL_SECONDS)
        await self.start()
        self._is_dead = False

    async def _is_upstream_there(self) -> bool:
        try:
            _, writer = await asyncio.open_connection(*split_address(self.upstream))
        except OSError:
            return False
        writer.transport.abort()
        return True

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        writer.transport.abort()

    def reset_connections(self) -> None:
        """Aborts all connections."""
        for writer in list(self._writers):
            writer.transport.abort()
