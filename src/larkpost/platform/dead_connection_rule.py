"""Decides whether a connection is dead or its server is merely slow.

A connection may go silent without a reset while new ones work. What shows it is a call that waits
much longer than calls to that address do, on a connection that has received bytes before, while no
other connection that was open when the call began receives any. A connection that never received a
byte shows nothing but that its server is slow or gone. All times are steady seconds.
"""

from dataclasses import dataclass

MIN_ABORT_TIMEOUT_SECONDS = 0.25
"""Minimum wait before a call is aborted; leaves time to retransmit lost packets."""
MIN_ABANDONED_TIMEOUT_SECONDS = 0.08
"""Minimum wait for a call that is abandoned anyway. Shorter than the minimum hedge delay of 0.1 s,
so that a call that lost to its hedge can still reveal a dead connection."""
MAX_RESPONSE_TIMEOUT_SECONDS = 1.5
"""Upper bound of the timeout, however slow calls to the address are. Equal to the timeout of read
calls to the store."""
MAX_BODY_PAUSE_SECONDS = 1.0
"""Maximum pause within a response; engines that preempt a stream pause for less."""


@dataclass(frozen=True, slots=True)
class AdaptiveTimeout:
    """The time without bytes after which a connection may be dead, derived from typical latency.

    Attributes:
        minimum: lower bound in seconds.
        latency_factor: multiple of the typical latency.
    """

    minimum: float
    latency_factor: float

    def seconds(self, typical_latency: float) -> float:
        """Returns the timeout of calls that typically take ``typical_latency`` seconds."""
        return min(
            MAX_RESPONSE_TIMEOUT_SECONDS, max(self.minimum, self.latency_factor * typical_latency)
        )


ABORT_TIMEOUT = AdaptiveTimeout(MIN_ABORT_TIMEOUT_SECONDS, 4.0)
"""Applies to calls that are aborted when it expires."""
ABANDONED_CALL_TIMEOUT = AdaptiveTimeout(MIN_ABANDONED_TIMEOUT_SECONDS, 2.0)
"""Applies to calls that are abandoned anyway because another server responded first or their
deadline passed. Shorter, as a false positive only costs idle connections."""


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call that waits for bytes on a connection.

    Attributes:
        now: the time of the check.
        since: time since which the call has waited.
        limit: timeout in seconds.
        hold_time: seconds for which the other end may hold the call before it responds; 0 once it
            has begun to.
        received_at: time at which the connection last received bytes; None if it never did.
    """

    now: float
    since: float
    limit: float
    hold_time: float
    received_at: float | None


def has_timed_out(wait: PendingCall) -> bool:
    """Returns whether the call has timed out on a connection that has received bytes before."""
    if wait.received_at is None:
        return False
    return wait.now - wait.since >= wait.limit + wait.hold_time


def is_server_slow(wait: PendingCall, others_received_at: float | None) -> bool:
    """Returns whether a call that has timed out shows a slow server rather than a dead connection.

    Args:
        others_received_at: when a connection to the address last received bytes, of those that were
            open when the call began; None if none did.
    """
    return others_received_at is not None and others_received_at > wait.now - wait.limit
