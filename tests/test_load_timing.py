"""Load: a trainer that waits for each version, so that two steps come a second apart.

Its second step wants a version that was named with the first one: engines that load in turns of a
second each would all lack it.
"""

import unittest

from larkpost.common.clock import LoopClock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.weight_targets import (
    Demands,
    ModelDemand,
    WeightTarget,
    WeightTargets,
)
from larkpost.gateway.controllers.due_loads import (
    BUSY_FIRST_SECONDS,
    GROUP_SECONDS,
    URGENT_FIRST_SECONDS,
    WAITED_SECONDS,
    LoadInputs,
    due_loads,
    is_urgent,
)
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.known_heads import FRESH_SECONDS, KnownHeads
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.batch_tables import HEAD_TABLE
from larkpost.gateway.store.port import Row, RowKey
from tests.server_parts import FIRST, SECOND, TWO_MODELS, make_directory
from tests.virtual import run

NAMED_AT = 10.0
WAITS = ModelDemand(100, open=True, asked_after=0.02)
"""The newest batch came with its version, and no earlier one is open."""
CASES = (
    ("nothing is known", ModelDemand(), False),
    ("came with its version, no earlier batch is open", WAITS, True),
    ("an earlier batch is open", ModelDemand(100, True, True, 0.02), False),
    ("came long after its version", ModelDemand(100, True, False, WAITED_SECONDS), False),
    ("when it came is not known", ModelDemand(100, True, False, None), False),
)


class UrgentLoadTest(unittest.TestCase):
    """When the engines of a model load together."""

    def due(self, demands: Demands, elapsed: float) -> int:
        """Returns how many of four engines load, so long after the second version was named."""
        directory = make_directory(8, TWO_MODELS.name, slots=8)
        targets = WeightTargets()
        targets.update(WeightTarget(FIRST, 2), NAMED_AT)
        inputs = LoadInputs(directory, targets, demands)
        return len(due_loads(TWO_MODELS, inputs, NAMED_AT + elapsed))

    def test_the_next_step_is_near(self):
        for name, demand, expected in CASES:
            with self.subTest(name):
                self.assertIs(expected, is_urgent(demand))

    def test_engines_load_together_once_the_items_have_found_their_places(self):
        self.assertEqual(0, self.due({FIRST: WAITS}, URGENT_FIRST_SECONDS - 0.1))
        self.assertEqual(4, self.due({FIRST: WAITS}, URGENT_FIRST_SECONDS + 0.1))

    def test_engines_load_in_turns_while_there_is_time(self):
        at_leisure = {FIRST: ModelDemand(100, open=True, asked_after=2.7)}
        self.assertEqual(0, self.due(at_leisure, BUSY_FIRST_SECONDS - 0.1))
        self.assertEqual(2, self.due(at_leisure, BUSY_FIRST_SECONDS + 0.1))
        self.assertEqual(2, self.due(at_leisure, BUSY_FIRST_SECONDS + GROUP_SECONDS + 0.1))


class AskedAfterTest(unittest.TestCase):
    """How long after its version a batch came, as the heads of batches tell it."""

    def setUp(self):
        self.since_named: float | None = 0.05
        self.age: float | None = 0.1
        self.heads: KnownHeads | None = None

    def record(self, name: str, created_at: float, *, ended: bool = False, version: int = 1):
        """Records the head of a batch of the first model."""
        head = BatchHead(
            BatchId(name), "h", "/p", FIRST, 0, 0, 1, 1, DaemonId("d"), created_at, ended, "u", 100
        )
        row = Row(RowKey(HEAD_TABLE, "", name), codec.encode_head(head), version)
        self.heads.record(row)

    def demand(self, *batches: tuple[str, float, bool]) -> ModelDemand:
        """Returns what batches of these names, times and ends ask for."""

        async def play() -> ModelDemand:
            self.heads = KnownHeads(LoopClock(), lambda _: self.since_named, lambda _: self.age)
            for name, created_at, ended in batches:
                self.record(name, created_at, ended=ended)
            self.since_named = 9.0
            name, created_at, ended = batches[-1]
            self.record(name, created_at, ended=ended, version=2)
            self.assertNotIn(SECOND, self.heads.demands())
            return self.heads.demands()[FIRST]

        return run(play())

    def test_first_sight_of_a_batch_counts(self):
        self.assertEqual(ModelDemand(100, True, False, 0.05), self.demand(("a", 1.0, False)))

    def test_an_earlier_batch_is_open(self):
        demand = self.demand(("a", 1.0, False), ("b", 2.0, False))
        self.assertEqual(ModelDemand(100, True, True, 0.05), demand)

    def test_only_an_earlier_batch_is_open(self):
        demand = self.demand(("a", 1.0, False), ("b", 2.0, True))
        self.assertEqual(ModelDemand(100, True, True, 0.05), demand)

    def test_earlier_batches_have_ended(self):
        demand = self.demand(("a", 1.0, True), ("b", 2.0, False))
        self.assertEqual(ModelDemand(100, True, False, 0.05), demand)

    def test_a_batch_that_is_no_news_tells_nothing(self):
        for self.age in (None, FRESH_SECONDS + 0.1):
            self.assertIsNone(self.demand(("a", 1.0, False)).asked_after)


if __name__ == "__main__":
    unittest.main()
