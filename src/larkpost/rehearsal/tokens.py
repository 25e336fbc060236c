"""What the stand-in engines answer: tokens that name their request, position and weight version.

A token is a hash of the request, the prompt, its index and the version that produced it, so anyone
who knows the request can check every token of an answer and every version span a sample claims.
"""

import math
from statistics import NormalDist

import xxhash

from larkpost.common.hashing import hash64

VOCABULARY = 50_000
MEDIAN_LENGTH_SHARE = 0.12
"""Median response length as a share of the longest."""
LENGTH_LOG_STDDEV = 0.9
"""Standard deviation of the length's logarithm: a few answers run far longer than the rest."""


def answer_seed(request: str, prompt: str) -> int:
    """Returns the number that decides a request's answer."""
    return hash64(f"{request}\x00{prompt}")


def token_at(seed: int, index: int, version: int) -> int:
    """Returns the token that ``version`` produces at ``index``."""
    data = seed.to_bytes(8, "little") + index.to_bytes(4, "little") + version.to_bytes(8, "little")
    return xxhash.xxh3_64_intdigest(data) % VOCABULARY


def answer_length(seed: int, max_tokens: int) -> int:
    """Returns the answer's length: log-normal, at least 1 and at most ``max_tokens``."""
    uniform = ((seed >> 11) + 0.5) / 2**53
    normal = NormalDist().inv_cdf(uniform)
    length = round(max_tokens * MEDIAN_LENGTH_SHARE * math.exp(LENGTH_LOG_STDDEV * normal))
    return min(max(length, 1), max_tokens)


def expected_answer(request: str, prompt: str, max_tokens: int, spans) -> list[int]:
    """Returns the whole right answer for given version spans (version, first token, count)."""
    seed = answer_seed(request, prompt)
    length = answer_length(seed, max_tokens)
    versions = [0] * length
    for version, first, count in spans:
        for index in range(first, min(first + count, length)):
            versions[index] = version
    return [token_at(seed, index, versions[index]) for index in range(length)]
