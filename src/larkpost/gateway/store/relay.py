"""Relays store calls through a peer while the store rejects this daemon.

The store may reject or drop single machines while it serves others. Relaying lets such a daemon
keep its batches and list their results without delay. If no peer reaches the store either, relaying
pauses for a cooldown. `store.peers` selects the peer.

Calls whose content must not leave the region are relayed only by peers in the region.

A write without a response is never resent here, although writes are conditional or idempotent; its
caller reads the outcome from the store.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from larkpost.common.clock import Clock
from larkpost.common.ids import Address
from larkpost.common.tasks import TaskSet
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.store.peers import MAX_PEER_ATTEMPTS, PeerDistances, PeerSelector, PeerStore
from larkpost.gateway.store.port import (
    RowPage,
    Store,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
    WriteResult,
)

PROBE_INTERVAL_SECONDS = 0.5
"""Interval at which a relayed daemon checks whether the store accepts direct calls again."""
MAX_PEER_CALL_SECONDS = 0.8
"""Timeout of a relayed call, not counting the time that a feed call may wait."""
PROBE_TABLE = "members"
PROBE_PART = "known"
"""Part that a probe reads; it always has rows, and every daemon reads it."""
REJECTED_OUTCOMES = (WriteOutcome.NOT_DONE, WriteOutcome.THROTTLED)
"""Outcomes that prove that a write was not applied."""

Response = TypeVar("Response")


class RelayedStore:
    """The store, reached directly or through a peer.

    Implements `larkpost.gateway.store.port.Store`.

    Args:
        direct: the store as this daemon reaches it directly.
        connect: returns the store as reached through the peer at an address.
    """

    def __init__(
        self,
        direct: Store,
        connect: Callable[[Address], PeerStore],
        clock: Clock,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.row_bytes = direct.row_bytes
        self._direct = direct
        self._log = log
        self._peers = PeerSelector(connect, clock, log, rng)
        self._is_region_bound: Callable[[str], bool] = lambda _: False

    def start(
        self,
        peers: Callable[[], PeerDistances],
        tasks: TaskSet,
        is_region_bound: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """Starts to probe for direct access while calls are relayed.

        Args:
            peers: returns the relay addresses and distances of the live peers.
            is_region_bound: returns whether a table's rows must not pass through another region.
        """
        self._is_region_bound = is_region_bound
        self._peers.set_distances(peers)
        tasks.every(PROBE_INTERVAL_SECONDS, self._probe, "store_relay")

    @property
    def is_relayed(self) -> bool:
        """Whether calls currently go through a peer."""
        return self._peers.current is not None

    def time(self) -> float | None:
        """Returns the estimated store time in seconds; see `Store.time`."""
        return self._timekeeper.time()

    def time_error(self) -> float:
        """Returns the maximum error of `time` in seconds; see `Store.time_error`."""
        return self._timekeeper.time_error()

    @property
    def _timekeeper(self) -> Store:
        """The peer that relays calls, if its responses have told the time; else the store."""
        peer = self._peers.current
        return peer if peer is not None and peer.time() is not None else self._direct

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Applies a transaction; see `Store.write`."""
        result = WriteResult(WriteOutcome.NOT_DONE)
        if self._peers.current is None:
            result = await self._direct.write(transaction, timeout)
        if result.outcome not in REJECTED_OUTCOMES:
            return result
        region_bound = any(self._is_region_bound(key.table) for key, _ in transaction.puts)
        for failed_attempts in range(MAX_PEER_ATTEMPTS):
            peer = self._peers.select(failed_attempts, region_bound=region_bound)
            if peer is None:
                return result
            result = await peer.write(transaction, min(timeout, MAX_PEER_CALL_SECONDS))
            if result.outcome is WriteOutcome.UNKNOWN:
                # The write is not resent: only the next call may use another peer.
                self._peers.drop(peer, unresponsive=True)
            if result.outcome not in REJECTED_OUTCOMES:
                return result
            self._peers.drop(peer)
        self._peers.start_cooldown()
        return result

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part; see `Store.read`."""
        return await self._call(
            lambda store: store.read(table, part, first, end, limit),
            region_bound=self._is_region_bound(table),
        )

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table; see `Store.changes`."""
        return await self._call(lambda store: store.changes(table, after, wait), wait)

    async def close(self) -> None:
        """Closes the connections to all peers."""
        await self._peers.close()

    async def _call(
        self,
        call: Callable[[Store], Awaitable[Response]],
        wait: float = 0.0,
        *,
        region_bound: bool = False,
    ) -> Response:
        """Makes a read call directly or through a peer.

        Args:
            wait: seconds that the store itself may wait before it responds.
            region_bound: whether the response must not pass through another region.

        Raises:
            HistoryLostError: the feed has lost the requested changes.
            StoreUnavailableError: neither the store nor any peer responded.
        """
        failure = StoreUnavailableError(
            "the store rejects this daemon, and no peer can relay the call"
        )
        if self._peers.current is None:
            try:
                return await call(self._direct)
            except StoreUnavailableError as error:
                failure = error
        return await self._call_by_peer(call, wait, failure, region_bound=region_bound)

    async def _call_by_peer(
        self,
        call: Callable[[Store], Awaitable[Response]],
        wait: float,
        failure: StoreUnavailableError,
        *,
        region_bound: bool,
    ) -> Response:
        """Makes a read call through a peer; see `_call`.

        Args:
            failure: the error to raise if no peer can make the call.
        """
        for failed_attempts in range(MAX_PEER_ATTEMPTS):
            peer = self._peers.select(failed_attempts, region_bound=region_bound)
            if peer is None:
                raise failure
            try:
                async with asyncio.timeout(wait + MAX_PEER_CALL_SECONDS):
                    return await call(peer)
            except StoreUnavailableError:
                self._peers.drop(peer)
            except TimeoutError:
                self._peers.drop(peer, unresponsive=True)
        self._peers.start_cooldown()
        raise failure

    async def _probe(self) -> None:
        """Returns to direct calls once the store accepts them again."""
        if self._peers.current is None:
            return
        try:
            await self._direct.read(PROBE_TABLE, PROBE_PART, limit=1)
        except StoreUnavailableError:
            return  # still rejected
        self._peers.current = None
        self._log.record(Event.STORE_RELAY, state="direct")
