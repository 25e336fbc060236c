"""Steady time, which includes time that the machine was suspended.

A machine may be suspended for seconds. ``CLOCK_MONOTONIC`` stops meanwhile, so a lease holder would
treat an expired lease as valid, and a request whose caller has disconnected as recent. Ages and
deadlines are measured with this clock.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Linux has a clock that includes suspended time; other systems use the monotonic clock."""


def steady_seconds() -> float:
    """Returns steady seconds; only differences between two readings are meaningful."""
    return time.clock_gettime(CLOCK)


class SteadyLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers use steady time.

    The selector's timeout does not include suspended time: a timer that became due while the
    machine was suspended runs with the first event or timer after it resumes.
    """

    def time(self) -> float:
        """Returns steady seconds."""
        return steady_seconds()


def run_on_steady_loop(work: Coroutine[Any, Any, Any]) -> None:
    """Runs a coroutine to completion on an event loop that uses steady time."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        runner.run(work)
