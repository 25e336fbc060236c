"""A cold engine, and daemons' views of the senders to it, for tests."""

from larkpost.common.ids import Address, DaemonId, InstanceId, ZoneId
from larkpost.gateway.blackboard.directory import InstanceInfo, InstanceState
from larkpost.gateway.placement.cold_rate_quota import (
    SenderView,
)
from larkpost.gateway.placement.work import Work, WorkKind
from tests.platform_fleet import (
    COLD_TERMS,
    CONFIGURATION,
    ENGINES,
)

ENGINE = InstanceId("engine-0")
OTHER_ENGINE = InstanceId("engine-1")
NEW_ENGINE = InstanceId("new")
RATE = CONFIGURATION.services[ENGINES].cold_rate
BOUND = COLD_TERMS.bound(RATE)
ITEM_WORK = Work(WorkKind.ITEM)
INFO = InstanceInfo(ENGINE, ENGINES, Address("10.0.0.1:1"), ZoneId("z"), 8, InstanceState.READY)
LONG_SECONDS = 30.0
"""Longer than any of these tests."""


def daemon_ids(count: int) -> list[DaemonId]:
    """Returns the ids of some daemons."""
    return [DaemonId(f"daemon-{number}/0") for number in range(count)]


def established_view(own: DaemonId, owners: list[DaemonId]) -> SenderView:
    """Returns the view of a daemon that knows all owners and is known to them."""
    everyone = frozenset(owners)
    return SenderView(own, everyone, everyone, True, True, False)
