"""Two regions for tests, and store clients that record whose items passed through them."""

import asyncio

from larkpost.common.ids import RegionId, ZoneId
from larkpost.gateway.store.batch_tables import ITEM_TABLE
from larkpost.gateway.store.port import RowPage, Transaction, WriteResult
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient

EAST = RegionId("east")
WEST = RegionId("west")
EAST_ZONES = (ZoneId("east-1"), ZoneId("east-2"))
WEST_ZONE = ZoneId("west-1")
NEAR_STORE_SECONDS = 0.004
FAR_STORE_SECONDS = 0.042
"""Latency from the west to the store, which is in the east."""
REGIONS = dict.fromkeys(EAST_ZONES, EAST) | {WEST_ZONE: WEST}
TWO_REGIONS = (EAST_ZONES[0], WEST_ZONE, EAST_ZONES[1], WEST_ZONE)
"""Zones of the daemons and of the engines, in order, across two regions."""


class WatchedClient(StoreClient):
    """A daemon's store client that records whose items passed through it.

    Attributes:
        items_read: batches whose items it read.
        items_written: batches whose items it wrote.
        awake: set unless the daemon's machine is suspended; responses wait for it.
    """

    def __init__(self, store: MemoryStore, zone: ZoneId, awake: asyncio.Event) -> None:
        super().__init__(store, FAR_STORE_SECONDS if zone == WEST_ZONE else NEAR_STORE_SECONDS)
        self._awake = awake
        self.items_read: set[str] = set()
        self.items_written: set[str] = set()

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 0
    ) -> RowPage:
        """Reads rows of a part; see the port."""
        page = await super().read(table, part, first, end, limit)
        await self._awake.wait()
        if table == ITEM_TABLE:
            self.items_read |= {row.key.key.partition("/")[0] for row in page.rows}
        return page

    async def write(self, transaction: Transaction, timeout: float) -> WriteResult:
        """Applies a transaction; see the port."""
        self.items_written |= {
            key.key.partition("/")[0] for key, _ in transaction.puts if key.table == ITEM_TABLE
        }
        result = await super().write(transaction, timeout)
        await self._awake.wait()
        return result

    async def changes(self, table: str, after: int, wait: float) -> RowPage:
        """Returns the changes of a table; see the port."""
        page = await super().changes(table, after, wait)
        await self._awake.wait()
        return page
