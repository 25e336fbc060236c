"""What a rule of placement says of an instance and a piece of work."""

from enum import StrEnum


class PlacementDecision(StrEnum):
    """Whether an instance may be given a piece of work now, or why not."""

    ALLOWED = "allowed"
    UNKNOWN = "unknown"  # no such instance is listed, or it was given up
    LEAVING = "leaving"
    EVACUATED = "evacuated"  # the operator wants its zone to get nothing
    COLD = "cold"  # it is cold, and this daemon's share of its requests is used up
    OUTSIDE_REGIONS = "outside_regions"  # the work may not be served in its region
    OLD_VERSION = "old_version"  # its weights are older than the work allows
    ISOLATED = "apart"  # servers crashed under the work, and a request like it runs there
    AVOIDED = "avoided"  # it failed or refused a moment ago

    @property
    def is_allowed(self) -> bool:
        """Whether the work may go there."""
        return self is PlacementDecision.ALLOWED
