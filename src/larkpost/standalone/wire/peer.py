"""The port to other daemons: unacknowledged datagrams, and requests with an answer."""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Protocol

from larkpost.common.ids import Address


class PeerError(Exception):
    """The other daemon did not answer in time; whether it acted is unknown."""


class PeerMethod(StrEnum):
    """Requests between daemons."""

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
    """Sends to other daemons."""

    def send(self, address: Address, data: bytes) -> None:
        """Sends a datagram; it may be lost, repeated or reordered."""

    async def request(
        self, address: Address, method: PeerMethod, payload: bytes, timeout: float
    ) -> bytes:
        """Sends a request and returns the answer.

        Raises:
            PeerError: there was no answer within ``timeout`` seconds.
        """
