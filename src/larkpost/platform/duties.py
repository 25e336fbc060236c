"""The adapter to the platform's API, which only the daemon that holds a lease calls.

Sends usage reports and scaling orders, and translates the statuses of the responses.
"""

import asyncio

import aiohttp
import orjson
from yarl import URL

from larkpost.common.ids import Address
from larkpost.common.limited_body import read_limited
from larkpost.gateway.controllers.leases import Lease
from larkpost.gateway.scaling.port import ScalingOrder, ScalingOutcome, ServerKind
from larkpost.gateway.usage.port import ReportOutcome, UsageReport
from larkpost.platform import names
from larkpost.platform.connections import make_session
from larkpost.platform.dead_connections import DeadConnectionDetector, UpstreamKind

CALL_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
"""Errors that a call may raise."""
MAX_BODY_BYTES = 65_536
"""Maximum body of a response; only its status is used."""
NO_RESPONSE_STATUS = 0
"""Placeholder status of a call without a response."""
REPORT_OUTCOMES = {
    200: ReportOutcome.TAKEN,
    409: ReportOutcome.FENCED,
    500: ReportOutcome.UNKNOWN,
    NO_RESPONSE_STATUS: ReportOutcome.UNKNOWN,
}

SCALING_OUTCOMES = {
    200: ScalingOutcome.TAKEN,
    409: ScalingOutcome.REFUSED,
    500: ScalingOutcome.UNKNOWN,
    NO_RESPONSE_STATUS: ScalingOutcome.UNKNOWN,
}


class HttpDuties:
    """Sends usage reports and scaling orders; implements `UsagePort` and `ScalingPort`.

    Args:
        address: address of the platform's API.
    """

    def __init__(self, address: Address) -> None:
        self._base_url = f"http://{address}"
        self._session = make_session(DeadConnectionDetector(UpstreamKind.STORE))

    def set_address(self, address: Address) -> None:
        """Changes the address for all later calls."""
        self._base_url = f"http://{address}"

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def report_usage(
        self, report: UsageReport, holder: str, lease: Lease, timeout: float
    ) -> ReportOutcome:
        """Sends a usage report; see `UsagePort.report_usage`."""
        document = {"window-id": report.window, "counts": report.counts}
        status = await self._call(names.USAGE_PATH, document, holder, lease, timeout)
        return REPORT_OUTCOMES.get(status, ReportOutcome.NOT_TAKEN)

    async def order_servers(
        self, order: ScalingOrder, holder: str, lease: Lease, timeout: float
    ) -> ScalingOutcome:
        """Orders servers from the platform; see `ScalingPort.order_servers`."""
        document: dict[str, object] = {
            "service": order.service,
            "zone": order.zone,
            "desired": order.desired,
        }
        if order.kind is ServerKind.PREEMPTIBLE:
            document["preemptible"] = True
        status = await self._call(names.SCALING_PATH, document, holder, lease, timeout)
        return SCALING_OUTCOMES.get(status, ScalingOutcome.NOT_TAKEN)

    async def _call(
        self, call: str, document: dict[str, object], holder: str, lease: Lease, timeout: float
    ) -> int:
        """Makes a call under a lease and returns its status.

        Returns `NO_RESPONSE_STATUS` if there was no whole response.
        """
        headers = {
            names.LEASE_HOLDER.decode(): holder,
            names.FENCING_TOKEN.decode(): str(lease.token),
            "Content-Type": "application/json",
        }
        url = URL(self._base_url + call, encoded=True)
        try:
            async with (
                asyncio.timeout(timeout),
                self._session.post(url, data=orjson.dumps(document), headers=headers) as response,
            ):
                await read_limited(response, MAX_BODY_BYTES)
                return response.status
        except CALL_FAILURES:
            return NO_RESPONSE_STATUS  # the lease holder logs it and retries
