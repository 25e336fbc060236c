"""Which request a server's response belongs to, and whether that request ran.

A response may come late or twice on a kept connection, so it counts only if it repeats the id of
the request that it is read for.
"""

import asyncio
from collections.abc import Mapping
from enum import Enum, auto

import aiohttp

from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    NotRunError,
    NotRunReason,
    OutgoingRequest,
)
from larkpost.platform import names
from larkpost.platform.connections import CheckedConnector
from larkpost.platform.server_messages import read_cold_seconds
from larkpost.platform.server_responses import RESPONSE_FAILURES

MISDIRECTED = 421
MAX_REFUSAL_BYTES = 4096
"""Longest body of a refusal that is read so that its connection serves again. A refusal's body is a
line of text."""
REFUSAL_BODY_SECONDS = 0.05
"""Longest wait for it: it comes with its head, and the request wants another server at once."""


class ResponseMatch(Enum):
    """The request to which a response says that it belongs."""

    THIS_REQUEST = auto()
    OTHER_REQUEST = auto()
    UNIDENTIFIED = auto()


def match_response(headers: Mapping[str, str], request_id: bytes | None) -> ResponseMatch:
    """Returns to which request a response says that it belongs.

    Args:
        request_id: the id that the request was sent with; None if it was sent without one.
    """
    named = headers.get(names.REQUEST_ID.decode())
    if named is None:
        return ResponseMatch.UNIDENTIFIED
    if request_id is not None and named == request_id.decode("latin-1"):
        return ResponseMatch.THIS_REQUEST
    return ResponseMatch.OTHER_REQUEST


def check_executed(
    response: aiohttp.ClientResponse, instance: InstanceInfo, request: OutgoingRequest
) -> None:
    """Checks that the response belongs to the request and that the request ran.

    Raises:
        NotRunError: the server says that it did not run it.
        BrokenResponseError: the response belongs to another request, or names none.
    """
    owner = match_response(response.headers, request.request_id)
    if owner is ResponseMatch.OTHER_REQUEST:
        raise BrokenResponseError("the answer belongs to another request")
    if response.status == MISDIRECTED:
        found = response.headers.get(names.INSTANCE_ID.decode(), instance.name)
        is_replaced = found != instance.name
        raise NotRunError(NotRunReason.REPLACED if is_replaced else NotRunReason.MISDIRECTED)
    if names.NOT_EXECUTED.decode() in response.headers:
        raise NotRunError(NotRunReason.FULL, read_cold_seconds(response.headers))
    if owner is ResponseMatch.UNIDENTIFIED:
        raise BrokenResponseError("the answer names no request")


async def drain_refusal(
    response: aiohttp.ClientResponse,
    instance: InstanceInfo,
    request: OutgoingRequest,
    connector: CheckedConnector,
) -> None:
    """Reads a short refusal to its end, so that its connection serves again.

    A refusal that does not name its request loses the connection: were it to come a second
    time, it would pass for the refusal of the next request.

    Args:
        connector: keeps the connections to the server.
    """
    if match_response(response.headers, request.request_id) is not ResponseMatch.THIS_REQUEST:
        response.close()
        connector.close_idle(instance.address)
        return
    length = response.content_length
    if length is None or length > MAX_REFUSAL_BYTES:
        return
    try:
        async with asyncio.timeout(REFUSAL_BODY_SECONDS):
            await response.read()
    except RESPONSE_FAILURES:
        return  # only the connection is lost: the head has said that the request did not run
