"""Relative speeds of engines, in a few coarse steps.

Steps are coarse because the service times that daemons know differ slightly, and all daemons must
assign engines alike.
"""

import math
from collections.abc import Mapping
from statistics import median_low

from larkpost.common.ids import InstanceId

STEP_RATIO = 2.0
"""Ratio of service times per step; steps are rounded to the nearest whole one."""


def slowdown_steps(service_times: Mapping[InstanceId, float]) -> dict[InstanceId, int]:
    """Returns by how many steps each engine is slower than the median one; negative if faster.

    Args:
        service_times: long-term seconds per event at each engine; 0 if unknown, which counts as
            the median.
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
    """Returns the speed relative to the median engine, for a number of steps slower."""
    return STEP_RATIO**-steps
