"""A daemon with one broken mechanism: ``python -m tests.process_soak.mutant_daemon NAME``.

It shows that the soak can fail.
"""

import contextlib
import sys

from larkpost.platform.process import run
from tests.platform_mutants import MUTANTS


def main(name: str) -> None:
    """Runs the daemon under a mutant of `tests.platform_mutants`."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(MUTANTS[name]())
        run()


if __name__ == "__main__":
    main(sys.argv[1])
