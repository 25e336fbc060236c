"""Idempotency keys: grants each key of a run-once request at most once in the fleet.

A key is either a ticket, issued by a daemon and consumed in its memory (it needs no store, and is
lost with the daemon), or a name chosen by the caller, claimed with a row of the table service. A
request without a key cannot be repeated by its caller, so only the daemon that received it runs it.
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
"""Number of the last issued tickets that are kept; older ones count as used."""


class KeyStoreUnavailableError(LarkpostError):
    """It is unknown at present whether the key was used before."""

    code = "key_store_unavailable"
    status = 503
    remedy = "Ask again with a ticket from POST /v1/tickets, which needs no store."


@dataclass(frozen=True, slots=True)
class Ticket:
    """A run-once key issued by one incarnation of a daemon."""

    daemon: DaemonId
    incarnation: int
    number: int

    def encode(self) -> str:
        """Returns the ticket as key text."""
        return f"{TICKET_PREFIX}:{self.daemon}:{self.incarnation}:{self.number}"


def parse_ticket(key: str) -> Ticket | None:
    """Returns the ticket, or None if the key is a name chosen by the caller."""
    parts = key.split(":")
    if len(parts) != 4 or parts[0] != TICKET_PREFIX:
        return None
    if not parts[2].isdigit() or not parts[3].isdigit():
        return None
    return Ticket(DaemonId(parts[1]), int(parts[2]), int(parts[3]))


class RunOnceRegistry:
    """Grants each run-once key at most once in the fleet."""

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
        """Incarnation at start, which tickets name; later refutations do not invalidate them."""
        self._issued = 0
        self._open_tickets: set[int] = set()

    def issue(self) -> Ticket:
        """Issues a ticket and drops the one issued ``MAX_OPEN_TICKETS`` before it if unused."""
        self._issued += 1
        self._open_tickets.add(self._issued)
        self._open_tickets.discard(self._issued - MAX_OPEN_TICKETS)
        return Ticket(self._board.members.own.id, self._start_incarnation, self._issued)

    async def claim(self, key: str) -> None:
        """Claims the key, so that no other request with it runs.

        Raises:
            AlreadyClaimedError: the key was claimed before; its request may have run.
            KeyStoreUnavailableError: it is unknown whether the key was claimed before.
        """
        ticket = parse_ticket(key)
        granted = await (self._claim_row(key) if ticket is None else self._claim_ticket(ticket))
        if not granted:
            raise AlreadyClaimedError(f"the key {key!r} was used before", ran=Ran.UNKNOWN)

    def is_unused(self, key: str) -> bool:
        """Whether this daemon knows without a remote call that the key was never claimed."""
        ticket = parse_ticket(key)
        return ticket is not None and self._is_open(ticket)

    async def on_remote_claim(self, payload: bytes) -> bytes:
        """Consumes a ticket of this daemon for another daemon; an empty answer means refused."""
        ticket = parse_ticket(pb.RunOnceRequest.FromString(payload).key)
        return b"1" if ticket is not None and self._consume(ticket) else b""

    def _consume(self, ticket: Ticket) -> bool:
        if not self._is_open(ticket):
            return False
        self._open_tickets.remove(ticket.number)
        return True

    def _is_open(self, ticket: Ticket) -> bool:
        is_own = (
            ticket.daemon == self._board.members.own.id
            and ticket.incarnation == self._start_incarnation
        )
        return is_own and ticket.number in self._open_tickets

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
                f"daemon {ticket.daemon!r}, which issued the ticket, does not answer",
                remedy="Ask that daemon, or use a new ticket if a second run is harmless.",
                ran=Ran.UNKNOWN,
            ) from None
        return answer == b"1"

    async def _claim_row(self, key: str) -> bool:
        own_claim = f"{self._board.members.own.id}/{uuid.uuid4().hex}".encode()
        timeout = self._settings.platform_timeout
        try:
            return await self._table.compare_and_set(ROW_PREFIX + key, 0, own_claim, timeout)
        except PlatformError:
            pass  # the write may have taken effect: read the row
        try:
            row = await self._table.read(ROW_PREFIX + key, timeout)
        except PlatformError as error:
            raise KeyStoreUnavailableError(
                f"the table service did not answer whether key {key!r} was used",
                ran=Ran.UNKNOWN,
                retry_after=timeout,
            ) from error
        if row is None:
            # The lost write may still arrive and claim the key, so running is not safe.
            raise KeyStoreUnavailableError(
                f"the claim of key {key!r} got no answer and is not stored yet",
                ran=Ran.UNKNOWN,
                retry_after=timeout,
            )
        return row.value == own_claim
