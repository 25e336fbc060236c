"""How fast engines are beside each other, in a few coarse steps.

Owns no state. Steps are coarse, as each daemon knows lasting paces a little differently, and all
are to divide the engines alike.
"""

import math
from collections.abc import Mapping
from statistics import median_low

from larkpost.common.ids import InstanceId

STEP_RATIO = 2.0
"""Ratio of paces that makes one step; half a step, the square root of it, is rounded up."""


def slowdown_steps(service_times: Mapping[InstanceId, float]) -> dict[InstanceId, int]:
    """Returns by how many steps each engine is slower than the middling one; negative if faster.

    Args:
        paces: seconds that an event lastingly takes at each engine; 0 if not known, which counts
            as middling.
    """
    known = [service_time for service_time in service_times.values() if service_time > 0]
    if not known:
        return dict.fromkeys(service_times, 0)
    median = median_low(known)
    return {
        name: round(math.log(service_time / median, STEP_RATIO)) if service_time > 0 else 0
        for name, service_time in service_times.items()
    }


def relative_speed(steps: int) -> float:
    """Returns what an engine makes beside a middling one, by its steps slower than that."""
    return STEP_RATIO**-steps
