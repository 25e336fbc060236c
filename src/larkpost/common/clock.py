"""The clock interface: code reads time and waits only through it, so tests can replace it."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Reads monotonic time and waits."""

    def now(self) -> float:
        """Returns monotonic seconds; only differences between two readings are meaningful."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, for incarnations and log lines only."""

    async def sleep(self, seconds: float) -> None:
        """Waits for a number of seconds."""


class LoopClock:
    """The clock of the running event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
