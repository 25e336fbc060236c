"""Leases: the right to act on one subject, with a fencing token.

A subject is a duty and what it is about: the orders of one engine, the usage reports. Its lease is
a row in the store that names its holder and the store's time before which nobody else may take it.
The row's version is the fencing token. A lease is taken for one act and serves only for a moment,
measured on the steady clock from before the call that took it; so a holder that was paused in
between does not use it, and after a refusal the token is not used again.
"""

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
"""Seconds after the call was sent for which a lease may be used."""
LEASE_MARGIN_SECONDS = 0.5
"""Seconds added for the time an act travels and for the error of the estimated store clock."""
WRITE_TIMEOUT_SECONDS = 1.0
"""Seconds for the call that takes a lease."""


class Duty(StrEnum):
    """What one daemon at a time does; the value is the part of the store that has its leases."""

    ENGINE_ORDERS = "engines"
    USAGE = "usage"
    SCALING = "scaling"


@dataclass(frozen=True, slots=True)
class LeaseSubject:
    """What a lease is about.

    Attributes:
        name: which of the duty's subjects; an engine's id, for instance.
    """

    duty: Duty
    name: str

    @property
    def key(self) -> str:
        """Names the subject among those of all duties."""
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
        """Returns whether it must not be used any more, at a steady time of this process."""
        return now >= self.usable_until


@dataclass(frozen=True, slots=True)
class _LeaseRow:
    holder: str
    free_at: float
    version: int


class LeaseTable:
    """Takes leases for one daemon.

    Args:
        own: this process's id.
        exclusive_time: seconds after a holder's last act before another holder may act.
    """

    def __init__(self, own: DaemonId, store: Store, clock: Clock, exclusive_time: float) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._exclusive_time = exclusive_time

    async def take(self, subject: LeaseSubject) -> Lease | None:
        """Takes a lease, or returns None if another holds it or the store fails."""
        key = RowKey(LEASE_TABLE, subject.duty.value, subject.name)
        try:
            known = await self._read(key)
        except StoreUnavailableError:
            return None  # whoever wants it logs that and tries again
        started = self._clock.now()
        store_time = self._store.time()
        if store_time is None or not self._may_take(known, store_time):
            return None
        free_at = store_time + LEASE_USE_SECONDS + self._exclusive_time + LEASE_MARGIN_SECONDS
        value = orjson.dumps({"holder": self._own, "free_at": free_at})
        expected = known.version if known is not None else ABSENT
        change = Transaction(conditions=((key, expected),), puts=((key, value),))
        result = await self._store.write(change, WRITE_TIMEOUT_SECONDS)
        if result.outcome is not WriteOutcome.DONE:
            return None
        return Lease(subject, result.version, started + LEASE_USE_SECONDS)

    def _may_take(self, known: _LeaseRow | None, store_time: float) -> bool:
        return known is None or known.holder == self._own or store_time >= known.free_at

    async def _read(self, key: RowKey) -> _LeaseRow | None:
        page = await self._store.read(key.table, key.part, key.key, key.key + "\x00")
        if not page.rows:
            return None
        row = page.rows[0]
        document = orjson.loads(row.value)
        return _LeaseRow(document["holder"], document["free_at"], row.version)
