"""Keeps signals that reach a process before it can handle them, or when it has ended its work.

Importing the program takes half a second, in which SIGTERM and SIGHUP would end the process by
their default action. `record_signals` is called before those imports, so this module imports
nothing slow. The process takes the recorded signals once its own handlers are installed.
"""

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_recorded: set[signal.Signals] = set()


def record_signals() -> None:
    """Records signals from now on instead of their default action."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record)


def take_recorded() -> set[signal.Signals]:
    """Returns the signals recorded so far, and forgets them."""
    taken = set(_recorded)
    _recorded.clear()
    return taken


def block_signals() -> None:
    """Blocks further signals; called last, as the handlers go before the process does."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def _record(number: int, _frame: object) -> None:
    _recorded.add(signal.Signals(number))
