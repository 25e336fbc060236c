"""Tests that engine assignments stay stable while three models' work estimates vary by step.

An engine that changes its model does not have the version that the next batch needs.
"""

import random
import unittest

from larkpost.common.clock import LoopClock
from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.configuration import ModelName, Service, ServiceName
from larkpost.gateway.controllers.model_assignment import assign_models
from larkpost.gateway.rollouts import codec
from larkpost.gateway.rollouts.batch_head_cache import DEMAND_BATCHES, BatchHeadCache
from larkpost.gateway.rollouts.model import BatchHead
from larkpost.gateway.store.batch_tables import HEAD_TABLE
from larkpost.gateway.store.port import Row, RowKey
from tests.server_parts import make_directory
from tests.virtual import run

WORKS = {ModelName("short"): 70_000, ModelName("long"): 130_000, ModelName("longest"): 140_000}
"""Average tokens per step of each model."""
SPREAD = 0.2
"""Relative error of the estimate of a step's work: some of the 80 items are many times as long as
the others, and each estimate is at least 50% too long."""
POOL = Service(ServiceName("s"), 100, slots=8, models=tuple(WORKS))
ENGINES = 22
STEPS = 30


class SteadyDivisionTest(unittest.TestCase):
    """Engines that change their models between steps."""

    def begin(self) -> None:
        """Starts with engines that hold the first version of each model, and no batch."""
        self.directory = make_directory(ENGINES, POOL.name, slots=8)
        for engine in self.directory.of_service(POOL.name):
            for model in POOL.models:
                self.directory.observe_version(engine.id, model, 1)
        self.heads = BatchHeadCache(LoopClock())
        self.rng = random.Random(4)

    def record_batch(self, model: ModelName, step: int, work: float) -> None:
        """Records the head of a step's batch."""
        batch, owner = BatchId(f"{model}-{step}"), DaemonId("d")
        head = BatchHead(
            batch, "h", "/p", model, step, step, 1, 1, owner, float(step), False, "u", int(work)
        )
        row = Row(RowKey(HEAD_TABLE, "", batch), codec.encode_head(head), step + 1)
        self.heads.record(row)

    def play_step(self, step: int, works: dict[ModelName, int]) -> dict[ModelName, list]:
        """Submits each model's batch, loads its version, and returns the assignment."""
        for model, work in works.items():
            self.record_batch(model, step, work * self.rng.gauss(1.0, SPREAD))
        engines = self.directory.of_service(POOL.name)
        assignment = assign_models(POOL, engines, self.directory, self.heads.demands())
        for model, names in assignment.items():
            for name in names:
                self.directory.observe_version(name, model, step + 2)
        return assignment

    def test_engines_stay_with_their_models(self):
        async def play() -> float:
            self.begin()
            moves = 0
            for step in range(DEMAND_BATCHES):
                before = self.play_step(step, WORKS)
            for step in range(DEMAND_BATCHES, STEPS):
                after = self.play_step(step, WORKS)
                moves += sum(len(set(after[model]) - set(before[model])) for model in WORKS)
                before = after
            return moves / (STEPS - DEMAND_BATCHES)

        self.assertLess(run(play()), 1.0)

    def test_shares_follow_work_that_changes_for_good(self):
        async def play() -> tuple[int, int]:
            self.begin()
            model = POOL.models[0]
            for step in range(DEMAND_BATCHES):
                before = self.play_step(step, WORKS)
            for step in range(DEMAND_BATCHES, 2 * DEMAND_BATCHES):
                after = self.play_step(step, WORKS | {model: 4 * WORKS[model]})
            return len(before[model]), len(after[model])

        before, after = run(play())
        self.assertGreater(after, before + 3)


if __name__ == "__main__":
    unittest.main()
