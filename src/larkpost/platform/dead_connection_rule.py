"""The rule by which a connection is taken to be silent for good, and its figures.

A connection may go silent without a reset while new ones work. What shows it is a call that waits
much longer than calls to that address do, on a connection that has brought bytes before, while no
other connection that was open when the call began brings any. A connection that never brought a
byte shows nothing but that its server is slow or gone. All times are steady seconds.
"""

from dataclasses import dataclass

MIN_ABORT_TIMEOUT_SECONDS = 0.25
"""No shorter silence ends a call: links lose packets, and what is lost is sent again within it."""
MIN_ABANDONED_TIMEOUT_SECONDS = 0.08
"""The same for a call that is given up anyway: less than the 0.1 s after which a second server is
tried at the earliest, so that an overtaken call can show a silent connection."""
MAX_RESPONSE_TIMEOUT_SECONDS = 1.5
"""However slow the calls to an address are, a longer silence counts. As long as the store's reading
calls may take."""
MAX_BODY_PAUSE_SECONDS = 1.0
"""A longer pause within a response counts as silence: engines that put a stream off make shorter
pauses."""


@dataclass(frozen=True, slots=True)
class AdaptiveTimeout:
    """How long a call may go without a byte before its connection may be silent for good.

    Attributes:
        least: seconds, however quick the calls to its address are.
        factor: by how much it must outlast the usual time of such calls.
    """

    minimum: float
    latency_factor: float

    def seconds(self, typical_latency: float) -> float:
        """Returns the limit of a call whose like usually takes ``usual`` seconds."""
        return min(
            MAX_RESPONSE_TIMEOUT_SECONDS, max(self.minimum, self.latency_factor * typical_latency)
        )


ABORT_TIMEOUT = AdaptiveTimeout(MIN_ABORT_TIMEOUT_SECONDS, 4.0)
"""Before a call is ended for it."""
ABANDONED_CALL_TIMEOUT = AdaptiveTimeout(MIN_ABANDONED_TIMEOUT_SECONDS, 2.0)
"""For a call that is given up anyway, as another server's response came first, or its time is over:
by a mistake only idle connections are lost."""


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call that waits for bytes on a connection.

    Attributes:
        now: the time of the check.
        since: since when the call has waited.
        limit: seconds without a byte that count as silence.
        hold_time: seconds for which the other end may hold the call before it responds; 0 once it
            has begun to.
        received_at: when the connection last brought bytes; None if it never did.
    """

    now: float
    since: float
    limit: float
    hold_time: float
    received_at: float | None


def has_timed_out(wait: PendingCall) -> bool:
    """Returns whether a connection that has brought bytes before has brought none for too long."""
    if wait.received_at is None:
        return False
    return wait.now - wait.since >= wait.limit + wait.hold_time


def is_server_slow(wait: PendingCall, others_received_at: float | None) -> bool:
    """Returns whether a wait that is too long shows a slow server rather than a silent connection.

    Args:
        others_received_at: when a connection to the address last brought bytes, of those that were
            open when the call began; None if none did.
    """
    return others_received_at is not None and others_received_at > wait.now - wait.limit
