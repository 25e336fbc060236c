"""A store whose calls another daemon makes while the store turns this one away.

The store may refuse or drop single machines while it serves the others. A daemon that it refuses
asks a peer to make its calls, so that its batches stay with it and their results are listed at
once. If no peer reaches the store either, the store is away for all, and nothing is gained: peers
are left alone for a while then. `store.peers` chooses the peer.

Calls whose content must not leave the region go to near peers only.

Every write that larkpost makes is conditional or harmless when it is done twice, but a write
without a response is never sent again from here: its caller reads what became of it.
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
"""Seconds between two checks of a relayed daemon whether the store takes its own calls again."""
MAX_PEER_CALL_SECONDS = 0.8
"""Most seconds for a call by way of a peer, besides the time that a feed may wait."""
PROBE_TABLE = "members"
PROBE_PART = "known"
"""What a probe reads: a row that is there, in a part that every daemon reads."""
REFUSED_OUTCOMES = (WriteOutcome.NOT_DONE, WriteOutcome.THROTTLED)
"""Outcomes that prove that the store did not do a write."""

Response = TypeVar("Response")


class RelayedStore:
    """The store, reached directly or by way of a peer.

    Implements `larkpost.gateway.store.port.Store`.

    Args:
        direct: the store as this daemon reaches it.
        connect: returns the store by way of the peer at an address.
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
        """Starts to check for the store's return whenever calls are relayed.

        Args:
            peers: returns where the other daemons that are considered alive make calls for others.
            is_confined: returns whether rows of a table must not pass through another region.
        """
        self._is_region_bound = is_region_bound
        self._peers.set_distances(peers)
        tasks.every(PROBE_INTERVAL_SECONDS, self._probe, "store_relay")

    @property
    def is_relayed(self) -> bool:
        """Whether a peer makes this daemon's calls at the moment."""
        return self._peers.current is not None

    def time(self) -> float | None:
        """Returns the store's steady clock in seconds; see the port."""
        relayed = self._peers.current.time() if self._peers.current is not None else None
        return relayed if relayed is not None else self._direct.time()

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Carries out a transaction; see the port."""
        result = WriteResult(WriteOutcome.NOT_DONE)
        if self._peers.current is None:
            result = await self._direct.write(transaction, timeout)
        if result.outcome not in REFUSED_OUTCOMES:
            return result
        region_bound = any(self._is_region_bound(key.table) for key, _ in transaction.puts)
        for failed_attempts in range(MAX_PEER_ATTEMPTS):
            peer = self._peers.select(failed_attempts, region_bound=region_bound)
            if peer is None:
                return result
            result = await peer.write(transaction, min(timeout, MAX_PEER_CALL_SECONDS))
            if result.outcome is WriteOutcome.UNKNOWN:
                self._peers.drop(
                    peer, unresponsive=True
                )  # the next call goes elsewhere, this one not
            if result.outcome not in REFUSED_OUTCOMES:
                return result
            self._peers.drop(peer)
        self._peers.start_cooldown()
        return result

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part; see the port."""
        return await self._call(
            lambda store: store.read(table, part, first, end, limit),
            region_bound=self._is_region_bound(table),
        )

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table; see the port."""
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
        """Makes a reading call directly or by way of a peer.

        Args:
            wait: seconds that the store itself may wait before it responds.
            confined: whether the response must not pass through another region.

        Raises:
            HistoryLostError: as the store says.
            StoreUnavailableError: neither responded.
        """
        failure = StoreUnavailableError("the store turns this daemon away, and no peer helps")
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
        """Makes a reading call by way of a peer; see `_call`.

        Args:
            failure: what to raise if no peer helps.
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
        """Goes back to direct calls once the store takes them again."""
        if self._peers.current is None:
            return
        try:
            await self._direct.read(PROBE_TABLE, PROBE_PART, limit=1)
        except StoreUnavailableError:
            return  # the store still turns this daemon away
        self._peers.current = None
        self._log.record(Event.STORE_RELAY, state="direct")
