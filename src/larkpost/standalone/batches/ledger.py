"""The state of one rollout batch: its slots (pending, running, finished or held) and its pages.

Uses neither clock nor network. Invariants:
- A slot gets one value, from the first attempt to finish; results of later ones are dropped.
- A page contains only slots that the trainer does not report as held, so a held slot is never
  served again, neither by this daemon nor by one that takes over the batch.
- A finished sample whose oldest version is below the trainer's staleness bound is never put on a
  page; its slot becomes pending again.
- A repeated request for the last page at the same trainer version returns the identical page,
  if it has samples and none of them has become held or stale since.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.ids import BatchId, EngineId, PoolId, TrainerId
from larkpost.standalone.routing.work import VersionSpan


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """A trainer's specification of a batch.

    Attributes:
        prompts: one entry per prompt; slot ``i`` is a sample of prompt ``i // samples_per_prompt``.
        staleness_bound: maximum number of versions by which a sample may lag behind the trainer.
        policy_version: the trainer's version when it opened the batch.
        due: seconds after opening by which the trainer wants the complete batch; 0 for no limit.
        expected_tokens: expected response length per prompt; empty if unknown.
    """

    id: BatchId
    trainer: TrainerId
    pool: PoolId
    prompts: tuple[str, ...]
    samples_per_prompt: int
    staleness_bound: int
    policy_version: int
    max_tokens: int
    due: float = 0.0
    expected_tokens: tuple[int, ...] = ()

    @property
    def slot_count(self) -> int:
        """Number of samples in the batch."""
        return len(self.prompts) * self.samples_per_prompt

    def prompt_index(self, slot: int) -> int:
        """Returns the index of the prompt that a slot samples."""
        return slot // self.samples_per_prompt


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished response with the weight versions that produced it."""

    slot: int
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]

    @property
    def oldest_version(self) -> int:
        """The lowest weight version that produced a token; 0 for an empty response."""
        return min((span.version for span in self.spans), default=0)


@dataclass(frozen=True, slots=True)
class Page:
    """A page of finished samples, the response to a pull."""

    number: int
    samples: tuple[Sample, ...]
    remaining: int
    """Number of slots that the trainer still lacks after this page."""


class SlotState(StrEnum):
    """State of a slot at the batch owner."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"
    HELD = "held"
    """The trainer has reported that it has the sample; a final state."""


@dataclass(slots=True)
class _Slot:
    state: SlotState = SlotState.PENDING
    sample: Sample | None = None
    engines: list[EngineId] = field(default_factory=list)


class BatchLedger:
    """Tracks all slots of a batch."""

    def __init__(self, spec: BatchSpec, longest_first: bool = True) -> None:
        self.spec = spec
        self.trainer_version = spec.policy_version
        self._slots = [_Slot() for _ in range(spec.slot_count)]
        self._order = _start_order(spec, longest_first)
        self._pending = dict.fromkeys(self._order)
        self._last_page: tuple[int, int, Page] | None = None
        self.stale_dropped = 0

    @property
    def oldest_accepted(self) -> int:
        """The lowest version that the trainer accepts at its current version."""
        return max(self.trainer_version - self.spec.staleness_bound, 0)

    def state(self, slot: int) -> SlotState:
        """Returns the slot's state."""
        return self._slots[slot].state

    def pending_slots(self) -> Iterable[int]:
        """Returns the pending slots in the order in which to start them."""
        return self._pending.keys()

    def running_slots(self) -> list[int]:
        """Returns the slots that have a running attempt."""
        return [i for i, slot in enumerate(self._slots) if slot.state == SlotState.RUNNING]

    def finished_samples(self) -> list[Sample]:
        """Returns the finished samples that the trainer does not hold."""
        return [s.sample for s in self._slots if s.state == SlotState.FINISHED and s.sample]

    def is_complete(self) -> bool:
        """Whether the trainer holds every slot."""
        return all(slot.state == SlotState.HELD for slot in self._slots)

    def start_attempt(self, slot: int, engine: EngineId) -> None:
        """Records a new attempt at a pending or running slot."""
        entry = self._slots[slot]
        entry.state = SlotState.RUNNING
        entry.engines.append(engine)
        self._pending.pop(slot, None)

    def engines_of(self, slot: int) -> list[EngineId]:
        """Returns the engines with a running attempt at the slot."""
        return self._slots[slot].engines

    def end_attempt(self, slot: int, engine: EngineId) -> None:
        """Records that an attempt ended without a sample."""
        entry = self._slots[slot]
        if engine in entry.engines:
            entry.engines.remove(engine)
        if entry.state == SlotState.RUNNING and not entry.engines:
            self._make_pending(slot)

    def finish(self, sample: Sample) -> bool:
        """Stores a finished sample.

        Returns:
            Whether it became the slot's value; False if the slot has one or the sample is stale.
        """
        entry = self._slots[sample.slot]
        if entry.state in (SlotState.FINISHED, SlotState.HELD):
            return False
        if sample.oldest_version < self.oldest_accepted:
            self._drop_stale(sample.slot)
            return False
        entry.state = SlotState.FINISHED
        entry.sample = sample
        entry.engines.clear()
        self._pending.pop(sample.slot, None)
        return True

    def record_trainer_state(self, version: int, held: Iterable[int]) -> None:
        """Records the trainer's version and held slots, and drops samples that became stale."""
        self.trainer_version = max(self.trainer_version, version)
        for slot in held:
            entry = self._slots[slot]
            entry.state = SlotState.HELD
            entry.sample = None
            entry.engines.clear()
            self._pending.pop(slot, None)
        for slot, entry in enumerate(self._slots):
            if entry.sample is not None and entry.sample.oldest_version < self.oldest_accepted:
                self._drop_stale(slot)

    def make_page(self, number: int, version: int, limit: int) -> Page:
        """Builds a page, or returns the last if its number, version and samples are the same."""
        if self._last_page is not None:
            last_number, last_version, page = self._last_page
            unchanged = all(self._slots[s.slot].sample is s for s in page.samples)
            if (last_number, last_version) == (number, version) and page.samples and unchanged:
                return page
        samples = tuple(self.finished_samples()[:limit])
        held = sum(slot.state == SlotState.HELD for slot in self._slots)
        page = Page(number, samples, self.spec.slot_count - held - len(samples))
        self._last_page = (number, version, page)
        return page

    def _drop_stale(self, slot: int) -> None:
        self.stale_dropped += 1
        self._slots[slot].sample = None
        self._slots[slot].engines.clear()
        self._make_pending(slot)

    def _make_pending(self, slot: int) -> None:
        """Makes a slot pending and the next to start, as it is the most delayed."""
        self._slots[slot].state = SlotState.PENDING
        self._pending = {slot: None, **self._pending}


def _start_order(spec: BatchSpec, longest_first: bool) -> list[int]:
    slots = list(range(spec.slot_count))
    if longest_first and spec.expected_tokens:
        slots.sort(key=lambda slot: -spec.expected_tokens[spec.prompt_index(slot)])
    return slots
