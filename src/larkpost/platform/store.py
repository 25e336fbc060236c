"""The adapter to the store: rows, transactions and the change feed over HTTP.

Keeps the connections to one address, an estimate of the store's clock, and whether the last call
failed. The document formats are in `larkpost.platform.store_documents`.
"""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import aiohttp
import orjson
from yarl import URL

from larkpost.common.ids import Address
from larkpost.common.limited_body import read_limited
from larkpost.common.steady_time import steady_seconds
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.metrics import Count, Metrics, Timing
from larkpost.gateway.store.port import (
    HistoryLostError,
    RowPage,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
    WriteResult,
)
from larkpost.platform import names
from larkpost.platform.connections import make_session
from larkpost.platform.dead_connections import DeadConnectionDetector, UpstreamKind
from larkpost.platform.store_clock import StoreClock
from larkpost.platform.store_documents import (
    HISTORY_LOST,
    OK,
    READABLE_STATUSES,
    changes_query,
    read_page,
    rows_query,
    transaction_document,
    write_result,
)
from larkpost.platform.watched_connection import CallOptions, DeadConnectionError

READ_TIMEOUT_SECONDS = 1.5
"""Timeout of a read call, in addition to its hold time."""
RELAYED_LONG_POLL_SECONDS = 1.0
"""Maximum hold time of a feed call that is relayed for a peer."""
RELAYED_TIMEOUT_SECONDS = 3.0
"""Timeout of a call that is relayed for a peer, including its hold time."""
NOT_SENT_STATUS = 503
"""Status returned to a peer if its call was definitely not sent."""
NO_RESPONSE_STATUS = 504
"""Status returned to a peer if its call got no response; the call may have been executed."""
PROBE_TARGET = f"{names.READ_PATH}?table=members&part=proof&limit=1"
"""A read that returns no rows; shows whether the store responds on a new connection."""
CALL_LABELS = {names.READ_PATH: "read", names.FEED_PATH: "feed"}
"""Metric labels of the read calls."""
CALL_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError, KeyError)
"""Errors that a call may raise, including those for malformed responses."""
MAX_BODY_BYTES = 4_194_304
"""Maximum body of a response of the store or of a peer; a page of rows has 1 MB of values."""
MAX_FEED_BODY_BYTES = 16_777_216
"""The same of a feed call, whose changes come in one response. All bodies that a daemon reads at a
time must fit into its memory."""
CONNECT_FAILURES = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised if no connection could be made, so the call was definitely not sent."""
SUCCESSFUL_OUTCOMES = ("answered", "410", WriteOutcome.DONE, WriteOutcome.CONFLICT)
"""Outcomes of calls that the store executed, or rejected for a reason in the call itself."""


@dataclass(frozen=True, slots=True)
class StoreCall:
    """One call to the store.

    Attributes:
        target: path and query.
        body: a document; None for a read call, which is safe to repeat.
        hold_time: seconds for which the store may hold the call (long poll).
    """

    method: str
    target: str
    body: bytes | None = None
    hold_time: float = 0.0

    @property
    def max_body_bytes(self) -> int:
        """The maximum body of the response."""
        is_feed = self.target.startswith(names.FEED_PATH)
        return MAX_FEED_BODY_BYTES if is_feed else MAX_BODY_BYTES

    @property
    def headers(self) -> dict[str, str]:
        """The headers of the call."""
        return {"Content-Type": "application/json"} if self.body is not None else {}


class HttpStore:
    """The platform's store; implements `larkpost.gateway.store.port.Store`.

    Args:
        address: address of the store, or of a peer that relays calls.
        row_bytes: maximum size of a row's value in bytes.
        metrics: counts and times the calls.
        log: records dead connections.
        upstream: what the address belongs to: the store, or a peer that relays the calls.

    Attributes:
        is_failing: whether the last call got no response or was refused.
    """

    def __init__(
        self,
        address: Address,
        row_bytes: int,
        metrics: Metrics | None = None,
        log: EventLog | None = None,
        upstream: UpstreamKind = UpstreamKind.STORE,
    ) -> None:
        self.row_bytes = row_bytes
        self._base_url = f"http://{address}"
        self._metrics = metrics or Metrics()
        self._session = make_session(DeadConnectionDetector(upstream, self._metrics, log))
        self._probe_task: asyncio.Task | None = None
        self._clock = StoreClock()
        self.is_failing = False

    def set_address(self, address: Address) -> None:
        """Changes the address for all later calls."""
        self._base_url = f"http://{address}"

    async def close(self) -> None:
        """Closes all connections."""
        if self._probe_task is not None:
            self._probe_task.cancel()
        await self._session.close()

    def time(self) -> float | None:
        """Returns the estimated time of the store's monotonic clock; see `Store.time`."""
        return self._clock.now()

    def time_error(self) -> float:
        """Returns the maximum error of `time` in seconds; see `Store.time_error`."""
        return self._clock.error()

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Applies a transaction; see `Store.write`."""
        body = orjson.dumps(transaction_document(transaction))
        started = steady_seconds()
        try:
            call = StoreCall("POST", names.TRANSACTION_PATH, body)
            result = write_result(*await self._read_document(call, timeout))
        except CONNECT_FAILURES:
            result = WriteResult(WriteOutcome.NOT_DONE)
        except CALL_FAILURES:
            result = WriteResult(WriteOutcome.UNKNOWN)
        self._record_outcome("write", result.outcome, started)
        return result

    async def relay_call(self, method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        """Relays a call for a peer.

        Returns:
            The store's status and body, unchanged. Without a response, `NOT_SENT_STATUS` or
            `NO_RESPONSE_STATUS` and an empty body.
        """
        hold_time = RELAYED_LONG_POLL_SECONDS if target.startswith(names.FEED_PATH) else 0.0
        try:
            call = StoreCall(method, target, body, hold_time)
            return await self._exchange(call, RELAYED_TIMEOUT_SECONDS)
        except CONNECT_FAILURES:
            return NOT_SENT_STATUS, b""  # tells the peer that the call was not made
        except CALL_FAILURES:
            return NO_RESPONSE_STATUS, b""  # tells the peer that nobody answered

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part; see `Store.read`."""
        query = urlencode(rows_query(table, part, first, end, limit))
        call = StoreCall("GET", f"{names.READ_PATH}?{query}")
        return read_page(*await self._get(names.READ_PATH, call, READ_TIMEOUT_SECONDS))

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table; see `Store.changes`."""
        query = urlencode(changes_query(table, after, wait))
        call = StoreCall("GET", f"{names.FEED_PATH}?{query}", hold_time=wait)
        status, document = await self._get(names.FEED_PATH, call, wait + READ_TIMEOUT_SECONDS)
        if status == HISTORY_LOST:
            raise HistoryLostError(f"the feed of {table} has no changes after {after}")
        return read_page(status, document)

    async def _get(self, path: str, call: StoreCall, timeout: float) -> tuple[int, Any]:
        """Makes a read call and returns the status and the document; None if there is none.

        Raises:
            StoreUnavailableError: there was no response, or it cannot be parsed.
        """
        label = CALL_LABELS[path]
        started = steady_seconds()
        try:
            status, document = await self._read_document(call, timeout)
        except CALL_FAILURES as error:
            self._record_outcome(label, "unanswered", started)
            raise StoreUnavailableError(f"{path}: {type(error).__name__}: {error}") from None
        self._record_outcome(label, "answered" if status == OK else str(status), started)
        return status, document

    def _record_outcome(self, label: str, outcome: str, started: float) -> None:
        self.is_failing = outcome not in SUCCESSFUL_OUTCOMES
        self._metrics.count(Count.STORE_CALLS, label, outcome)
        self._metrics.observe(Timing.STORE_CALL, steady_seconds() - started, label)

    async def _read_document(self, call: StoreCall, timeout: float) -> tuple[int, Any]:
        """Makes a call and returns the status and the document; None if there is none."""
        sent = steady_seconds()
        status, content = await self._exchange(call, timeout)
        if status not in READABLE_STATUSES:
            return status, None
        document = orjson.loads(content)
        self._clock.record(document, sent)
        return status, document

    async def _exchange(self, call: StoreCall, timeout: float) -> tuple[int, bytes]:
        """Makes a call and returns the status and body; retries a read on a dead connection once.

        Args:
            timeout: seconds for both attempts together.

        Raises:
            DeadConnectionError: the connection is dead; a write may have been executed.
        """
        async with asyncio.timeout(timeout):
            try:
                return await self._exchange_once(call)
            except DeadConnectionError:
                if call.body is not None:
                    raise
            return await self._exchange_once(call)

    async def _exchange_once(self, call: StoreCall) -> tuple[int, bytes]:
        url = URL(self._base_url + call.target, encoded=True)
        start_probe = self._start_probe if call.body is not None else None
        options = CallOptions(
            hold_time=call.hold_time, aborts_if_dead=True, start_probe=start_probe
        )
        async with self._session.request(
            call.method, url, data=call.body, headers=call.headers, timeout=options
        ) as response:
            return response.status, await read_limited(response, call.max_body_bytes)

    def _start_probe(self) -> None:
        """Starts a probe on a new connection unless one is running.

        A successful probe shows that the older connections are dead and the store is not slow.
        """
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.create_task(self._probe_store())

    async def _probe_store(self) -> None:
        url = URL(f"{self._base_url}{PROBE_TARGET}", encoded=True)
        with contextlib.suppress(*CALL_FAILURES):  # a failed probe proves nothing
            async with (
                asyncio.timeout(READ_TIMEOUT_SECONDS),
                self._session.get(url) as response,
            ):
                await read_limited(response, MAX_BODY_BYTES)
