"""The adapter to the platform's calls that one daemon at a time makes."""

import asyncio

import aiohttp
import orjson
from yarl import URL

from larkpost.fleet.leases import Lease
from larkpost.ids import Address
from larkpost.platform import names
from larkpost.platform.connections import make_session
from larkpost.usage.port import ReportOutcome, UsageReport

CALL_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
"""Everything a call may end with besides an answer."""


class HttpDuties:
    """Makes the calls; implements `larkpost.usage.port.UsagePort`.

    Args:
        address: where the platform takes them.
    """

    def __init__(self, address: Address) -> None:
        self._base = f"http://{address}"
        self._session = make_session()

    def move(self, address: Address) -> None:
        """Takes another address for all later calls."""
        self._base = f"http://{address}"

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def report_usage(
        self, report: UsageReport, holder: str, lease: Lease, timeout: float
    ) -> ReportOutcome:
        """Sends a report; see the port."""
        body = orjson.dumps({"window-id": report.window, "counts": report.counts})
        headers = {
            names.LEASE_HOLDER.decode(): holder,
            names.FENCING_TOKEN.decode(): str(lease.token),
            "Content-Type": "application/json",
        }
        url = URL(self._base + names.USAGE_CALL, encoded=True)
        try:
            async with (
                asyncio.timeout(timeout),
                self._session.post(url, data=body, headers=headers) as response,
            ):
                await response.read()
                return _outcome(response.status)
        except CALL_FAILURES:
            return ReportOutcome.UNKNOWN  # the reporter notes it and repeats it


def _outcome(status: int) -> ReportOutcome:
    if status == 200:
        return ReportOutcome.TAKEN
    if status == 409:
        return ReportOutcome.FENCED
    return ReportOutcome.NOT_TAKEN if status < 500 or status == 503 else ReportOutcome.UNKNOWN
