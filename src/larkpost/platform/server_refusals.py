"""Checks that a server's response belongs to the request and that the request was executed.

On a reused connection, the response to an earlier request may arrive late or twice, so a response
is accepted only if it repeats the id of the request.
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
"""Maximum size of a refusal's body that is read so that the connection can be reused. A refusal has
a line of text."""
REFUSAL_BODY_SECONDS = 0.05
"""Timeout for reading that body; short, as the request waits to be sent to another server."""


class ResponseMatch(Enum):
    """How the request id of a response compares with that of the request."""

    THIS_REQUEST = auto()
    OTHER_REQUEST = auto()
    UNIDENTIFIED = auto()


def match_response(headers: Mapping[str, str], request_id: bytes | None) -> ResponseMatch:
    """Compares the request id of a response with that of the request.

    Args:
        request_id: the id that the request was sent with; None if it was sent without one.
    """
    response_id = headers.get(names.REQUEST_ID.decode())
    if response_id is None:
        return ResponseMatch.UNIDENTIFIED
    if request_id is not None and response_id == request_id.decode("latin-1"):
        return ResponseMatch.THIS_REQUEST
    return ResponseMatch.OTHER_REQUEST


def check_executed(
    response: aiohttp.ClientResponse, instance: InstanceInfo, request: OutgoingRequest
) -> None:
    """Checks that the response belongs to the request and that the request was executed.

    Raises:
        NotRunError: the server did not execute it.
        BrokenResponseError: the response belongs to another request or has no request id.
    """
    id_match = match_response(response.headers, request.request_id)
    if id_match is ResponseMatch.OTHER_REQUEST:
        raise BrokenResponseError("the response belongs to another request")
    if response.status == MISDIRECTED:
        actual_instance = response.headers.get(names.INSTANCE_ID.decode(), instance.name)
        is_replaced = actual_instance != instance.name
        raise NotRunError(NotRunReason.REPLACED if is_replaced else NotRunReason.MISDIRECTED)
    if names.NOT_EXECUTED.decode() in response.headers:
        raise NotRunError(NotRunReason.FULL, read_cold_seconds(response.headers))
    if id_match is ResponseMatch.UNIDENTIFIED:
        raise BrokenResponseError("the response has no request id")


async def drain_refusal(
    response: aiohttp.ClientResponse,
    instance: InstanceInfo,
    request: OutgoingRequest,
    connector: CheckedConnector,
) -> None:
    """Reads a short refusal to its end so that its connection can be reused.

    If the refusal does not repeat the request's id, closes the connections to the server: a
    duplicate of the refusal would be taken for the response to the next request.

    Args:
        connector: the pool that holds the connections to the server.
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
        return  # the head shows that the request was not executed; the connection is not reused
