"""Network distance between two parts of a deployment, by zone and region."""

from enum import IntEnum


class Distance(IntEnum):
    """Distance of an instance or a daemon from this daemon; lower is nearer."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2
