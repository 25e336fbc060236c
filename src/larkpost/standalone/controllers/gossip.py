"""Sends and receives datagrams between daemons and dispatches each body to its controller."""

from collections.abc import Callable

from google.protobuf.message import DecodeError

from larkpost.common.ids import Address, DaemonId
from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.blackboard.members import MemberInfo, MemberState
from larkpost.standalone.telemetry import Telemetry
from larkpost.standalone.wire import larkpost_pb2 as pb
from larkpost.standalone.wire.peer import PeerTransport

BodyHandler = Callable[[pb.Envelope], None]


class Gossip:
    """Wraps bodies in envelopes that also carry membership updates and the fact digest."""

    def __init__(self, board: Blackboard, transport: PeerTransport, telemetry: Telemetry) -> None:
        self._board = board
        self._transport = transport
        self._telemetry = telemetry
        self._handlers: dict[str, BodyHandler] = {}
        self.pick_updates: Callable[[], list[pb.Member]] = list
        """Set by the membership controller: returns the updates to piggyback."""
        self.apply_updates: Callable[[pb.Member, list[pb.Member]], None] = lambda _s, _u: None
        """Set by the membership controller: applies the sender's state and its updates."""
        self.compare_digest: Callable[[DaemonId, int], None] = lambda _d, _n: None
        """Set by the fact controller: compares a peer's digest with the local one."""

    def register_handler(self, body: str, handler: BodyHandler) -> None:
        """Registers the handler of a body kind, a field of the envelope's ``body`` oneof."""
        self._handlers[body] = handler

    def send(self, target: MemberInfo, envelope: pb.Envelope) -> None:
        """Sends to a known member; a suspect or dead one is sent its own state to refute."""
        if target.state != MemberState.ALIVE:
            envelope.updates.append(target.to_message())
        self.send_to_address(target.address, envelope)

    def send_to_address(self, address: Address, envelope: pb.Envelope) -> None:
        """Adds the sender, updates and fact digest to the envelope and sends it."""
        envelope.sender.CopyFrom(self._board.members.own.to_message())
        envelope.updates.extend(self.pick_updates())
        envelope.fact_digest = self._board.facts.digest
        data = envelope.SerializeToString()
        self._telemetry.count("control_bytes_sent", len(data))
        self._transport.send(address, data)

    def receive(self, data: bytes) -> None:
        """Handles a datagram; undecodable ones and this daemon's own are dropped."""
        self._telemetry.count("control_bytes_received", len(data))
        try:
            envelope = pb.Envelope.FromString(data)
        except DecodeError:
            return
        if envelope.sender.id == self._board.members.own.id:
            return
        self.apply_updates(envelope.sender, list(envelope.updates))
        self.compare_digest(DaemonId(envelope.sender.id), envelope.fact_digest)
        handler = self._handlers.get(envelope.WhichOneof("body") or "")
        if handler is not None:
            handler(envelope)
