"""Leases: the right to act on one subject, with a fencing token.

A subject is a duty and its object, such as the orders of one engine. Its lease is a row in the
store with the holder and the store time before which no other holder may take it. The row's version
is the fencing token. A lease is taken for one action and is usable only briefly. That time starts
before the call that takes it and is measured on the steady clock, so a holder that was paused does
not use the lease. A token is not used again after a refusal.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import orjson

from larkpost.common.clock import Clock
from larkpost.common.ids import DaemonId
from larkpost.gateway.store.port import (
    ABSENT,
    RowKey,
    Store,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
)

LEASE_TABLE = "leases"
"""Table of the store; its parts are the duties, its keys the subjects."""
LEASE_USE_SECONDS = 0.5
"""How long a lease may be used after the call that takes it was sent."""
LEASE_MARGIN_SECONDS = 0.5
"""Margin for the travel time of an action."""
WRITE_TIMEOUT_SECONDS = 1.0
"""Timeout of the call that takes a lease."""


class Duty(StrEnum):
    """What only one daemon does at a time; the value is the store part that holds its leases."""

    ENGINE_ORDERS = "engines"
    USAGE = "usage"
    SCALING = "scaling"


@dataclass(frozen=True, slots=True)
class LeaseSubject:
    """The subject of a lease.

    Attributes:
        name: which of the duty's subjects, for example an engine's id.
    """

    duty: Duty
    name: str

    @property
    def key(self) -> str:
        """Identifies the subject among those of all duties."""
        return f"{self.duty}\x00{self.name}"


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to act once.

    Attributes:
        token: the fencing token.
        usable_until: steady time of this process after which the lease must not be used.
    """

    subject: LeaseSubject
    token: int
    usable_until: float

    def has_expired(self, now: float) -> bool:
        """Returns whether the lease must not be used any more, at a steady time of this process."""
        return now >= self.usable_until


@dataclass(frozen=True, slots=True)
class _LeaseRow:
    """A lease in the store.

    Attributes:
        free_at: store time before which no other holder may take it.
        exclusive_time: seconds after the lease's end that `free_at` contains; None in rows of
            earlier versions.
        version: version of the row, which is the fencing token.
    """

    holder: str
    free_at: float
    exclusive_time: float | None
    version: int

    def free_for(self, exclusive_time: float) -> float:
        """Returns the store time from which another holder may take the lease.

        Args:
            exclusive_time: seconds by which that holder's settings keep holders apart; more than
                the holder knew of if the settings have changed since.
        """
        known_time = self.exclusive_time if self.exclusive_time is not None else exclusive_time
        return self.free_at + max(0.0, exclusive_time - known_time)


class LeaseTable:
    """Takes leases for one daemon.

    Args:
        own: this process's id.
        exclusive_time: returns the seconds after a holder's last action before another holder may
            act, which the settings may change.
    """

    def __init__(
        self, own: DaemonId, store: Store, clock: Clock, exclusive_time: Callable[[], float]
    ) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._exclusive_time = exclusive_time

    async def take(self, subject: LeaseSubject) -> Lease | None:
        """Takes a lease; returns None if another daemon holds it or the store fails."""
        key = RowKey(LEASE_TABLE, subject.duty.value, subject.name)
        try:
            current = await self._read(key)
        except StoreUnavailableError:
            return None  # the caller logs it and retries
        started = self._clock.now()
        store_time = self._store.time()
        if store_time is None or not self._may_take(current, store_time - self._store.time_error()):
            return None
        exclusive_time = self._exclusive_time()
        latest = store_time + self._store.time_error()
        free_at = latest + LEASE_USE_SECONDS + exclusive_time + LEASE_MARGIN_SECONDS
        row = {"holder": self._own, "free_at": free_at, "exclusive_time": exclusive_time}
        value = orjson.dumps(row)
        expected = current.version if current is not None else ABSENT
        change = Transaction(conditions=((key, expected),), puts=((key, value),))
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        if result.outcome is not WriteOutcome.DONE:
            return None
        return Lease(subject, result.version, started + LEASE_USE_SECONDS)

    def _may_take(self, current: _LeaseRow | None, earliest: float) -> bool:
        """Returns whether a lease is free, or this daemon's own, at a store time or later."""
        if current is None or current.holder == self._own:
            return True
        return earliest >= current.free_for(self._exclusive_time())

    async def _read(self, key: RowKey) -> _LeaseRow | None:
        page = await self._store.read(key.table, key.part, key.key, key.key + "\x00")
        if not page.rows:
            return None
        row = page.rows[0]
        document = orjson.loads(row.value)
        return _LeaseRow(
            document["holder"], document["free_at"], document.get("exclusive_time"), row.version
        )
