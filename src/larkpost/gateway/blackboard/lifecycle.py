"""Readiness of this daemon, its number of open requests, and what it accepts while it stops."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """When the phases of a graceful shutdown begin; steady times.

    Attributes:
        refuses_from: from then on only requests are accepted that surely end in time.
        responses_end_at: time by which responses must be complete.
    """

    refuses_from: float
    responses_end_at: float

    def admits(self, now: float, expires_at: float) -> bool:
        """Returns whether a request is accepted now.

        Args:
            expires_at: time by which it has surely ended; infinite if it may last for any time.
        """
        return now < self.refuses_from or expires_at <= self.responses_end_at


class Lifecycle:
    """Readiness and shutdown state of one daemon.

    Attributes:
        informed: whether it has a configuration and a list of instances.
        accepting: whether it can accept more connections.
        schedule: phases of the graceful shutdown that has begun; None before. Never reset.
        open_requests: number of requests in progress.
    """

    def __init__(self) -> None:
        self.informed = False
        self.accepting = True
        self.schedule: StopSchedule | None = None
        self.open_requests = 0
        self._expiry: asyncio.Future[None] | None = None

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.schedule is not None

    @property
    def ready(self) -> bool:
        """Whether the daemon is ready for new clients."""
        return self.informed and self.accepting and not self.stopping

    def admits(self, now: float, expires_at: float) -> bool:
        """Returns whether a request is accepted now; see `StopSchedule.admits`."""
        if self.schedule is None:
            return True
        return not self.has_expired and self.schedule.admits(now, expires_at)

    def refuses_unbounded(self, now: float) -> bool:
        """Returns whether a shutdown has reached the phase in which long requests are refused."""
        return self.schedule is not None and now >= self.schedule.refuses_from

    @property
    def expiry(self) -> asyncio.Future[None]:
        """Is resolved once a shutdown waits for responses no longer, and no request is accepted."""
        if self._expiry is None:
            self._expiry = asyncio.get_running_loop().create_future()
        return self._expiry

    @property
    def has_expired(self) -> bool:
        """Whether a shutdown waits for responses no longer."""
        return self._expiry is not None and self._expiry.done()

    def expire(self) -> None:
        """Ends the wait for responses; requests that have none yet are answered with an error."""
        if not self.has_expired:
            self.expiry.set_result(None)

    @contextmanager
    def request(self) -> Iterator[None]:
        """Counts a request as open while the context is active."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1
