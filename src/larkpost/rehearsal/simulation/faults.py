"""Tracks active faults, so that the oracle knows when the last one ended."""

import asyncio

from larkpost.rehearsal.simulation.records import Records


class FaultLog:
    """The active partitions, outages and freezes."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._active: set[str] = set()

    def begin(self, name: str) -> None:
        """Records a fault that stays active until `end_all`."""
        self.set(name, True)

    def set(self, name: str, active: bool) -> None:
        """Records the start or the end of a fault."""
        if active:
            self._active.add(name)
        else:
            self._active.discard(name)
        now = asyncio.get_running_loop().time()
        self._records.last_fault_at = float("inf") if self._active else now

    def end_all(self) -> None:
        """Records the end of all faults."""
        self._active.clear()
        self._records.last_fault_at = asyncio.get_running_loop().time()
