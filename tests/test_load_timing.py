"""When engines load for a trainer that waits for each version, with steps a second apart.

The second step needs the version that was announced with the first one; engines that loaded in
turns of a second each would lack it.
"""

import unittest
from dataclasses import replace

from larkpost.common.clock import LoopClock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.weight_targets import (
    Demands,
    ModelDemand,
    VersionAnnouncement,
    WeightTarget,
    WeightTargets,
)
from larkpost.gateway.controllers.due_loads import (
    BUSY_LOAD_DELAY_SECONDS,
    GROUP_TURN_SECONDS,
    URGENT_LOAD_DELAY_SECONDS,
    LoadInputs,
    ModelLoadState,
    due_loads,
    engines_to_load,
    is_urgent,
)
from larkpost.gateway.controllers.lending import TRAINER_BLOCKED_SECONDS
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.batch_head_cache import (
    DEMAND_BATCHES,
    MAX_NEW_BATCH_AGE_SECONDS,
    BatchHeadCache,
)
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.batch_tables import HEAD_TABLE
from larkpost.gateway.store.port import Row, RowKey
from tests.server_parts import FIRST, SECOND, TWO_MODELS, make_directory
from tests.virtual import run

NAMED_AT = 10.0
WAITS = ModelDemand(100, open=True, submit_delay=0.02, submit_version=2)
"""The newest batch arrived with its version, and no earlier one is open."""
CASES = (
    ("nothing is known", ModelDemand(), False),
    ("came with its version, no earlier batch is open", WAITS, True),
    ("an earlier batch is open", replace(WAITS, has_earlier_open=True), False),
    ("came long after its version", replace(WAITS, submit_delay=TRAINER_BLOCKED_SECONDS), False),
    ("when it came is not known", ModelDemand(100, open=True), False),
    ("the version is newer: its batch is still to come", replace(WAITS, submit_version=1), False),
)


class UrgentLoadTest(unittest.TestCase):
    """When the engines of a model load together."""

    def due(self, demands: Demands, elapsed: float) -> int:
        """Returns how many of nine engines load this long after the second version is announced."""
        directory = make_directory(18, TWO_MODELS.name, slots=8)
        targets = WeightTargets()
        targets.update(WeightTarget(FIRST, 2), NAMED_AT)
        inputs = LoadInputs(directory, targets, demands)
        return len(due_loads(TWO_MODELS, inputs, NAMED_AT + elapsed))

    def test_is_urgent(self):
        for name, demand, expected in CASES:
            with self.subTest(name):
                self.assertIs(expected, is_urgent(demand, 2))

    def test_urgent_engines_load_together_once_items_have_slots(self):
        for submit_delay in (0.02, 0.4):
            demands = {FIRST: replace(WAITS, submit_delay=submit_delay)}
            due_at = submit_delay + URGENT_LOAD_DELAY_SECONDS
            self.assertEqual(0, self.due(demands, due_at - 0.1))
            self.assertEqual(6, self.due(demands, due_at + 0.1))

    def test_one_group_serves_on_until_the_others_have_loaded(self):
        state = ModelLoadState(5, 0.0, dict.fromkeys("abcdefg", 4), {}, is_urgent=True)
        first = engines_to_load(state)
        self.assertEqual(list("abcdef"), first)
        loaded = state.serving_versions | dict.fromkeys(first, 5)
        self.assertEqual(["g"], engines_to_load(replace(state, serving_versions=loaded)))
        some = state.serving_versions | dict.fromkeys("abcde", 5)
        self.assertEqual(["f"], engines_to_load(replace(state, serving_versions=some)))

    def test_failing_engine_delays_the_last_group_by_one_turn(self):
        loaded = dict.fromkeys("bcdef", 5) | dict.fromkeys("ag", 4)
        state = ModelLoadState(5, 0.0, loaded, {}, is_urgent=True)
        self.assertEqual(["a"], engines_to_load(replace(state, elapsed=GROUP_TURN_SECONDS - 0.1)))
        self.assertEqual(["a", "g"], engines_to_load(replace(state, elapsed=GROUP_TURN_SECONDS)))

    def test_loads_wait_for_waiting_items(self):
        waiting = {FIRST: replace(WAITS, waiting=3)}
        self.assertEqual(0, self.due(waiting, BUSY_LOAD_DELAY_SECONDS - 0.1))
        self.assertEqual(6, self.due(waiting, BUSY_LOAD_DELAY_SECONDS + 0.1))

    def test_engines_serve_the_batch_that_comes_with_the_version(self):
        before = {FIRST: replace(WAITS, submit_version=1)}
        self.assertEqual(0, self.due(before, BUSY_LOAD_DELAY_SECONDS - 0.1))

    def test_engines_load_in_turns_while_there_is_time(self):
        unhurried = {FIRST: ModelDemand(100, open=True, submit_delay=2.7)}
        self.assertEqual(0, self.due(unhurried, BUSY_LOAD_DELAY_SECONDS - 0.1))
        self.assertEqual(3, self.due(unhurried, BUSY_LOAD_DELAY_SECONDS + 0.1))
        self.assertEqual(3, self.due(unhurried, BUSY_LOAD_DELAY_SECONDS + GROUP_TURN_SECONDS + 0.1))


class SubmitDelayTest(unittest.TestCase):
    """How long after its version a batch arrived, derived from batch heads."""

    def setUp(self):
        self.naming: VersionAnnouncement | None = None
        self.age: float | None = 0.1
        self.heads: BatchHeadCache | None = None

    def record(
        self,
        name: str,
        created_at: float,
        *,
        ended: bool = False,
        version: int = 1,
        work: int = 100,
    ) -> None:
        """Records the head of a batch of the first model."""
        owner = DaemonId("d")
        head = BatchHead(
            BatchId(name), "h", "/p", FIRST, 0, 0, 1, 1, owner, created_at, ended, "u", work
        )
        row = Row(RowKey(HEAD_TABLE, "", name), codec.encode_head(head), version)
        self.heads.record(row)

    def demand(self, *batches: tuple[str, float, bool]) -> ModelDemand:
        """Returns the demand of batches with these names, times and end flags."""

        async def play() -> ModelDemand:
            self.naming = (
                VersionAnnouncement(2, 0.05 + self.age)
                if self.age is not None
                else VersionAnnouncement(2, 9.0)
            )
            self.heads = BatchHeadCache(LoopClock(), lambda _: self.naming, lambda _: self.age)
            for name, created_at, ended in batches:
                self.record(name, created_at, ended=ended)
            self.naming = VersionAnnouncement(3, 9.0)
            name, created_at, ended = batches[-1]
            self.record(name, created_at, ended=ended, version=2)
            self.assertNotIn(SECOND, self.heads.demands())
            return self.heads.demands()[FIRST]

        return run(play())

    def test_batches_as_they_are_known(self):
        cases = (
            ("first sight of a batch counts", (("a", 1.0, False),), (True, False)),
            ("an earlier one is open", (("a", 1.0, False), ("b", 2.0, False)), (True, True)),
            ("only an earlier one", (("a", 1.0, False), ("b", 2.0, True)), (True, True)),
            ("earlier ones have ended", (("a", 1.0, True), ("b", 2.0, False)), (True, False)),
            ("all have ended", (("a", 1.0, True), ("b", 2.0, True)), (False, False)),
        )
        for name, batches, expected in cases:
            with self.subTest(name):
                demand = self.demand(*batches)
                self.assertEqual(expected, (demand.open, demand.has_earlier_open))
                work, submit_delay, submit_version, least = _figures(demand)
                self.assertEqual((100, 2), (work, submit_version))
                self.assertAlmostEqual(0.05, submit_delay)
                self.assertAlmostEqual(0.05, least)

    def test_work_is_averaged_so_that_single_batches_move_no_engines(self):
        async def play() -> list[int]:
            self.naming = None
            self.heads = BatchHeadCache(LoopClock())
            works = []
            for number in range(3 * DEMAND_BATCHES):
                self.record(f"b{number}", float(number), work=100 + 40 * (number % 2))
                works.append(self.heads.demands()[FIRST].work)
            return works

        works = run(play())
        self.assertEqual(100, works[0])
        self.assertEqual({120}, set(works[DEMAND_BATCHES - 1 :]))

    def test_daemons_that_learn_of_a_batch_later_know_the_same(self):
        for self.age in (0.0, 0.1, 0.6):
            self.assertAlmostEqual(0.05, self.demand(("a", 1.0, False)).submit_delay)

    def test_naming_that_was_not_seen_is_unknown(self):
        cases = (
            ("read at the start", (7,), None),
            ("the next one is seen", (7, 8), 8),
            ("one was missed while the daemon was cut off", (7, 8, 10), None),
            ("and the next one is seen", (7, 8, 10, 11), 11),
        )
        for name, versions, expected in cases:
            with self.subTest(name):
                targets = WeightTargets()
                for version in versions:
                    targets.update(WeightTarget(FIRST, version), float(version))
                naming = targets.last_announcement(FIRST, 20.0)
                self.assertEqual(expected, naming.version if naming is not None else None)

    def test_batch_that_is_not_new_gives_no_delay(self):
        for self.age in (None, MAX_NEW_BATCH_AGE_SECONDS + 0.1):
            self.assertIsNone(self.demand(("a", 1.0, False)).submit_delay)


def _figures(demand: ModelDemand) -> tuple[int, float | None, int, float | None]:
    return demand.work, demand.submit_delay, demand.submit_version, demand.min_submit_delay


if __name__ == "__main__":
    unittest.main()
