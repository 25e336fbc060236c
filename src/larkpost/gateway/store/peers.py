"""Which peer makes this daemon's calls to the store while the store turns this daemon away.

Owns the connections to peers, and which of them are not asked for a while. `store.relay` decides
when a peer is needed, and says whether it helped.
"""

import random
from collections.abc import Callable, Mapping
from typing import Protocol

from larkpost.common.clock import Clock
from larkpost.common.distance import Distance
from larkpost.common.ids import Address
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.store.port import Store

MAX_PEER_ATTEMPTS = 3
"""Peers that are asked for one call, the last of them a far one."""
PEER_COOLDOWN_SECONDS = 3.0
"""Seconds for which a peer that did not respond is not asked again: it may be frozen, or cut off as
well."""
NO_PEER_COOLDOWN_SECONDS = 0.7
"""Seconds for which no peer is asked after none of those asked could help."""

PeerDistances = Mapping[Address, Distance]
"""Where peers make calls for others, and how far each is."""


class PeerStore(Store, Protocol):
    """The store as a peer reaches it."""

    async def close(self) -> None:
        """Closes all connections to the peer."""


class PeerSelector:
    """The peers of one daemon, at most one of which makes its calls.

    Args:
        connect: returns the store by way of the peer at an address.
    """

    def __init__(
        self,
        connect: Callable[[Address], PeerStore],
        clock: Clock,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.current: PeerStore | None = None
        self._connect = connect
        self._clock = clock
        self._log = log
        self._chance = rng
        self._distances: Callable[[], PeerDistances] = dict
        self._connected: dict[Address, PeerStore] = {}
        self._current_distance = Distance.SAME_ZONE
        self._unresponsive_at: dict[Address, float] = {}
        self._cooldown_until = float("-inf")

    def set_distances(self, distances: Callable[[], PeerDistances]) -> None:
        """Sets who is asked where the other daemons are that are considered alive."""
        self._distances = distances

    def select(self, failed_attempts: int, *, region_bound: bool) -> PeerStore | None:
        """Returns the peer that makes this daemon's calls, a new one if there is none.

        Args:
            tried: peers that were asked in vain for this call.
            confined: whether the peer must be in this daemon's region.
        """
        if self.current is not None and is_allowed(
            self._current_distance, region_bound=region_bound
        ):
            return self.current
        usable = self._usable(region_bound=region_bound)
        if not usable or self._clock.now() < self._cooldown_until:
            return None
        self._current_distance = next_peer_distance(usable, failed_attempts)
        address = self._chance.choice(
            [name for name, distance in usable.items() if distance is self._current_distance]
        )
        if address not in self._connected:
            self._connected[address] = self._connect(address)
        self.current = self._connected[address]
        self._log.record(Event.STORE_RELAY, peer=address, state="relayed")
        return self.current

    def drop(self, peer: PeerStore, *, unresponsive: bool = False) -> None:
        """Drops a peer that did not help; a silent one is not asked again for a while."""
        if unresponsive:
            address = next(name for name, known in self._connected.items() if known is peer)
            self._unresponsive_at[address] = self._clock.now()
        if self.current is peer:
            self.current = None

    def start_cooldown(self) -> None:
        """Asks no peer for a while: none of those asked reaches the store."""
        self._cooldown_until = self._clock.now() + NO_PEER_COOLDOWN_SECONDS
        self._log.record(Event.STORE_RELAY, state="no_peer")

    async def close(self) -> None:
        """Closes the connections to all peers."""
        for peer in self._connected.values():
            await peer.close()
        self._connected.clear()

    def _usable(self, *, region_bound: bool) -> dict[Address, Distance]:
        """Returns the peers that may be asked now."""
        now = self._clock.now()
        return {
            address: distance
            for address, distance in self._distances().items()
            if now - self._unresponsive_at.get(address, float("-inf")) >= PEER_COOLDOWN_SECONDS
            and is_allowed(distance, region_bound=region_bound)
        }


def is_allowed(distance: Distance, *, region_bound: bool) -> bool:
    """Returns whether a peer so far away may make a call.

    Args:
        confined: whether the call's content must not leave this daemon's region.
    """
    return not (region_bound and distance is Distance.OTHER_REGION)


def next_peer_distance(usable: PeerDistances, failed_attempts: int) -> Distance:
    """Returns how far the next peer is to be: near ones first, the last one as far as there are.

    Whatever cuts this daemon off may cut its whole region off.

    Args:
        usable: the peers that may be asked; at least one.
        tried: peers that were asked in vain for the same call.
    """
    is_last = failed_attempts == MAX_PEER_ATTEMPTS - 1
    return max(usable.values()) if is_last else min(usable.values())
