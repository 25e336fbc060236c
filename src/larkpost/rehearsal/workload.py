"""The batches of a stand-in trainer."""

import random
from dataclasses import dataclass

from larkpost.common.ids import BatchId, PolicyId, PoolId, TrainerId
from larkpost.rehearsal.tokens import answer_length, answer_seed
from larkpost.standalone.batches.ledger import BatchSpec

MAX_HINT_ERROR = 0.5
"""Maximum relative error of the expected lengths."""


@dataclass(frozen=True, slots=True)
class TrainerShape:
    """Batch and step parameters of a trainer.

    Attributes:
        train_seconds: duration of a training step once its batch is complete.
        ahead: batches opened in advance of the one being trained on (0: strictly sequential).
    """

    name: TrainerId
    pool: PoolId
    policy: PolicyId
    prompts: int = 8
    samples_per_prompt: int = 4
    max_tokens: int = 256
    staleness_bound: int = 2
    train_seconds: float = 1.0
    ahead: int = 1

    def make_spec(self, batch: BatchId, version: int, rng: random.Random) -> BatchSpec:
        """Returns a batch with new prompts for the trainer's current weight version."""
        prompts = tuple(
            f"{batch} prompt {i} " + "context " * rng.randrange(8, 64) for i in range(self.prompts)
        )
        return BatchSpec(
            batch,
            self.name,
            self.pool,
            prompts,
            self.samples_per_prompt,
            self.staleness_bound,
            version,
            self.max_tokens,
            expected_tokens=self._hints(batch, prompts, rng),
        )

    def _hints(
        self, batch: BatchId, prompts: tuple[str, ...], rng: random.Random
    ) -> tuple[int, ...]:
        """Returns the longest answer length per prompt, off by up to MAX_HINT_ERROR at random."""
        hints = []
        for index, prompt in enumerate(prompts):
            first = index * self.samples_per_prompt
            slots = range(first, first + self.samples_per_prompt)
            seeds = [answer_seed(f"{batch}/{slot}", prompt) for slot in slots]
            longest = max(answer_length(seed, self.max_tokens) for seed in seeds)
            hints.append(
                max(1, round(longest * rng.uniform(1 - MAX_HINT_ERROR, 1 + MAX_HINT_ERROR)))
            )
        return tuple(hints)
