"""Selects the peer that relays this daemon's store calls while the store rejects the daemon.

Owns the connections to peers and their cooldowns. `store.relay` decides when a peer is needed and
reports whether it could reach the store.
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
"""Maximum number of peers tried for one call; the last one is the farthest available."""
PEER_COOLDOWN_SECONDS = 3.0
"""Time for which a peer is skipped after it did not respond; it may be frozen or disconnected."""
NO_PEER_COOLDOWN_SECONDS = 0.7
"""Time for which no new peer is selected after all attempts of a call have failed."""

PeerDistances = Mapping[Address, Distance]
"""Relay address of each peer and its distance from this daemon."""


class PeerStore(Store, Protocol):
    """The store as reached through a peer."""

    async def close(self) -> None:
        """Closes all connections to the peer."""


class PeerSelector:
    """Selects the one peer that relays a daemon's store calls.

    Args:
        connect: returns the store as reached through the peer at an address.
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
        self._rng = rng
        self._distances: Callable[[], PeerDistances] = dict
        self._connected: dict[Address, PeerStore] = {}
        self._current_distance = Distance.SAME_ZONE
        self._unresponsive_at: dict[Address, float] = {}
        self._cooldown_until = float("-inf")

    def set_distances(self, distances: Callable[[], PeerDistances]) -> None:
        """Sets the function that returns the live peers and their distances."""
        self._distances = distances

    def select(self, failed_attempts: int, *, region_bound: bool) -> PeerStore | None:
        """Returns the current peer, or selects a new one; None if no peer is available.

        Args:
            failed_attempts: number of peers that have already failed for this call.
            region_bound: whether the peer must be in this daemon's region.
        """
        if self.current is not None and is_allowed(
            self._current_distance, region_bound=region_bound
        ):
            return self.current
        usable = self._usable(region_bound=region_bound)
        if not usable or self._clock.now() < self._cooldown_until:
            return None
        self._current_distance = next_peer_distance(usable, failed_attempts)
        address = self._rng.choice(
            [peer for peer, distance in usable.items() if distance is self._current_distance]
        )
        if address not in self._connected:
            self._connected[address] = self._connect(address)
        self.current = self._connected[address]
        self._log.record(Event.STORE_RELAY, peer=address, state="relayed")
        return self.current

    def drop(self, peer: PeerStore, *, unresponsive: bool = False) -> None:
        """Stops using a peer that failed; an unresponsive one also gets a cooldown."""
        if unresponsive:
            address = next(key for key, known in self._connected.items() if known is peer)
            self._unresponsive_at[address] = self._clock.now()
        if self.current is peer:
            self.current = None

    def start_cooldown(self) -> None:
        """Selects no new peer for `NO_PEER_COOLDOWN_SECONDS`, after all those tried have failed."""
        self._cooldown_until = self._clock.now() + NO_PEER_COOLDOWN_SECONDS
        self._log.record(Event.STORE_RELAY, state="no_peer")

    async def close(self) -> None:
        """Closes the connections to all peers."""
        for peer in self._connected.values():
            await peer.close()
        self._connected.clear()

    def _usable(self, *, region_bound: bool) -> dict[Address, Distance]:
        """Returns the peers that may be tried now."""
        now = self._clock.now()
        return {
            address: distance
            for address, distance in self._distances().items()
            if now - self._unresponsive_at.get(address, float("-inf")) >= PEER_COOLDOWN_SECONDS
            and is_allowed(distance, region_bound=region_bound)
        }


def is_allowed(distance: Distance, *, region_bound: bool) -> bool:
    """Returns whether a peer at a distance may relay a call.

    Args:
        region_bound: whether the call's content must not leave this daemon's region.
    """
    return not (region_bound and distance is Distance.OTHER_REGION)


def next_peer_distance(usable: PeerDistances, failed_attempts: int) -> Distance:
    """Returns the distance at which the next peer is selected.

    It is the smallest one, but the largest for the last attempt, because the whole region may have
    lost the store.

    Args:
        usable: the peers that may be tried; at least one.
        failed_attempts: number of peers that have already failed for this call.
    """
    is_last = failed_attempts == MAX_PEER_ATTEMPTS - 1
    return max(usable.values()) if is_last else min(usable.values())
