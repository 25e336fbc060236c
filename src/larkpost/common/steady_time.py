"""Steady time that counts the seconds for which the machine was suspended.

A machine may be suspended for seconds. The system's plain steady clock stands still meanwhile, so a
holder of a lease would take it for fresh when others have long taken over, and a request for young
whose caller has left. Everything that measures ages and deadlines goes by this clock.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Linux has a clock that counts suspended time; elsewhere the plain steady clock must do."""


def steady_seconds() -> float:
    """Returns steady seconds; only differences have a meaning."""
    return time.clock_gettime(CLOCK)


class SteadyLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers go by steady time.

    The system's wait for the next event does not count suspended time: a timer that became due
    while the machine was suspended runs with the first event or timer afterwards.
    """

    def time(self) -> float:
        """Returns steady seconds."""
        return steady_seconds()


def run_on_steady_loop(work: Coroutine[Any, Any, Any]) -> None:
    """Runs a coroutine to its end on a loop that goes by steady time."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        runner.run(work)
