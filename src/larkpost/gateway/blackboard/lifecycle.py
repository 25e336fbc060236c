"""Readiness of this daemon, and its number of open requests."""

from collections.abc import Iterator
from contextlib import contextmanager


class Lifecycle:
    """Readiness and shutdown state of one daemon.

    Attributes:
        informed: whether it has a configuration and a list of instances.
        accepting: whether it can accept more connections.
        stopping: whether a graceful shutdown has begun; never reset.
        open_requests: number of requests in progress.
    """

    def __init__(self) -> None:
        self.informed = False
        self.accepting = True
        self.stopping = False
        self.open_requests = 0

    @property
    def ready(self) -> bool:
        """Whether the daemon is ready for new clients."""
        return self.informed and self.accepting and not self.stopping

    @contextmanager
    def request(self) -> Iterator[None]:
        """Counts a request as open while the context is active."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1
