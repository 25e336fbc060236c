"""Tells connections that have gone silent for good from servers that are slow.

A connection may go silent without a reset while new ones work. What shows it is a call that waits
much longer than calls to that address do, on a connection that has brought bytes before, while no
other old connection to the address brings any. The address is suspect then: none of the connections
that were open at that moment is trusted again. A connection that never brought a byte shows nothing
but that its server is slow or gone, so a slow server costs no more than one set of connections.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from larkpost.common.ids import Address
from larkpost.common.steady_time import steady_seconds
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics

LEAST_PATIENCE_SECONDS = 0.25
"""No silence is taken for one for good before: links lose packets, which come again within it."""
LEAST_OVERTAKEN_SECONDS = 0.08
"""Less than the least time after which a second server is tried."""
MOST_PATIENCE_SECONDS = 1.5
USUAL_DECAY = 0.1
"""Share by which the usual time of an address nears that of a quicker call; it rises at once."""
GAP_SECONDS = 1.0
"""The same for a pause within an answer: engines that put a stream off make shorter ones."""
PROOF_SECONDS = 0.2
"""How much longer a call that must not be given up lightly waits for proof from a new connection:
a server that turned slow all at once answers both late, and is not to blame."""
REST_SECONDS = 2.0
"""After a suspicion, before connections opened since may be suspected as well: a server that is
slow now and then does not have its connections closed again and again."""
FORGET_SECONDS = 60.0
"""How long an address without connections is remembered: servers come back at new ones."""


class Peer(StrEnum):
    """What connections lead to; the label of their counter."""

    STORE = "store"
    PEER = "peer"
    SERVER = "server"


@dataclass(frozen=True, slots=True)
class Patience:
    """How long a call may go without a byte before its connection may be silent for good.

    Attributes:
        least: seconds, however quick the calls to its address are.
        factor: by how much it must outlast the slow ones among the last calls.
    """

    least: float
    factor: float


ENDING = Patience(LEAST_PATIENCE_SECONDS, 4.0)
"""Before a call is ended for it."""
OVERTAKEN = Patience(LEAST_OVERTAKEN_SECONDS, 2.0)
"""For a call that is given up anyway, as another server's answer came first, or its time is over:
by a mistake only connections that rest are lost."""


class CallKind(StrEnum):
    """Kinds of calls whose usual times have nothing to do with each other."""

    REQUEST = "request"
    CONTROL = "control"  # answered at once, whatever the other end is at work on


@dataclass(slots=True, eq=False)
class Line:
    """What one open connection has shown. All times are steady ones.

    Attributes:
        heard_at: when it last brought bytes; None if it never did.
        asked_at: when its last call began.
        kind: the kind of that call.
        held: seconds that this call may be held at the other end before it is answered.
        is_awaited: whether the call has not got a byte of answer yet.
    """

    address: Address
    opened_at: float
    heard_at: float | None = None
    asked_at: float = 0.0
    kind: CallKind = CallKind.REQUEST
    held: float = 0.0
    is_awaited: bool = False

    def quiet_since(self) -> float:
        """Returns since when a call has waited for bytes."""
        return max(self.asked_at, self.heard_at or 0.0)


class Silences:
    """Watches the connections to all addresses of one kind.

    Args:
        peer: what the connections lead to.
        now: returns steady time.
    """

    def __init__(
        self,
        peer: Peer,
        metrics: Metrics | None = None,
        log: EventLog | None = None,
        now: Callable[[], float] = steady_seconds,
    ) -> None:
        self._peer = peer
        self._metrics = metrics
        self._log = log
        self._now = now
        self._lines: dict[Address, set[Line]] = {}
        self._usual: dict[tuple[Address, CallKind], float] = {}
        self._suspected_at: dict[Address, float] = {}
        self._left_at: dict[Address, float] = {}
        """When the last connection to each address without one was closed, in that order."""

    def open(self, address: Address) -> Line:
        """Returns the line of a connection that has just been opened."""
        line = Line(address, self._now())
        self._left_at.pop(address, None)
        self._forget_old()
        self._lines.setdefault(address, set()).add(line)
        return line

    def close(self, line: Line) -> None:
        """Forgets a connection that is closed."""
        lines = self._lines.get(line.address)
        if lines is not None:
            lines.discard(line)
            if not lines:
                del self._lines[line.address]
                self._left_at[line.address] = self._now()

    def ask(self, line: Line, kind: CallKind, held: float) -> None:
        """Takes that a call begins on a connection."""
        line.asked_at = self._now()
        line.kind = kind
        line.held = held
        line.is_awaited = True

    def hear(self, line: Line) -> None:
        """Takes that a connection has brought bytes."""
        line.heard_at = self._now()
        if line.is_awaited:
            line.is_awaited = False
            if not line.held:
                self._learn(line, line.heard_at - line.asked_at)

    def end(self, line: Line) -> None:
        """Takes that a call ends, whole or not; after a long silence its address is suspect."""
        if self.is_silent(line, OVERTAKEN):
            self.suspect(line)
        elif line.is_awaited and not line.held:
            elapsed = self._now() - line.asked_at
            if elapsed > self._usual.get((line.address, line.kind), 0.0):
                self._learn(line, elapsed)
        line.is_awaited = False

    def patience(self, line: Line, patience: Patience = ENDING) -> float:
        """Returns the seconds without a byte after which a connection may be silent for good.

        They count from when its call could have been answered at the earliest.
        """
        if not line.is_awaited:
            return GAP_SECONDS
        usual = patience.factor * self._usual.get((line.address, line.kind), 0.0)
        return min(MOST_PATIENCE_SECONDS, max(patience.least, usual))

    def is_silent(self, line: Line, patience: Patience = ENDING) -> bool:
        """Tells whether a connection with a call on it has gone silent for good."""
        if line.heard_at is None:
            return False
        now = self._now()
        longest = self.patience(line, patience)
        held = line.held if line.is_awaited else 0.0
        if now - line.quiet_since() < longest + held:
            return False
        return not any(
            other.heard_at is not None and other.heard_at > now - longest
            for other in self._lines.get(line.address, ())
            if other.opened_at < line.asked_at
        )

    def is_proven(self, line: Line) -> bool:
        """Tells whether a connection opened since its call began has brought bytes."""
        return any(
            other.heard_at is not None and other.opened_at > line.asked_at
            for other in self._lines.get(line.address, ())
        )

    def suspect(self, line: Line) -> None:
        """Trusts no connection to an address any more that is open now."""
        now = self._now()
        suspected_at = self._suspected_at.get(line.address, float("-inf"))
        if now - suspected_at < REST_SECONDS or line.opened_at < suspected_at:
            return
        self._suspected_at[line.address] = now
        if self._metrics is not None:
            self._metrics.count(Count.SILENT_CONNECTIONS, self._peer)
        if self._log is not None:
            self._log.record(
                Event.CONNECTIONS_SILENT,
                to=self._peer,
                address=line.address,
                silent=round(now - line.quiet_since(), 3),
                patience=round(self.patience(line), 3),
                open=len(self._lines.get(line.address, ())),
            )

    def is_suspect(self, line: Line) -> bool:
        """Tells whether a connection was open when its address became suspect."""
        return line.opened_at <= self._suspected_at.get(line.address, float("-inf"))

    def _forget_old(self) -> None:
        oldest = self._now() - FORGET_SECONDS
        while self._left_at:
            address, left_at = next(iter(self._left_at.items()))
            if left_at > oldest:
                return
            del self._left_at[address]
            self._suspected_at.pop(address, None)
            for kind in CallKind:
                self._usual.pop((address, kind), None)

    def _learn(self, line: Line, seconds: float) -> None:
        key = (line.address, line.kind)
        usual = self._usual.get(key, 0.0)
        if seconds < usual:
            seconds = usual + USUAL_DECAY * (seconds - usual)
        self._usual[key] = seconds
