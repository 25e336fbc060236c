"""Builds the objects that `tests.test_pinned_rows` needs.

The pinned formats in that module are never edited; changes in how objects are built belong here.
"""

from larkpost.common.clock import LoopClock
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.controllers.heartbeat_writer import LocalDaemon
from larkpost.gateway.controllers.membership import Membership
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.proxy.request import ClientRequest
from larkpost.gateway.scaling.port import ScalingMode
from larkpost.platform.stand_in.memory_store import MemoryStore, StoreClient
from tests.platform_fleet import PlatformFleet


def make_member(name: str, store: MemoryStore, clock: LoopClock, told: dict) -> Membership:
    """Returns a member that ignores others' heartbeats and puts their summaries into `told`."""
    client = StoreClient(store, answer_seconds=0.0)
    instruments = Instruments(clock, EventLog(name))
    return Membership(LocalDaemon(name), client, instruments, RegionMap(), told.__setitem__)


def make_active_member(name: str, store: MemoryStore, clock: LoopClock) -> Membership:
    """Returns a member that owns batches, uses two slots of engine-3/1 and relays calls."""
    own = LocalDaemon(
        name,
        use=lambda: {"engine-3/1": (2, 0.5)},
        is_owner=lambda: True,
        clock_offset=lambda: 0.01234,
        address="10.0.0.9:7000",
    )
    client = StoreClient(store, answer_seconds=0.0)
    return Membership(own, client, Instruments(clock, EventLog(name)), RegionMap("north"))


def make_scaled_fleet() -> PlatformFleet:
    """Returns a fleet whose daemons replace lost servers."""
    return PlatformFleet(gateways=3, engines=12, scaling_mode=ScalingMode.REPLACE)


async def forward(fleet: PlatformFleet, request: ClientRequest, route) -> None:
    """Sends a client request to the first daemon of a fleet."""
    await fleet.gateways[0].forwarder.forward(request, route)
