"""A store whose calls another daemon makes while the store turns this one away.

The store may refuse or drop single machines while it serves the others. A daemon that it refuses
asks a peer to make its calls, so that its batches stay with it and their results are listed at
once. If no peer reaches the store either, the store is away for all, and nothing is gained: peers
are left alone for a while then.

Near peers are asked first. The last of those asked is a far one: whatever cuts this daemon off may
cut its whole region off. Calls whose content must not leave the region go to near peers only.

Every write that larkpost makes is conditional or harmless when it is done twice, but a write
without an answer is never sent again from here: its caller reads what became of it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol, TypeVar

from larkpost.common.clock import Clock
from larkpost.common.ids import Address
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.regions import Distance
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.store.port import (
    RowPage,
    Store,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
    WriteResult,
)

PROBE_INTERVAL_SECONDS = 0.5
"""How often a relayed daemon looks whether the store takes its own calls again."""
NO_PEER_PAUSE_SECONDS = 0.7
"""How long peers are left alone after none of those asked could help."""
PEERS_ASKED = 3
MOST_PEER_SECONDS = 0.8
"""Most time for a call by way of a peer, besides the time that a feed may wait."""
PEER_REST_SECONDS = 3.0
"""How long a peer that did not answer is not asked again: it may be frozen, or cut off as well."""
PROBE_TABLE = "members"
PROBE_PART = "known"
REFUSED = (WriteOutcome.NOT_DONE, WriteOutcome.THROTTLED)

Answer = TypeVar("Answer")


class PeerStore(Store, Protocol):
    """The store as a peer reaches it."""

    async def close(self) -> None:
        """Closes all connections to the peer."""


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
        chance: random.Random,
    ) -> None:
        self.row_bytes = direct.row_bytes
        self._direct = direct
        self._connect = connect
        self._clock = clock
        self._log = log
        self._chance = chance
        self._peers: Callable[[], Mapping[Address, Distance]] = dict
        self._is_confined: Callable[[str], bool] = lambda _: False
        self._connected: dict[Address, PeerStore] = {}
        self._peer: PeerStore | None = None
        self._peer_distance = Distance.SAME_ZONE
        self._silent_at: dict[Address, float] = {}
        self._no_peer_until = float("-inf")

    def start(
        self,
        peers: Callable[[], Mapping[Address, Distance]],
        tasks: TaskSet,
        is_confined: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """Starts to look for the store's return whenever calls are relayed.

        Args:
            peers: returns the addresses of the other daemons held alive, and how far they are.
            is_confined: tells whether rows of a table must not pass through another region.
        """
        self._is_confined = is_confined
        self._peers = peers
        tasks.every(PROBE_INTERVAL_SECONDS, self._probe, "store_relay")

    @property
    def is_relayed(self) -> bool:
        """Whether a peer makes this daemon's calls at the moment."""
        return self._peer is not None

    def time(self) -> float | None:
        """Returns the store's steady clock in seconds; see the port."""
        relayed = self._peer.time() if self._peer is not None else None
        return relayed if relayed is not None else self._direct.time()

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Carries out a transaction; see the port."""
        result = WriteResult(WriteOutcome.NOT_DONE)
        if self._peer is None:
            result = await self._direct.write(transaction, timeout)
        if result.outcome not in REFUSED:
            return result
        confined = any(self._is_confined(key.table) for key, _ in transaction.puts)
        for tried in range(PEERS_ASKED):
            peer = self._find_peer(tried, confined=confined)
            if peer is None:
                return result
            result = await peer.write(transaction, min(timeout, MOST_PEER_SECONDS))
            if result.outcome is WriteOutcome.UNKNOWN:
                self._drop_peer(peer, silent=True)  # the next call goes elsewhere, this one not
            if result.outcome not in REFUSED:
                return result
            self._drop_peer(peer)
        self._leave_peers_alone()
        return result

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part; see the port."""
        return await self._ask(
            lambda store: store.read(table, part, first, end, limit),
            confined=self._is_confined(table),
        )

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table; see the port."""
        return await self._ask(lambda store: store.changes(table, after, wait), wait)

    async def close(self) -> None:
        """Closes the connections to all peers."""
        for peer in self._connected.values():
            await peer.close()
        self._connected.clear()

    async def _ask(
        self,
        call: Callable[[Store], Awaitable[Answer]],
        wait: float = 0.0,
        *,
        confined: bool = False,
    ) -> Answer:
        """Makes a reading call directly or by way of a peer.

        Args:
            wait: seconds that the store itself may wait before it answers.
            confined: whether the answer must not pass through another region.

        Raises:
            HistoryLostError: as the store answered.
            StoreUnavailableError: neither answered.
        """
        failure = StoreUnavailableError("the store turns this daemon away, and no peer helps")
        if self._peer is None:
            try:
                return await call(self._direct)
            except StoreUnavailableError as error:
                failure = error
        for tried in range(PEERS_ASKED):
            peer = self._find_peer(tried, confined=confined)
            if peer is None:
                raise failure
            try:
                async with asyncio.timeout(wait + MOST_PEER_SECONDS):
                    return await call(peer)
            except StoreUnavailableError:
                self._drop_peer(peer)
            except TimeoutError:
                self._drop_peer(peer, silent=True)
        self._leave_peers_alone()
        raise failure

    def _find_peer(self, tried: int, *, confined: bool) -> PeerStore | None:
        """Returns the peer that makes this daemon's calls, a new one if there is none.

        Args:
            tried: peers that were asked in vain for this call.
            confined: whether the peer must be in this daemon's region.
        """
        if self._peer is not None and not (
            confined and self._peer_distance is Distance.OTHER_REGION
        ):
            return self._peer
        now = self._clock.now()
        rested = {
            address: distance
            for address, distance in self._peers().items()
            if now - self._silent_at.get(address, float("-inf")) >= PEER_REST_SECONDS
            and not (confined and distance is Distance.OTHER_REGION)
        }
        if not rested or now < self._no_peer_until:
            return None
        is_last = tried == PEERS_ASKED - 1
        self._peer_distance = max(rested.values()) if is_last else min(rested.values())
        address = self._chance.choice(
            [name for name, distance in rested.items() if distance is self._peer_distance]
        )
        if address not in self._connected:
            self._connected[address] = self._connect(address)
        self._peer = self._connected[address]
        self._log.record(Event.STORE_RELAY, peer=address, state="relayed")
        return self._peer

    def _drop_peer(self, peer: PeerStore, *, silent: bool = False) -> None:
        """Leaves a peer that did not help; a silent one is not asked again for a while."""
        if silent:
            address = next(name for name, known in self._connected.items() if known is peer)
            self._silent_at[address] = self._clock.now()
        if self._peer is peer:
            self._peer = None

    def _leave_peers_alone(self) -> None:
        """Asks no peer for a while: none of those asked reaches the store."""
        self._no_peer_until = self._clock.now() + NO_PEER_PAUSE_SECONDS
        self._log.record(Event.STORE_RELAY, state="no_peer")

    async def _probe(self) -> None:
        """Goes back to direct calls once the store takes them again."""
        if self._peer is None:
            return
        try:
            await self._direct.read(PROBE_TABLE, PROBE_PART, limit=1)
        except StoreUnavailableError:
            return  # the store still turns this daemon away
        self._peer = None
        self._log.record(Event.STORE_RELAY, state="direct")
