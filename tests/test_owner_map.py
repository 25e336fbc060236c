"""Tests that incrementally updated owners equal owners computed from scratch."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from larkpost.common.ids import Address, DaemonId, EngineId, PoolId, ZoneId
from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.blackboard.engines import EngineInfo
from larkpost.standalone.blackboard.members import MemberInfo, MemberState, MemberTable
from larkpost.standalone.controllers.owner_map import OwnerMap

ZONES = (ZoneId("a"), ZoneId("b"))
changes = st.lists(
    st.tuples(
        st.sampled_from(["daemon", "engine"]),
        st.integers(0, 6),
        st.sampled_from(ZONES),
        st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD]),
        st.booleans(),
    ),
    max_size=30,
)


def make_member(number: int, zone: ZoneId, **fields) -> MemberInfo:
    return MemberInfo(DaemonId(f"d{number}"), zone, Address("h:1"), 1, **fields)


class OwnerMapTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=200)
    @given(changes)
    def test_incremental_updates_give_the_same_owners_as_a_full_computation(self, steps):
        board = Blackboard(MemberTable(make_member(0, ZONES[0])))
        incremental = OwnerMap(board)
        for kind, number, zone, state, leaving in steps:
            if kind == "daemon" and number > 0:
                member = make_member(number, ZONES[number % 2], state=state, leaving=leaving)
                board.members.put(member)
            elif kind == "engine":
                info = EngineInfo(EngineId(f"e{number}"), zone, Address("h:2"), PoolId("p"))
                board.engines.put(info)
            fresh = OwnerMap(board)
            for engine in board.engines.directory:
                self.assertEqual(incremental.owner_of(engine), fresh.owner_of(engine))
