"""A daemon of the soak: ``python -m tests.process_soak.daemon_program [MUTANT]``.

Its machine can be suspended: it is stopped, gets `SUSPENDED_SIGNAL`, and is continued. Then its
plain steady clock has stood still, as that of a suspended machine does; the clock that counts
suspended time has gone on. With a mutant's name, one mechanism is broken, which shows that the soak
can fail.
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
    """The plain steady clock of a machine that may be suspended.

    How long it was, is known from when its time was last read, so a little may be lost.
    """

    def __init__(self, gettime: Callable[[int], float]) -> None:
        self._gettime = gettime
        self._lost = 0.0
        self._read_at = self._true()

    def seconds(self) -> float:
        """Returns the seconds of the clock."""
        self._read_at = self._true()
        return self._read_at - self._lost

    def record_suspension(self, *_) -> None:
        """Handles a suspension of the machine that has just ended."""
        self._lost += self._true() - self._read_at

    def gettime(self, clock: int) -> float:
        """Returns the seconds of any clock of the machine."""
        return self.seconds() if clock == time.CLOCK_MONOTONIC else self._gettime(clock)

    def _true(self) -> float:
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
