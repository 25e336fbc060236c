"""A daemon of the soak: ``python -m tests.process_soak.daemon_program [MUTANT]``.

It simulates a suspended machine: the process is stopped, gets `SUSPENDED_SIGNAL`, and is continued.
CLOCK_MONOTONIC then excludes the suspended time, and CLOCK_BOOTTIME includes it. A mutant breaks
one mechanism, which shows that the soak can fail.
"""

import contextlib
import signal
import sys
import time
from collections.abc import Callable

from larkpost.platform.process import run
from tests.platform_mutants import MUTANTS

SUSPENDED_SIGNAL = signal.SIGUSR2


class SuspendableClock:
    """CLOCK_MONOTONIC of a machine that may be suspended.

    The suspended time is measured from the last time the clock was read.
    """

    def __init__(self, gettime: Callable[[int], float]) -> None:
        self._gettime = gettime
        self._suspended_seconds = 0.0
        self._read_at = self._true_seconds()

    def seconds(self) -> float:
        """Returns the seconds of the clock."""
        self._read_at = self._true_seconds()
        return self._read_at - self._suspended_seconds

    def record_suspension(self, *_) -> None:
        """Handles the end of a suspension."""
        self._suspended_seconds += self._true_seconds() - self._read_at

    def gettime(self, clock: int) -> float:
        """Returns the seconds of any clock."""
        return self.seconds() if clock == time.CLOCK_MONOTONIC else self._gettime(clock)

    def _true_seconds(self) -> float:
        return self._gettime(time.CLOCK_MONOTONIC)


def main(names: list[str]) -> None:
    """Runs the daemon, under mutants of `tests.platform_mutants` if any are named."""
    clock = SuspendableClock(time.clock_gettime)
    time.monotonic, time.clock_gettime = clock.seconds, clock.gettime
    signal.signal(SUSPENDED_SIGNAL, clock.record_suspension)
    with contextlib.ExitStack() as stack:
        for name in names:
            stack.enter_context(MUTANTS[name]())
        run()


if __name__ == "__main__":
    main(sys.argv[1:])
