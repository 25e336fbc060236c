"""Rendezvous hashing: daemons with the same view of the members make the same choice."""

from collections.abc import Iterable
from functools import lru_cache

from larkpost.common.hashing import hash64
from larkpost.standalone.blackboard.members import MemberInfo


@lru_cache(maxsize=200_000)
def score(node: str, key: str) -> int:
    """Returns the score of ``node`` for ``key``; the node with the highest score is chosen."""
    return hash64(f"{node}\x00{key}")


def rank_members(members: Iterable[MemberInfo], key: str) -> list[MemberInfo]:
    """Returns the members by descending score for ``key``."""
    return sorted(members, key=lambda member: score(member.id, key), reverse=True)


def choose(members: Iterable[MemberInfo], key: str) -> MemberInfo | None:
    """Returns the member with the highest score for ``key``, or None if there are no members."""
    return max(members, key=lambda member: score(member.id, key), default=None)
