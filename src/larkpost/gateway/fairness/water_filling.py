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
    left = capacity
    ordered = sorted(demands)
    for number, demand in enumerate(ordered):
        equal_part = left / (len(ordered) - number)
        if demand > equal_part:
            return max(0.0, equal_part)
        left -= demand
    return math.inf
