"""What a daemon knows of the use of one instance: its own, and what others told of theirs."""

from dataclasses import dataclass

from larkpost.common.ids import ZoneId


@dataclass(slots=True)
class InstanceUse:
    """What this daemon knows of one instance from its own requests.

    Attributes:
        outstanding: this daemon's requests there.
        others: requests of other daemons there, when it last told its load.
        is_refusing: whether it refused the last request that it answered.
        asked_at: when it was last sent a request while it was refusing.
        avoid_until: steady time before which it is only a last resort.
        pace: seconds a unit of work takes there, smoothed; 0 if unknown.
        answered_at: when the pace last was that of a whole answer, the way there and back in it.
        zone: where it is, kept for requests that outlast its entry; None if not known.
    """

    outstanding: int = 0
    others: int = 0
    load_at: float = float("-inf")
    is_refusing: bool = False
    asked_at: float = float("-inf")
    avoid_until: float = float("-inf")
    pace: float = 0.0
    pace_at: float = float("-inf")
    answered_at: float = float("-inf")
    zone: ZoneId | None = None


@dataclass(frozen=True, slots=True)
class PeerUse:
    """What another daemon told of its use of one instance, and when."""

    requests: int
    pace: float
    at: float
