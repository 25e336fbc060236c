"""Tests of entries of servers that go while the store is down: how long daemons keep them."""

import unittest

from larkpost.common.ids import InstanceId
from larkpost.gateway.controllers.row_recorder import EXPIRY_CONFIRMATION_SECONDS
from larkpost.gateway.store.port import RowKey, Transaction
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests.platform_fleet import PlatformFleet
from tests.virtual import run

CONTACT_SECONDS, DRAIN_SECONDS = 3.0, 2.0
"""The users' bounds: a daemon is bound to leave the server alone this long after the outage."""
MARGIN_SECONDS = 0.1
"""What is left for slow machines and links."""
RETURN_SECONDS = 2.0
"""Entries that lapsed during an outage come back this long after it if their servers live."""
OUTAGE_SECONDS = 0.1
"""Short, so that a feed call that begins in it, which may take 2.5 s, fails long after its end."""
PHASES, PHASE_SECONDS = 26, 0.05
"""Moments of the outage's beginning; they cover the time between two feed calls."""
NOTICED_SECONDS = 1.5
"""An entry is kept for less if no call of the daemon fell into the outage."""
SERVER = InstanceId("engine-1")


class ExpiredEntryTest(unittest.TestCase):
    """A server's entry goes during an outage of the store, and does not come back."""

    def kept_seconds(self, phase: int) -> float:
        """Returns how long after the end of the outage a daemon still knows the server."""

        async def play() -> float:
            fleet = PlatformFleet(gateways=1)
            await fleet.wait(1.0 + phase * PHASE_SECONDS)
            fleet.store.faults = StoreFaults(down=True)
            await fleet.wait(OUTAGE_SECONDS)
            fleet.store.apply(Transaction(removals=(RowKey("instances", "", SERVER),)))
            fleet.store.faults = StoreFaults()
            ended_at = fleet.now()
            while fleet.gateways[0].directory.get(SERVER) is not None:
                await fleet.wait(0.01)
            return fleet.now() - ended_at

        return run(play())

    def test_entry_is_dropped_in_time_and_not_before_it_may_have_come_back(self) -> None:
        kept = [self.kept_seconds(phase) for phase in range(PHASES)]
        kept = [seconds for seconds in kept if seconds > NOTICED_SECONDS]
        self.assertGreater(min(kept), RETURN_SECONDS)
        self.assertGreater(max(kept), EXPIRY_CONFIRMATION_SECONDS + 2.0)  # a call that fails late
        self.assertLess(max(kept), CONTACT_SECONDS + DRAIN_SECONDS - MARGIN_SECONDS)
