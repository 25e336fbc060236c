"""Requests that may run at most once: who may still run a key.

A key is either a ticket, issued by a daemon and consumed in that daemon's memory (no store is
needed, and the ticket dies with the daemon), or a name of the caller's choice, claimed by a row of
the table service. A request without a key cannot be asked again, so the daemon that took it is the
only one that can run it.
"""

import uuid
from dataclasses import dataclass

from larkpost.common.errors import AlreadyClaimedError, LarkpostError, PlatformError, Ran
from larkpost.common.ids import DaemonId
from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.settings import ConfigurationSettings
from larkpost.standalone.table_service.ports import TableStore
from larkpost.standalone.wire import larkpost_pb2 as pb
from larkpost.standalone.wire.peer import PeerError, PeerMethod, PeerTransport

TICKET_PREFIX = "ticket"
ROW_PREFIX = "run-once/"
REMOTE_TIMEOUT = 1.0
"""Seconds to wait for the daemon that issued a ticket."""
MAX_OPEN_TICKETS = 1_000_000
"""Tickets after whose number an older one counts as used."""


class KeyStoreUnavailableError(LarkpostError):
    """Whether the key was used before cannot be known now."""

    code = "key_store_unavailable"
    status = 503
    remedy = "Ask again with a ticket from POST /v1/tickets, which needs no store."


@dataclass(frozen=True, slots=True)
class Ticket:
    """A key issued by one incarnation of a daemon."""

    daemon: DaemonId
    incarnation: int
    number: int

    def encode(self) -> str:
        """Returns the key text."""
        return f"{TICKET_PREFIX}:{self.daemon}:{self.incarnation}:{self.number}"


def parse_ticket(key: str) -> Ticket | None:
    """Returns the ticket, or None if the key is a name of the caller's choice."""
    parts = key.split(":")
    if len(parts) != 4 or parts[0] != TICKET_PREFIX:
        return None
    if not parts[2].isdigit() or not parts[3].isdigit():
        return None
    return Ticket(DaemonId(parts[1]), int(parts[2]), int(parts[3]))


class RunOnceRegistry:
    """Grants each key once, fleet-wide."""

    def __init__(
        self,
        board: Blackboard,
        table: TableStore,
        transport: PeerTransport,
        settings: ConfigurationSettings,
    ) -> None:
        self._board = board
        self._table = table
        self._transport = transport
        self._settings = settings
        self._start_incarnation = board.members.own.incarnation
        """Incarnation at the start: refutations raise the member's, but the memory is the same."""
        self._issued = 0
        self._open_tickets: set[int] = set()

    def issue(self) -> Ticket:
        """Issues a ticket; the oldest open one is dropped when too many were never used."""
        self._issued += 1
        self._open_tickets.add(self._issued)
        self._open_tickets.discard(self._issued - MAX_OPEN_TICKETS)
        return Ticket(self._board.members.own.id, self._start_incarnation, self._issued)

    async def claim(self, key: str) -> None:
        """Claims the right to run the key's request.

        Raises:
            AlreadyClaimedError: it was taken before; the request may have run.
            KeyStoreUnavailableError: it could not be found out.
        """
        ticket = parse_ticket(key)
        granted = await (self._claim_row(key) if ticket is None else self._claim_ticket(ticket))
        if not granted:
            raise AlreadyClaimedError(f"the key {key!r} was used before", ran=Ran.UNKNOWN)

    def is_unused(self, key: str) -> bool:
        """Whether it is certain, without asking anyone, that the key's request never ran."""
        ticket = parse_ticket(key)
        return ticket is not None and self._is_open(ticket)

    async def on_remote_claim(self, payload: bytes) -> bytes:
        """Consumes a ticket of this daemon for another one; the answer is empty if refused."""
        ticket = parse_ticket(pb.RunOnceRequest.FromString(payload).key)
        return b"1" if ticket is not None and self._consume(ticket) else b""

    def _consume(self, ticket: Ticket) -> bool:
        if not self._is_open(ticket):
            return False
        self._open_tickets.remove(ticket.number)
        return True

    def _is_open(self, ticket: Ticket) -> bool:
        own = (
            ticket.daemon == self._board.members.own.id
            and ticket.incarnation == self._start_incarnation
        )
        return own and ticket.number in self._open_tickets

    async def _claim_ticket(self, ticket: Ticket) -> bool:
        if ticket.daemon == self._board.members.own.id:
            return self._consume(ticket)
        issuer = self._board.members.get(ticket.daemon)
        if issuer is None:
            return False
        payload = pb.RunOnceRequest(key=ticket.encode()).SerializeToString()
        try:
            answer = await self._transport.request(
                issuer.address, PeerMethod.RUN_ONCE, payload, REMOTE_TIMEOUT
            )
        except PeerError:
            raise KeyStoreUnavailableError(
                f"the ticket's daemon {ticket.daemon!r} does not answer",
                remedy="Ask that daemon, or take a new ticket if a second run is harmless.",
                ran=Ran.UNKNOWN,
            ) from None
        return answer == b"1"

    async def _claim_row(self, key: str) -> bool:
        own_claim = f"{self._board.members.own.id}/{uuid.uuid4().hex}".encode()
        timeout = self._settings.platform_timeout
        try:
            return await self._table.compare_and_set(ROW_PREFIX + key, 0, own_claim, timeout)
        except PlatformError:
            pass  # the write may have taken effect: read it back
        try:
            row = await self._table.read(ROW_PREFIX + key, timeout)
        except PlatformError as error:
            raise KeyStoreUnavailableError(
                f"the table service does not tell whether key {key!r} was used",
                ran=Ran.UNKNOWN,
                retry_after=timeout,
            ) from error
        if row is None:
            # The lost write may still arrive and would then hold the key; it is not safe to run.
            raise KeyStoreUnavailableError(
                f"the claim of key {key!r} was lost", ran=Ran.UNKNOWN, retry_after=timeout
            )
        return row.value == own_claim
