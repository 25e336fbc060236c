"""Counts the requests a daemon is answering, so that a planned stop can wait for them."""

from collections.abc import Iterator
from contextlib import contextmanager


class Activity:
    """Requests being answered, by callers of any kind."""

    def __init__(self) -> None:
        self.requests = 0

    @contextmanager
    def request(self) -> Iterator[None]:
        """Counts one request while it is answered."""
        self.requests += 1
        try:
            yield
        finally:
            self.requests -= 1
