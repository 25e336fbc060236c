"""Prefix cache of a stand-in engine, with limited size and LRU eviction."""

from collections import OrderedDict

from larkpost.common.hashing import hash64

BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4


class PrefixCache:
    """Cached blocks of prompt prefixes."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def admit(self, prompt: str) -> int:
        """Stores a prompt's blocks.

        Returns:
            Number of prompt tokens that were not cached and must be computed.
        """
        hit = 0
        matching = True
        for block in _prefix_blocks(prompt):
            matching = matching and block in self._blocks
            hit += matching
            self._store(block)
        missing = len(prompt) - hit * BLOCK_CHARACTERS
        return max(missing, 0) // CHARACTERS_PER_TOKEN

    def _store(self, block: int) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)


def _prefix_blocks(prompt: str) -> list[int]:
    """Returns a hash per full block; each covers the prompt up to that block's end."""
    ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    return [hash64(prompt[:end]) for end in ends]
