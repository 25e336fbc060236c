"""How many bytes a daemon may hold for others on a machine of a given size."""

RESERVED_BYTES = 70_000_000
"""Left to the program itself and to what it knows of a fleet of hundreds."""
BUDGET_FRACTION = 0.5
"""Share of the rest that may be held for others; what is left is for the buffers of connections,
for copies while something is passed on, and for gaps between what is allocated."""
MIN_BUDGET_BYTES = 8_000_000
"""A machine that is smaller than the program still serves requests of ordinary size."""


def byte_budget_for(memory_bytes: int | None) -> int | None:
    """Returns the most bytes to hold for others; None, without limit, if no size is known."""
    if memory_bytes is None:
        return None
    return max(MIN_BUDGET_BYTES, int((memory_bytes - RESERVED_BYTES) * BUDGET_FRACTION))
