"""The platform's ports: the table service and the machine list.

Each call raises `PlatformError` when no answer came; a write may then still have taken effect.
"""

from dataclasses import dataclass
from typing import Protocol

from larkpost.common.ids import Address, EngineId, PoolId, ZoneId


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; ``version`` grows by one with each write, starting at 1."""

    version: int
    value: bytes


class TableStore(Protocol):
    """The transactional table service."""

    async def read(self, key: str, timeout: float) -> Row | None:
        """Returns the row, or None if there is none."""

    async def compare_and_set(
        self, key: str, expected_version: int, value: bytes, timeout: float
    ) -> bool:
        """Writes the row if its version is the expected one (0: there is none).

        Returns:
            Whether this call wrote.
        """


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """An engine machine. ``revision`` grows with each change of the entry."""

    engine: EngineId
    zone: ZoneId
    address: Address
    pool: PoolId
    leaving: bool
    revision: int


class MachineList(Protocol):
    """The list of engine machines; it lags."""

    async def entries(self, zone: ZoneId | None, timeout: float) -> list[MachineEntry]:
        """Returns the live and leaving machines of a zone, or of all zones."""
