"""The clock port: all waiting and reading of time goes through it, so tests can replace it."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic time in seconds and waiting."""

    def now(self) -> float:
        """Returns monotonic seconds; only differences have a meaning."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, for incarnations and log lines only."""

    async def sleep(self, seconds: float) -> None:
        """Waits."""


class LoopClock:
    """The running event loop's clock."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
