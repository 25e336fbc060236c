"""Whether this daemon takes clients, and what it is still answering."""

from collections.abc import Iterator
from contextlib import contextmanager


class Lifecycle:
    """Start, readiness and planned stop of one daemon.

    Attributes:
        informed: whether it knows a configuration and the instances.
        accepting: whether it has room for more connections.
        stopping: whether a planned stop has begun; it is final.
        open_requests: requests being answered.
    """

    def __init__(self) -> None:
        self.informed = False
        self.accepting = True
        self.stopping = False
        self.open_requests = 0

    @property
    def ready(self) -> bool:
        """Whether new clients may come."""
        return self.informed and self.accepting and not self.stopping

    @contextmanager
    def request(self) -> Iterator[None]:
        """Counts one request while it is answered."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1
