"""Retry budgets and backoff, which bound retries to a fraction of the requests."""

import random
from collections import OrderedDict

from larkpost.standalone.settings import RoutingSettings

MAX_BUDGETS = 4096
"""Maximum number of budgets; the least recently used is dropped."""


class RetryBudgets:
    """Token buckets of retries, by caller and by engine.

    Each request earns ``retry_ratio`` of a retry, up to ``retry_reserve``, and each retry costs
    one. If a zone fails, attempts are bounded by (1 + ratio) times the requests plus the reserve.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._budgets: OrderedDict[str, float] = OrderedDict()

    def earn(self, *keys: str) -> None:
        """Credits each key for a first attempt."""
        for key in keys:
            credit = self._get(key) + self._settings.retry_ratio
            self._budgets[key] = min(credit, self._settings.retry_reserve)

    def spend(self, *keys: str) -> bool:
        """Spends one retry of every key, or none if any key has less than one.

        Returns:
            Whether the retries were spent.
        """
        if any(self._get(key) < 1 for key in keys):
            return False
        for key in keys:
            self._budgets[key] -= 1
        return True

    def _get(self, key: str) -> float:
        if key not in self._budgets:
            self._budgets[key] = self._settings.retry_reserve
            if len(self._budgets) > MAX_BUDGETS:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(key)
        return self._budgets[key]


def backoff(settings: RoutingSettings, failures: int, rng: random.Random) -> float:
    """Returns the seconds to wait after ``failures``: half to all of the exponential backoff."""
    longest = min(settings.backoff_base * 2 ** max(failures - 1, 0), settings.backoff_limit)
    return rng.uniform(longest / 2, longest)
