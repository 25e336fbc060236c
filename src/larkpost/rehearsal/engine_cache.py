"""A stand-in engine's prefix cache: limited memory, least recently used blocks go first."""

from collections import OrderedDict
from dataclasses import dataclass

from larkpost.common.hashing import hash64

BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored or dropped. Events are published late and some are never published."""

    sequence: int
    stored: bool
    block: int


class PrefixCache:
    """Cached blocks of prompt prefixes."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.events: list[CacheEvent] = []
        self._sequence = 0

    def admit(self, prompt: str) -> int:
        """Stores a prompt's blocks.

        Returns:
            Prompt tokens that were not cached and have to be computed.
        """
        hit = 0
        matching = True
        blocks = prefix_blocks(prompt)
        for block in blocks:
            matching = matching and block in self._blocks
            hit += matching
            self._store(block)
        missing = len(prompt) - hit * BLOCK_CHARACTERS
        return max(missing, 0) // CHARACTERS_PER_TOKEN

    def export(self, prompt: str) -> list[int]:
        """Returns the cached blocks of a prompt, in order."""
        return [block for block in prefix_blocks(prompt) if block in self._blocks]

    def load(self, blocks: list[int]) -> None:
        """Takes blocks that another engine exported."""
        for block in blocks:
            self._store(block)

    def _store(self, block: int) -> None:
        if block not in self._blocks:
            self._note(True, block)
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._capacity:
            dropped, _ = self._blocks.popitem(last=False)
            self._note(False, dropped)

    def _note(self, stored: bool, block: int) -> None:
        self._sequence += 1
        self.events.append(CacheEvent(self._sequence, stored, block))


def prefix_blocks(prompt: str) -> list[int]:
    """Returns a hash per whole block; each covers the prompt up to that block's end."""
    ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    return [hash64(prompt[:end]) for end in ends]
