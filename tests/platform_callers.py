"""Clients of an in-memory fleet."""

from dataclasses import replace

from larkpost.common.errors import LarkpostError
from larkpost.gateway.proxy.request import ClientRequest
from tests.platform_fleet import SCORER_HOST, PlatformFleet

CALLER_TRIES = 2
WAIT_SECONDS = 1.5


class Caller:
    """Sends requests to a fleet's scoring servers as clients do."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self._sent = 0

    async def ask(self, daemon: int, target: bytes, body: bytes = b"") -> int:
        """Sends a request once, and returns the status of its response."""
        self._sent += 1
        gateway = self._fleet.gateways[daemon % len(self._fleet.gateways)]
        name = f"request-{self._sent}".encode()
        now = self._fleet.clock.now()
        host = SCORER_HOST.encode()
        request = ClientRequest(name, "POST", host, target, (), body, now, WAIT_SECONDS)
        try:
            admitted = gateway.admission.admit(name.decode(), SCORER_HOST, target, None)
            request = replace(request, regions=admitted.regions)
            return (await gateway.forwarder.forward(request, admitted.route)).status
        except LarkpostError as error:
            return error.status

    async def ask_twice(self, daemon: int, target: bytes) -> int:
        """Sends a request, and retries once at the next daemon if it was not served."""
        for attempt in range(CALLER_TRIES):
            status = await self.ask(daemon + attempt, target)
            if status == 200:
                break
        return status
