"""Derives the memory budget from the size of the machine."""

RESERVED_BYTES = 70_000_000
"""Reserved for the program itself and its state of a fleet of hundreds of servers."""
BUDGET_FRACTION = 0.5
"""Fraction of the rest that goes to the budget; what remains covers connection buffers, temporary
copies and heap fragmentation."""
MIN_BUDGET_BYTES = 8_000_000
"""Lower bound, so that even the smallest machine serves ordinary requests."""


def byte_budget_for(memory_bytes: int | None) -> int | None:
    """Returns the memory budget in bytes; None (unlimited) if the memory size is unknown."""
    if memory_bytes is None:
        return None
    return max(MIN_BUDGET_BYTES, int((memory_bytes - RESERVED_BYTES) * BUDGET_FRACTION))
