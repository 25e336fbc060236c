"""Ports to the platform: the table service and the machine list.

Each call raises `PlatformError` if there is no valid answer; a write may still have taken effect.
"""

from dataclasses import dataclass
from typing import Protocol

from larkpost.common.ids import Address, EngineId, PoolId, ZoneId


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; ``version`` starts at 1 and increases by 1 with each write."""

    version: int
    value: bytes


class TableStore(Protocol):
    """A transactional table service."""

    async def read(self, key: str, timeout: float) -> Row | None:
        """Returns the row of a key, or None if it does not exist."""

    async def compare_and_set(
        self, key: str, expected_version: int, value: bytes, timeout: float
    ) -> bool:
        """Writes a row if it has the expected version; 0 means that it does not exist.

        Returns:
            Whether this call wrote the row.
        """


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """An engine machine; ``revision`` increases with each change of the entry."""

    engine: EngineId
    zone: ZoneId
    address: Address
    pool: PoolId
    leaving: bool
    revision: int


class MachineList(Protocol):
    """The list of engine machines, which may be out of date."""

    async def entries(self, zone: ZoneId | None, timeout: float) -> list[MachineEntry]:
        """Returns the live and leaving machines of a zone, or of all zones if None."""
