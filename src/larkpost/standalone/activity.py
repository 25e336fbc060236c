"""Counts the requests in progress, so that a planned stop can wait for them."""

from collections.abc import Iterator
from contextlib import contextmanager


class Activity:
    """Number of requests in progress, from callers of any kind."""

    def __init__(self) -> None:
        self.requests = 0

    @contextmanager
    def request(self) -> Iterator[None]:
        """Counts a request as in progress within the context."""
        self.requests += 1
        try:
            yield
        finally:
            self.requests -= 1
