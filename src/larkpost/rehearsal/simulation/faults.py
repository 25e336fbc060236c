"""Keeps track of which faults last, so that the oracle knows when the last one ended."""

import asyncio

from larkpost.rehearsal.simulation.records import Records


class FaultLog:
    """Cuts, outages and freezes that last."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._active: set[str] = set()

    def begin(self, name: str) -> None:
        """Records a fault that lasts until `end_all`."""
        self.set(name, True)

    def set(self, name: str, active: bool) -> None:
        """Records that a fault begins or ends."""
        if active:
            self._active.add(name)
        else:
            self._active.discard(name)
        now = asyncio.get_running_loop().time()
        self._records.last_fault_at = float("inf") if self._active else now

    def end_all(self) -> None:
        """Records that every fault has ended."""
        self._active.clear()
        self._records.last_fault_at = asyncio.get_running_loop().time()
