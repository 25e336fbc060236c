"""The store adapter: rows, transactions and the feed over HTTP."""

import asyncio
import base64
import contextlib
from typing import Any
from urllib.parse import urlencode

import aiohttp
import orjson
from yarl import URL

from larkpost.common.ids import Address
from larkpost.common.steady_time import steady_seconds
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Count, Metrics, Timing
from larkpost.gateway.store.port import (
    HistoryLostError,
    Row,
    RowKey,
    RowPage,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
    WriteResult,
)
from larkpost.platform import names
from larkpost.platform.connections import make_session
from larkpost.platform.silence import Peer, SilenceWatch
from larkpost.platform.watched_connection import CallLimits, SilentConnectionError

READ_TIMEOUT_SECONDS = 1.5
FEED_WAIT_SECONDS = 1.0
"""Most time that the feed is held for a peer."""
CLOCK_DRIFT = 0.001
"""Seconds by which two steady clocks may drift apart in a second; far more than clocks do."""
PASS_ON_SECONDS = 3.0
"""Most time for a call that is made for a peer; its feed waits for a second of it."""
PROOF_TARGET = f"{names.READ_CALL}?table=members&part=proof&limit=1"
"""A read of no rows, made to see whether the store answers on a new connection."""
CALL_KINDS = {names.READ_CALL: "read", names.FEED_CALL: "feed"}
CALL_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError, KeyError)
"""Everything a call may end with besides an answer; malformed answers included."""
NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
ANSWERED = ("answered", "410", WriteOutcome.DONE, WriteOutcome.CONFLICT)


class HttpStore:
    """The platform's store; implements `larkpost.gateway.store.port.Store`.

    Args:
        address: where the store listens.
        row_bytes: most bytes in a row's value.
        metrics: counts and times the calls.
        log: notes connections that go silent.
        peer: whether a daemon makes the calls for this one.

    Attributes:
        is_failing: whether the last call got no answer, or a refusal.
    """

    def __init__(
        self,
        address: Address,
        row_bytes: int,
        metrics: Metrics | None = None,
        log: EventLog | None = None,
        peer: Peer = Peer.STORE,
    ) -> None:
        self.row_bytes = row_bytes
        self._base = f"http://{address}"
        self._metrics = metrics or Metrics()
        self._session = make_session(SilenceWatch(peer, self._metrics, log))
        self._proof: asyncio.Task | None = None
        self._clock_offset: float | None = None
        self._offset_error = 0.0
        self._offset_at = 0.0
        self.is_failing = False

    def use_address(self, address: Address) -> None:
        """Uses another address for all later calls."""
        self._base = f"http://{address}"

    async def close(self) -> None:
        """Closes all connections."""
        if self._proof is not None:
            self._proof.cancel()
        await self._session.close()

    def time(self) -> float | None:
        """Returns the store's steady clock in seconds, as estimated here."""
        if self._clock_offset is None:
            return None
        return steady_seconds() + self._clock_offset

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Carries out a transaction; see the port."""
        body = orjson.dumps(_transaction_document(transaction))
        started = steady_seconds()
        try:
            status, answer = await self._call("POST", names.TRANSACTION_CALL, body, timeout)
            result = _write_result(status, answer)
        except NOT_SENT:
            result = WriteResult(WriteOutcome.NOT_DONE)
        except CALL_FAILURES:
            result = WriteResult(WriteOutcome.UNKNOWN)
        self._note("write", result.outcome, started)
        return result

    async def pass_on(self, method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        """Makes a peer's call and returns the store's status and document as they came.

        Returns:
            503 if the call was certainly not made, 504 if the store did not answer.
        """
        held = FEED_WAIT_SECONDS if target.startswith(names.FEED_CALL) else 0.0
        try:
            return await self._exchange(method, target, body, PASS_ON_SECONDS, held)
        except NOT_SENT:
            return 503, b""  # the peer is told that the call was not made
        except CALL_FAILURES:
            return 504, b""  # the peer is told that nobody answered

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part; see the port."""
        query = {"table": table, "part": part}
        if first:
            query["from"] = first
        if end:
            query["target-version"] = end
        if limit:
            query["limit"] = str(limit)
        status, answer = await self._get(names.READ_CALL, query, READ_TIMEOUT_SECONDS)
        return _page(status, answer)

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table; see the port."""
        query = {"table": table, "after-rev": str(after), "wait-ms": str(int(wait * 1000))}
        limit = wait + READ_TIMEOUT_SECONDS
        status, answer = await self._get(names.FEED_CALL, query, limit, held=wait)
        if status == 410:
            raise HistoryLostError(f"the feed of {table} has no changes after {after}")
        return _page(status, answer)

    async def _get(
        self, call: str, query: dict[str, str], timeout: float, held: float = 0.0
    ) -> tuple[int, Any]:
        started = steady_seconds()
        try:
            answer = await self._call("GET", f"{call}?{urlencode(query)}", None, timeout, held)
        except CALL_FAILURES as error:
            self._note(CALL_KINDS[call], "unanswered", started)
            raise StoreUnavailableError(f"{call}: {type(error).__name__}: {error}") from None
        outcome = "answered" if answer[0] == 200 else str(answer[0])
        self._note(CALL_KINDS[call], outcome, started)
        return answer

    def _note(self, kind: str, outcome: str, started: float) -> None:
        self.is_failing = outcome not in ANSWERED
        self._metrics.count(Count.STORE_CALLS, kind, outcome)
        self._metrics.observe(Timing.STORE_CALL, steady_seconds() - started, kind)

    async def _call(
        self, method: str, target: str, body: bytes | None, timeout: float, held: float = 0.0
    ) -> tuple[int, Any]:
        sent = steady_seconds()
        status, content = await self._exchange(method, target, body, timeout, held)
        if status not in (200, 412):
            return status, None
        answer = orjson.loads(content)
        self._record_time(answer, sent)
        return status, answer

    async def _exchange(
        self, method: str, target: str, body: bytes | None, timeout: float, held: float
    ) -> tuple[int, bytes]:
        """Makes a call, a reading one again if its connection has gone silent.

        Args:
            held: seconds that the store may hold the call.

        Raises:
            SilentConnectionError: a writing call's connection has gone silent; it may be done.
        """
        async with asyncio.timeout(timeout):
            try:
                return await self._exchange_once(method, target, body, held)
            except SilentConnectionError:
                if body is not None:
                    raise
            return await self._exchange_once(method, target, body, held)

    async def _exchange_once(
        self, method: str, target: str, body: bytes | None, held: float
    ) -> tuple[int, bytes]:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        url = URL(self._base + target, encoded=True)
        prove = self._begin_proof if body is not None else None
        limits = CallLimits(hold_time=held, ends_if_silent=True, prove=prove)
        async with self._session.request(
            method, url, data=body, headers=headers, timeout=limits
        ) as response:
            return response.status, await response.read()

    def _begin_proof(self) -> None:
        """Asks on a new connection, unless that is being done: an answer shows old ones silent."""
        if self._proof is None or self._proof.done():
            self._proof = asyncio.create_task(self._ask_for_proof())

    async def _ask_for_proof(self) -> None:
        url = URL(f"{self._base}{PROOF_TARGET}", encoded=True)
        with contextlib.suppress(*CALL_FAILURES):  # no answer is no proof
            async with (
                asyncio.timeout(READ_TIMEOUT_SECONDS),
                self._session.get(url) as response,
            ):
                await response.read()

    def _record_time(self, answer: Any, sent: float) -> None:
        """Takes the store's clock from an answer, unless a quicker one told it better.

        The store read its clock some time between the call and its answer. Both clocks are
        steady, so what a quick call has told holds on, but for their drift; only an answer that
        contradicts it shows that it no longer does.
        """
        now_ms = answer.get("now_ms") if isinstance(answer, dict) else None
        if not isinstance(now_ms, int | float):
            return
        received = steady_seconds()
        error = (received - sent) / 2
        offset = now_ms / 1000 - (sent + received) / 2
        known_error = self._offset_error + CLOCK_DRIFT * (received - self._offset_at)
        known = self._clock_offset
        is_better = known is None or error <= known_error
        if is_better or abs(offset - known) > error + known_error:
            self._clock_offset, self._offset_error, self._offset_at = offset, error, received


def _write_result(status: int, answer: Any) -> WriteResult:
    if status == 200:
        return WriteResult(WriteOutcome.DONE, int(answer["ver"]))
    if status == 412:
        rows = tuple(_row(row, 0) for row in answer.get("rows", ()))
        return WriteResult(WriteOutcome.CONFLICT, rows=rows)
    if status == 429:
        return WriteResult(WriteOutcome.THROTTLED)
    if status == 503 or 400 <= status < 500:
        return WriteResult(WriteOutcome.NOT_DONE)
    return WriteResult(WriteOutcome.UNKNOWN)


def _page(status: int, answer: Any) -> RowPage:
    if status != 200:
        raise StoreUnavailableError(f"the store answered {status}")
    try:
        version = int(answer["ver"])
        rows = tuple(_row(row, version) for row in answer["rows"])
        return RowPage(rows, bool(answer.get("more", False)), version)
    except (KeyError, TypeError, ValueError) as error:
        raise StoreUnavailableError(f"the store's answer cannot be read: {error}") from None


def _row(document: dict[str, Any], default_version: int) -> Row:
    key = RowKey(document["table"], document.get("part", ""), document["key"])
    removed = bool(document.get("gone", False))
    value = b"" if removed else base64.b64decode(document.get("value") or "")
    return Row(key, value, int(document.get("ver", default_version)), removed)


def _key_document(key: RowKey) -> dict[str, Any]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _transaction_document(transaction: Transaction) -> dict[str, Any]:
    return {
        "expected": [
            _key_document(key) | {"ver": version} for key, version in transaction.conditions
        ],
        "put": [
            _key_document(key) | {"value": base64.b64encode(value).decode()}
            for key, value in transaction.puts
        ],
        "remove": [_key_document(key) for key in transaction.removals],
    }
