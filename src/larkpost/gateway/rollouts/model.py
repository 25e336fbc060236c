"""What a batch of rollouts consists of, and what is stored of it.

Owns the types only; `codec.py` writes them as rows, `platform/` reads them from submissions.
"""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import NewType

from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.request_content import ContentDigest, digest_content
from larkpost.gateway.blackboard.tenants import TenantName

ItemId = NewType("ItemId", str)
GroupId = NewType("GroupId", str)
RewardCallId = NewType("RewardCallId", str)
ITEM_METHOD = "POST"
"""Items and reward calls are sent by this method."""


@dataclass(frozen=True, slots=True)
class RewardCall:
    """The request that has an item's whole output scored, as the trainer wrote it.

    It is sent by the route of its host and path once the output is whole, and may be repeated.

    Attributes:
        path: the target at the server.
    """

    id: RewardCallId
    host: str
    path: str
    body: bytes

    @property
    def content(self) -> ContentDigest:
        """What names the call among those that ask the same."""
        host, target = self.host.encode("latin-1"), self.path.encode("latin-1")
        return digest_content(None, ITEM_METHOD, host, target, self.body)


@dataclass(frozen=True, slots=True)
class Item:
    """One request of a batch.

    Attributes:
        path: the target at the server, as the trainer wrote it.
        tokens: tokens of the prompt and most tokens out, summed.
        length_hint: the trainer's guess of the tokens out; often far off. 0 if none.
        reward_call: has the output scored, or None if the result needs no score.
    """

    id: ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: GroupId
    length_hint: int = 0
    reward_call: RewardCall | None = None

    def content(self, batch: "BatchHead | BatchSpec") -> ContentDigest:
        """Returns what names the item's request among those that ask the same."""
        host, target = batch.host.encode("latin-1"), self.path.encode("latin-1")
        return digest_content(batch.tenant, ITEM_METHOD, host, target, self.body)

    @property
    def expected_work(self) -> int:
        """Tokens that the item is expected to take."""
        return self.length_hint or self.tokens


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """A batch as a trainer submits it.

    Attributes:
        minimum_version: the oldest weight version that may make a token of a result.
        desired_groups: whole groups after which the trainer goes on.
        tenant: whose batch it is; None if it is no tenant's.
    """

    id: BatchId
    host: str
    path: str
    model: ModelName
    step: int
    minimum_version: int
    desired_groups: int
    items: tuple[Item, ...]
    tenant: TenantName | None = None

    @property
    def group_size(self) -> int:
        """Items of each group; 0 if the groups differ."""
        sizes = set(Counter(item.group for item in self.items).values())
        return sizes.pop() if len(sizes) == 1 else 0


@dataclass(frozen=True, slots=True)
class BatchHead:
    """What every daemon knows of a batch.

    Attributes:
        owner: the daemon that accepted it and runs it as long as it counts as alive.
        created_at: store time, in seconds, shortly before it was accepted.
        ended: whether the trainer has ended it.
        upload: names the rows that hold the items.
        work: expected tokens of all items together.
        tenant: whose batch it is, as which its items run; None if it is no tenant's.
        group_size: items of each group; 0 if the groups differ.
    """

    id: BatchId
    host: str
    path: str
    model: ModelName
    step: int
    minimum_version: int
    desired_groups: int
    total: int
    owner: DaemonId
    created_at: float
    ended: bool
    upload: str
    work: int = 0
    tenant: TenantName | None = None
    group_size: int = 0


class ResultState(StrEnum):
    """How an item ended."""

    DONE = "done"
    DEAD = "dead"  # it cannot be done, or was given up


@dataclass(frozen=True, slots=True)
class Result:
    """The end of an item; its place in the list of results never changes.

    Attributes:
        text: data of all events in order, joined by line feeds.
        versions: the weight versions that made an event of the text, rising.
        score: the signature of the response to the item's reward call; None if it has no such call.
        group: the item's group; None in rows of earlier versions.
    """

    item: ItemId
    state: ResultState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str | None = None
    group: GroupId | None = None


@dataclass(frozen=True, slots=True)
class Tail:
    """The end of a batch's list of results. Every append is made on condition of its version.

    Attributes:
        count: results listed.
        version: version of the row.
    """

    count: int
    ended: bool
    version: int
