"""The state of one rollout batch: which slots are pending, running or finished, and its pages.

Pure: no clock, no network. Invariants:
- A slot takes one value; the first attempt to finish wins, later ones are dropped.
- A page is built from the slots that the trainer says it lacks, so a slot that the trainer holds is
  never served again, by this daemon or by one that takes the batch over.
- A finished sample whose oldest version is below the trainer's bound is never put on a page; its
  slot becomes pending again.
- A page number that is asked again under the same trainer version gets the identical page.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from larkpost.common.ids import BatchId, EngineId, PoolId, TrainerId
from larkpost.standalone.routing.work import VersionSpan


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """What a trainer asks for.

    Attributes:
        prompts: one entry per prompt; slot ``i`` is a sample of prompt ``i // samples_per_prompt``.
        staleness_bound: versions a sample may be older than the trainer's step.
        policy_version: the trainer's version when it opened the batch.
        due: seconds from opening within which the trainer wants the batch whole.
        expected_tokens: expected response length per prompt, empty if unknown.
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
        """Number of samples."""
        return len(self.prompts) * self.samples_per_prompt

    def prompt_index(self, slot: int) -> int:
        """Returns which prompt a slot samples."""
        return slot // self.samples_per_prompt


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished response with the versions that produced it."""

    slot: int
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]

    @property
    def oldest_version(self) -> int:
        """The lowest version that produced a token."""
        return min((span.version for span in self.spans), default=0)


@dataclass(frozen=True, slots=True)
class Page:
    """An answer to a pull."""

    number: int
    samples: tuple[Sample, ...]
    remaining: int
    """Slots that the trainer will still lack after this page."""


class SlotState(StrEnum):
    """State of a slot at its batch owner."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"
    HELD = "held"
    """The trainer says that it has the sample. Final."""


@dataclass(slots=True)
class _Slot:
    state: SlotState = SlotState.PENDING
    sample: Sample | None = None
    engines: list[EngineId] = field(default_factory=list)


class BatchLedger:
    """All slots of a batch."""

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
        """The lowest version the trainer accepts at its present step."""
        return max(self.trainer_version - self.spec.staleness_bound, 0)

    def state(self, slot: int) -> SlotState:
        """Returns the slot's state."""
        return self._slots[slot].state

    def pending_slots(self) -> Iterable[int]:
        """Returns the slots to start, in the order to start them."""
        return self._pending.keys()

    def running_slots(self) -> list[int]:
        """Returns the slots with an attempt under way."""
        return [i for i, slot in enumerate(self._slots) if slot.state == SlotState.RUNNING]

    def finished_samples(self) -> list[Sample]:
        """Returns the finished samples that the trainer does not hold yet."""
        return [s.sample for s in self._slots if s.state == SlotState.FINISHED and s.sample]

    def is_complete(self) -> bool:
        """Whether the trainer holds every slot."""
        return all(slot.state == SlotState.HELD for slot in self._slots)

    def start_attempt(self, slot: int, engine: EngineId) -> None:
        """Notes an attempt at a pending or running slot."""
        entry = self._slots[slot]
        entry.state = SlotState.RUNNING
        entry.engines.append(engine)
        self._pending.pop(slot, None)

    def engines_of(self, slot: int) -> list[EngineId]:
        """Returns the engines that attempt the slot now."""
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
            Whether it is the slot's value; False if the slot already had one.
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
        """Records what a pull says of the trainer: its version and the slots it has."""
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
        """Builds the page of that number, or returns it again if it was built before."""
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
        """Puts a slot back in front: it is the batch's most delayed one."""
        self._slots[slot].state = SlotState.PENDING
        self._pending = {slot: None, **self._pending}


def _start_order(spec: BatchSpec, longest_first: bool) -> list[int]:
    slots = list(range(spec.slot_count))
    if longest_first and spec.expected_tokens:
        slots.sort(key=lambda slot: -spec.expected_tokens[spec.prompt_index(slot)])
    return slots
