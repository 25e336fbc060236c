"""Tests that the HTTP engine adapter detects faulty servers and what their failures prove."""

import asyncio
import unittest

import aiohttp

from larkpost.common.ids import Address, AttemptId, RequestId
from larkpost.rehearsal.processes import free_address
from larkpost.standalone.engines.http_adapter import HttpEnginePort
from larkpost.standalone.engines.port import (
    EngineError,
    EngineNotSentError,
    EngineOutcomeUnknownError,
    EngineRefusedError,
    GenerateRequest,
)
from tests.connections import ConnectionServer

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = GenerateRequest(RequestId("r"), AttemptId("a"), "prompt", 8, 0)


def http_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def refusal(attempt: str, ran: str) -> bytes:
    body = f'{{"attempt":"{attempt}","ran":{ran},"error":"full"}}'.encode()
    return b"HTTP/1.1 429 Too Many\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class EngineAdapterTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the adapter; each serves one scripted response."""

    async def generate(self, answer: bytes, may_send=lambda: True, hold: float = 0.0):
        """Serves one response, closes the connection, and returns the chunks and the error."""
        self.bodies: list[bytes] = []

        async def serve(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                self.bodies.append(await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 0.5))
            except (TimeoutError, asyncio.IncompleteReadError):
                self.bodies.append(b"")
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(hold)
            writer.close()

        address = free_address()
        host, port = address.split(":")
        server = ConnectionServer(serve)
        await server.start(host, int(port))
        chunks = []
        error = None
        async with server, aiohttp.ClientSession() as session:
            port_under_test = HttpEnginePort(session)
            try:
                async for chunk in port_under_test.generate(address, REQUEST, 0.5, may_send):
                    chunks.append(chunk)
            except EngineError as caught:
                error = caught
        return chunks, error

    async def test_refused_connection_proves_that_nothing_ran(self):
        async with aiohttp.ClientSession() as session:
            port = HttpEnginePort(session)
            with self.assertRaises(EngineNotSentError):
                async for _ in port.generate(free_address(), REQUEST, 0.5, lambda: True):
                    pass

    async def test_permission_withdrawn_after_connecting_sends_no_body(self):
        _chunks, error = await self.generate(HEAD, may_send=lambda: False)
        self.assertIsInstance(error, EngineNotSentError)
        self.assertEqual([body for body in self.bodies if b"prompt" in body], [])

    async def test_connection_closed_before_the_answer_leaves_the_outcome_unknown(self):
        _chunks, error = await self.generate(b"")
        self.assertIsInstance(error, EngineOutcomeUnknownError)

    async def test_connection_closed_within_a_chunk_leaves_the_outcome_unknown(self):
        cut = HEAD + http_chunk(
            b'data: {"attempt":"a","offset":0,"tokens":[1],"version":1,"total":null}\n\n'
        )
        chunks, error = await self.generate(cut + b"40\r\ndata: {")
        self.assertEqual([chunk.tokens for chunk in chunks], [(1,)])
        self.assertIsInstance(error, EngineOutcomeUnknownError)

    async def test_engine_that_sends_nothing_times_out_with_unknown_outcome(self):
        _chunks, error = await self.generate(HEAD, hold=2.0)
        self.assertIsInstance(error, EngineOutcomeUnknownError)

    async def test_refusal_that_names_the_attempt_proves_that_it_did_not_run(self):
        _chunks, error = await self.generate(refusal("a", "false"))
        self.assertIsInstance(error, EngineRefusedError)

    async def test_refusal_of_another_attempt_proves_nothing(self):
        _chunks, error = await self.generate(refusal("other", "false"))
        self.assertIsInstance(error, EngineOutcomeUnknownError)

    async def test_chunks_that_arrive_together_are_joined_within_one_version(self):
        events = [(0, 1, 7, "null"), (1, 2, 7, "null"), (2, 3, 8, "null"), (3, 4, 8, "4")]
        data = b"".join(
            b'data: {"attempt":"a","offset":%d,"tokens":[%d],"version":%d,"total":%s}\n\n'
            % (offset, token, version, total.encode())
            for offset, token, version, total in events
        )
        chunks, error = await self.generate(HEAD + http_chunk(data) + b"0\r\n\r\n")
        self.assertIsNone(error)
        self.assertEqual([c.tokens for c in chunks], [(1, 2), (3, 4)])
        self.assertEqual([(c.version, c.total) for c in chunks], [(7, None), (8, 4)])

    async def test_invalid_chunk_leaves_the_outcome_unknown(self):
        _chunks, error = await self.generate(HEAD + http_chunk(b'data: {"tokens": 3}\n\n'))
        self.assertIsInstance(error, EngineOutcomeUnknownError)

    async def test_invalid_report_is_rejected(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")
            writer.close()

        address = free_address()
        host, port = address.split(":")
        server = ConnectionServer(serve)
        await server.start(host, int(port))
        async with server, aiohttp.ClientSession() as session:
            with self.assertRaises(EngineOutcomeUnknownError):
                await HttpEnginePort(session).report(Address(address), 1.0)
