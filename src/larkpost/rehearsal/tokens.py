"""The answers of the stand-in engines, verifiable token by token.

A token is a hash of the request, the prompt, its index and the weight version that generated it, so
a caller can verify every token of an answer and every version span of a sample.
"""

import math
from statistics import NormalDist

import xxhash

from larkpost.common.hashing import hash64

VOCABULARY = 50_000
MEDIAN_LENGTH_SHARE = 0.12
"""Median answer length as a share of ``max_tokens``."""
LENGTH_LOG_STDDEV = 0.9
"""Standard deviation of the logarithm of the length; gives a long tail of answer lengths."""


def answer_seed(request: str, prompt: str) -> int:
    """Returns the seed that determines a request's answer."""
    return hash64(f"{request}\x00{prompt}")


def token_at(seed: int, index: int, version: int) -> int:
    """Returns the token that a weight version generates at ``index``."""
    data = seed.to_bytes(8, "little") + index.to_bytes(4, "little") + version.to_bytes(8, "little")
    return xxhash.xxh3_64_intdigest(data) % VOCABULARY


def answer_length(seed: int, max_tokens: int) -> int:
    """Returns the answer length: log-normal, at least 1 and at most ``max_tokens``."""
    uniform = ((seed >> 11) + 0.5) / 2**53
    normal = NormalDist().inv_cdf(uniform)
    length = round(max_tokens * MEDIAN_LENGTH_SHARE * math.exp(LENGTH_LOG_STDDEV * normal))
    return min(max(length, 1), max_tokens)


def expected_answer(request: str, prompt: str, max_tokens: int, spans) -> list[int]:
    """Returns the correct complete answer for version spans of (version, first token, count)."""
    seed = answer_seed(request, prompt)
    length = answer_length(seed, max_tokens)
    versions = [0] * length
    for version, first, count in spans:
        for index in range(first, min(first + count, length)):
            versions[index] = version
    return [token_at(seed, index, versions[index]) for index in range(length)]
