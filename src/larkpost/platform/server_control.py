"""Control calls to engines: status reports and orders to load weight versions.

Both are safe to repeat: a report changes nothing, and an order carries the number of orders that
the engine must have accepted before, so a duplicate is rejected.
"""

import asyncio
from dataclasses import dataclass

import aiohttp
import orjson

from larkpost.common.limited_body import read_limited
from larkpost.gateway.blackboard.directory import InstanceInfo
from larkpost.gateway.servers.port import (
    BrokenResponseError,
    EngineReport,
    OrderOutcome,
    VersionOrder,
)
from larkpost.platform import names
from larkpost.platform.dead_connections import CallKind
from larkpost.platform.operator import PARSE_ERRORS
from larkpost.platform.server_messages import order_document, read_report
from larkpost.platform.server_refusals import ResponseMatch, match_response
from larkpost.platform.server_requests import server_url
from larkpost.platform.server_responses import RESPONSE_FAILURES, record_keep_alive
from larkpost.platform.watched_connection import CallOptions

OK = 200
ORDER_OUTCOMES = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.TAKEN,
    400: OrderOutcome.REJECTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.WRONG_INSTANCE,
}
MAX_CONTROL_BODY_BYTES = 262_144
"""Maximum body of a report or of the response to an order; a report has some 100 bytes a model."""


@dataclass(frozen=True, slots=True)
class ControlCall:
    """One control call.

    Attributes:
        target: the encoded path.
        body: a JSON document; None for a call without a body.
        response_key: see `CallOptions.response_key`; responses to control calls repeat no id.
    """

    method: str
    target: str
    body: bytes | None = None
    response_key: bytes | None = None

    def headers(self, instance: InstanceInfo) -> dict[str, str]:
        """Returns the headers; they name the instance, and any other instance rejects the call."""
        headers = {names.EXPECT_INSTANCE.decode(): instance.name}
        if self.body is not None:
            headers["Content-Type"] = "application/json"
        return headers


class ControlClient:
    """Makes control calls over the connections of a session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def report(self, instance: InstanceInfo, timeout: float) -> EngineReport | None:
        """Requests an engine's report; see `ServerPort.report`.

        A late response to an earlier request on the connection either carries the id of that
        request or cannot be parsed as a report; it is dropped in both cases. An earlier report may
        be taken for this one: reports are old anyway, and an order names the orders before it.
        """
        call = ControlCall("GET", names.REPORT_PATH)
        try:
            status, content = await self._call(call, instance, timeout)
            return read_report(content) if status == OK else None
        except (BrokenResponseError, *RESPONSE_FAILURES, *PARSE_ERRORS):
            return None  # the caller logs it and retries

    async def order(
        self, instance: InstanceInfo, order: VersionOrder, timeout: float
    ) -> OrderOutcome:
        """Orders an engine to load a weight version; see `ServerPort.order`.

        No connection carries two orders. The response to an earlier report may be taken for
        `OrderOutcome.HOLDS`, after which the engine's next report shows what it has.
        """
        body = orjson.dumps(order_document(order))
        call = ControlCall("POST", names.ORDER_PATH, body, names.ORDER_PATH.encode())
        try:
            status, _ = await self._call(call, instance, timeout)
        except (BrokenResponseError, *RESPONSE_FAILURES):
            return OrderOutcome.UNKNOWN  # the next report shows whether it was carried out
        return ORDER_OUTCOMES.get(status, OrderOutcome.UNKNOWN)

    async def _call(
        self, call: ControlCall, instance: InstanceInfo, timeout: float
    ) -> tuple[int, bytes]:
        """Makes a call and returns the status and body of the response.

        Args:
            timeout: seconds for the whole call.

        Raises:
            BrokenResponseError: the response belongs to an earlier request.
        """
        async with (
            asyncio.timeout(timeout),
            self._session.request(
                call.method,
                server_url(instance.address, call.target),
                data=call.body,
                headers=call.headers(instance),
                timeout=CallOptions(kind=CallKind.CONTROL, response_key=call.response_key),
            ) as response,
        ):
            if match_response(response.headers, None) is ResponseMatch.OTHER_REQUEST:
                response.close()
                raise BrokenResponseError("the response belongs to an earlier request")
            record_keep_alive(self._session.connector, instance.address, response)
            return response.status, await read_limited(response, MAX_CONTROL_BODY_BYTES)
