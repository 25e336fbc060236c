"""Clients of the platform's table service and machine list over HTTP."""

import base64
from typing import Any

import aiohttp
import orjson

from larkpost.common.errors import PlatformError
from larkpost.common.ids import Address, EngineId, PoolId, ZoneId
from larkpost.common.limited_body import read_limited
from larkpost.standalone.documents import parse_json_object
from larkpost.standalone.table_service.ports import MachineEntry, Row

MAX_BODY_BYTES = 33_554_432
"""Maximum body of an answer; a row or a list of machines has a few MB at most."""
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError)


class HttpPlatform:
    """The table service and the machine list at one platform address."""

    def __init__(self, session: aiohttp.ClientSession, address: Address) -> None:
        self._session = session
        self._base = f"http://{address}"

    async def read(self, key: str, timeout: float) -> Row | None:
        fields = await self._call("GET", "/table", {"key": key}, None, timeout)
        if fields["version"] == 0:
            return None
        return Row(fields["version"], base64.b64decode(fields["value"]))

    async def compare_and_set(
        self, key: str, expected_version: int, value: bytes, timeout: float
    ) -> bool:
        body = {
            "key": key,
            "expected_version": expected_version,
            "value": base64.b64encode(value).decode(),
        }
        fields = await self._call("POST", "/table", {}, body, timeout)
        return bool(fields["written"])

    async def entries(self, zone: ZoneId | None, timeout: float) -> list[MachineEntry]:
        params = {"zone": zone} if zone is not None else {}
        fields = await self._call("GET", "/machines", params, None, timeout)
        return [_parse_machine(entry) for entry in fields["machines"]]

    async def _call(
        self, method: str, path: str, params: dict[str, str], body: Any, timeout: float
    ) -> dict[str, Any]:
        client_timeout = aiohttp.ClientTimeout(total=timeout)
        data = orjson.dumps(body) if body is not None else None
        url = self._base + path
        try:
            async with self._session.request(
                method, url, params=params, data=data, timeout=client_timeout
            ) as response:
                content = await read_limited(response, MAX_BODY_BYTES)
                if response.status != 200:
                    raise PlatformError(f"{method} {path}: status {response.status}")
                return parse_json_object(content)
        except CALL_ERRORS as error:
            raise PlatformError(f"{method} {path}: {error!r}") from error


def _parse_machine(fields: dict[str, Any]) -> MachineEntry:
    return MachineEntry(
        engine=EngineId(fields["engine"]),
        zone=ZoneId(fields["zone"]),
        address=Address(fields["address"]),
        pool=PoolId(fields["pool"]),
        leaving=fields["leaving"],
        revision=fields["revision"],
    )
