"""The port to other daemons: unacknowledged datagrams, and requests with a response."""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Protocol

from larkpost.common.ids import Address


class PeerError(Exception):
    """There was no valid response from the other daemon; it may have handled the request."""


class PeerMethod(StrEnum):
    """Methods of requests between daemons."""

    JOIN = "join"
    PUSH_FACTS = "push-facts"
    SYNC_FACTS = "sync-facts"
    CONFIGURATION_STATE = "configuration-state"
    REPLICATE_BATCH = "replicate-batch"
    FETCH_BATCH = "fetch-batch"
    RUN_ONCE = "run-once"


PeerHandler = Callable[[bytes], Awaitable[bytes]]
DatagramHandler = Callable[[bytes], None]


class PeerTransport(Protocol):
    """Sends datagrams and requests to other daemons."""

    def send(self, address: Address, data: bytes) -> None:
        """Sends a datagram; it may be lost, repeated or reordered."""

    async def request(
        self, address: Address, method: PeerMethod, payload: bytes, timeout: float
    ) -> bytes:
        """Sends a request and returns the response.

        Raises:
            PeerError: there was no valid response within ``timeout`` seconds.
        """
