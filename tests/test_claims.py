"""Cases of the rule by which a daemon claims a batch that another one owns."""

import unittest
from dataclasses import replace
from unittest import mock

from larkpost.common.clock import LoopClock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.rollouts.batch_head_cache import CachedBatchHead
from larkpost.gateway.rollouts.claims import CLAIM_INTERVAL_SECONDS, BatchClaims
from larkpost.gateway.rollouts.model import BatchHead
from tests.virtual import run

OWN = DaemonId("own")
HEAD = BatchHead(
    id=BatchId("batch"),
    host="h",
    path="/r",
    model=ModelName("m"),
    step=0,
    minimum_version=0,
    desired_groups=1,
    total=1,
    owner=DaemonId("dead"),
    created_at=0.0,
    ended=False,
    upload="u",
)
KNOWN = CachedBatchHead(HEAD, version=1, owner_since=0.0)
MUST_CLAIM = {"listed": True, "coordinates": True, "owner_alive": False, "successor": OWN}
CASES = (
    ("the owner is dead, and this daemon is its successor", {}, True),
    ("heartbeats are not listed yet", {"listed": False}, False),
    ("this daemon is no coordinator", {"coordinates": False}, False),
    ("the owner counts as alive", {"owner_alive": True}, False),
    ("another daemon is its successor", {"successor": DaemonId("other")}, False),
    ("no daemon may run the batch", {"successor": None}, False),
)


def make_claims(clock: LoopClock, listed, coordinates, owner_alive, successor) -> BatchClaims:
    """Returns the claims of a daemon whose membership gives these answers."""
    membership = mock.Mock()
    membership.own = OWN
    membership.listed = listed
    membership.is_coordinator.return_value = coordinates
    membership.is_owner_alive.return_value = owner_alive
    membership.choose_coordinator.return_value = successor
    services = mock.Mock()
    services.clock = clock
    return BatchClaims(mock.Mock(), membership, services, lambda _: None)


class ClaimTest(unittest.TestCase):
    """The table of cases, and the pause between two claims of one batch."""

    def test_cases(self):
        async def play():
            for case, changed, expected in CASES:
                with self.subTest(case):
                    claims = make_claims(LoopClock(), **(MUST_CLAIM | changed))
                    self.assertEqual(expected, claims.should_claim(KNOWN))

        run(play())

    def test_a_batch_is_not_claimed_again_for_a_while(self):
        async def play():
            clock = LoopClock()
            claims = make_claims(clock, **MUST_CLAIM)
            claims.record_claim(HEAD.id)
            await clock.sleep(CLAIM_INTERVAL_SECONDS - 0.01)
            self.assertFalse(claims.should_claim(KNOWN))
            other = replace(KNOWN, head=replace(HEAD, id=BatchId("other")))
            self.assertTrue(claims.should_claim(other))
            await clock.sleep(0.02)
            self.assertTrue(claims.should_claim(KNOWN))

        run(play())


if __name__ == "__main__":
    unittest.main()
