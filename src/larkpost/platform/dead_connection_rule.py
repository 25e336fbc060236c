"""Decides whether a connection is dead or its server is merely slow.

A connection may stop delivering bytes without being reset, while new connections to the same
address work. A connection counts as dead if three conditions hold:

- It has received bytes before. Otherwise, its server may just be slow or gone.
- Its call has waited for the timeout, a multiple of the typical latency of calls to the address.
- Within that time, no connection that was open when the call began has received bytes.

All times are in steady seconds.
"""

from dataclasses import dataclass

MIN_ABORT_TIMEOUT_SECONDS = 0.25
"""Minimum timeout of a call that is aborted; leaves time to retransmit lost packets."""
MIN_ABANDONED_TIMEOUT_SECONDS = 0.08
"""Minimum timeout of a call that is abandoned for another reason. Shorter than the minimum hedge
delay of 0.1 s, so that a call whose hedge responded first can still reveal a dead connection."""
MAX_RESPONSE_TIMEOUT_SECONDS = 1.5
"""Maximum timeout of a response, however slow calls to the address are; equal to the timeout of
read calls to the store."""
MAX_BODY_PAUSE_SECONDS = 1.0
"""Timeout within a response; an engine that preempts a stream pauses for less."""


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
"""For calls that are aborted when the timeout expires."""
ABANDONED_CALL_TIMEOUT = AdaptiveTimeout(MIN_ABANDONED_TIMEOUT_SECONDS, 2.0)
"""For calls that are abandoned because another server responded first or their deadline passed.
Shorter, as a false positive only costs idle connections."""


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call that waits for bytes on a connection.

    Attributes:
        now: the time of the check.
        waiting_since: time of the call's start or of the last bytes, whichever is later.
        timeout: seconds without bytes after which the call has timed out.
        hold_time: seconds for which the server may hold the call (long poll), added to the timeout;
            0 once the response has begun.
        received_at: time at which the connection last received bytes; None if it never did.
    """

    now: float
    waiting_since: float
    timeout: float
    hold_time: float
    received_at: float | None


def has_timed_out(call: PendingCall) -> bool:
    """Returns whether the call has timed out; False if its connection never received bytes."""
    if call.received_at is None:
        return False
    return call.now - call.waiting_since >= call.timeout + call.hold_time


def is_server_slow(call: PendingCall, others_received_at: float | None) -> bool:
    """Returns whether a call that has timed out shows a slow server rather than a dead connection.

    Args:
        others_received_at: latest time at which a connection to the address that was open when
            the call began received bytes; None if none did.
    """
    return others_received_at is not None and others_received_at > call.now - call.timeout
