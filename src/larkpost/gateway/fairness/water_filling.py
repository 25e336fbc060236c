"""Max-min fairness: capacity is divided equally, and what one does not need goes to the others."""

import math
from collections.abc import Collection


def fair_level(demands: Collection[float], capacity: float) -> float:
    """Returns the most that one may get so that all together get the capacity.

    Everyone gets the lesser of its demand and the level. The level is infinite if all demands fit.

    Args:
        demands: what each wants, in the unit of the capacity.
        capacity: what there is.
    """
    left = capacity
    ordered = sorted(demands)
    for number, demand in enumerate(ordered):
        equal_part = left / (len(ordered) - number)
        if demand > equal_part:
            return max(0.0, equal_part)
        left -= demand
    return math.inf
