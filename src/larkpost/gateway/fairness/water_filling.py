"""Max-min fairness: capacity is divided equally, and unused parts are redistributed."""

import math
from collections.abc import Collection


def fair_level(demands: Collection[float], capacity: float) -> float:
    """Returns the max-min fair level for some demands.

    Each demand is granted up to the level, which then uses up the capacity. The level is infinite
    if all demands fit.

    Args:
        demands: the demands, in the unit of the capacity.
        capacity: the capacity to divide.
    """
    remaining = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        equal_part = remaining / (len(ordered) - index)
        if demand > equal_part:
            return max(0.0, equal_part)
        remaining -= demand
    return math.inf
