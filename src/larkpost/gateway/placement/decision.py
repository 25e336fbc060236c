"""Decisions of the placement rules."""

from enum import StrEnum


class PlacementDecision(StrEnum):
    """Whether a piece of work may be sent to an instance now, or why not."""

    ALLOWED = "allowed"
    UNKNOWN = "unknown"  # the instance is not in the directory
    LEAVING = "leaving"
    EVACUATED = "evacuated"  # the operator has evacuated its zone
    COLD = "cold"  # the instance is cold and this daemon's quota for it is used up
    OUTSIDE_REGIONS = "outside_regions"  # the work must not be served in its region
    OLD_VERSION = "old_version"  # its weight version is below the work's minimum
    ISOLATED = "apart"  # the work is suspected of crashing servers; another suspect runs there
    AVOIDED = "avoided"  # it recently failed or refused a request

    @property
    def is_allowed(self) -> bool:
        """Whether the work may be sent."""
        return self is PlacementDecision.ALLOWED
