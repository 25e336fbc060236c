"""How far two parts of a deployment are from each other."""

from enum import IntEnum


class Distance(IntEnum):
    """How far an instance or a daemon is from this daemon; less is nearer."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2
