"""Types of batches, items and results.

`codec.py` encodes them as store rows, and `platform/` reads them from submissions.
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
"""HTTP method of items and reward calls."""


@dataclass(frozen=True, slots=True)
class RewardCall:
    """Request that scores the complete output of an item, as the trainer submitted it.

    It is routed by its host and path once the output is complete, and may be repeated.

    Attributes:
        path: request target at the server.
    """

    id: RewardCallId
    host: str
    path: str
    body: bytes

    @property
    def content(self) -> ContentDigest:
        """Digest of the request; equal for equal requests."""
        host, target = self.host.encode("latin-1"), self.path.encode("latin-1")
        return digest_content(None, ITEM_METHOD, host, target, self.body)


@dataclass(frozen=True, slots=True)
class Item:
    """One request of a batch.

    Attributes:
        path: request target at the server, as the trainer wrote it.
        tokens: prompt tokens plus maximum output tokens.
        length_hint: output tokens that the trainer expects, often far off; 0 if unknown.
        reward_call: request that scores the output; None if the result needs no score.
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
        """Returns the digest of the item's request; equal for equal requests of a tenant."""
        host, target = batch.host.encode("latin-1"), self.path.encode("latin-1")
        return digest_content(batch.tenant, ITEM_METHOD, host, target, self.body)

    @property
    def expected_work(self) -> int:
        """Number of tokens that the item is expected to take."""
        return self.length_hint or self.tokens


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """A batch as a trainer submits it.

    Attributes:
        minimum_version: oldest weight version that may produce tokens of a result.
        desired_groups: number of complete groups that the trainer needs for its step.
        tenant: owner of the batch; None without a tenant.
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
        """Number of items in each group; 0 if the groups differ."""
        sizes = set(Counter(item.group for item in self.items).values())
        return sizes.pop() if len(sizes) == 1 else 0


@dataclass(frozen=True, slots=True)
class BatchHead:
    """Metadata of a batch that every daemon knows.

    Attributes:
        owner: daemon that runs the batch; at first the one that accepted it.
        created_at: store time in seconds, shortly before the batch was accepted; if anything too
            late by the error of its estimate, so that nothing expires early.
        ended: whether the trainer has ended the batch.
        upload: unique name of the submission, which the keys of the item rows contain.
        work: expected tokens of all items together.
        tenant: owner of the batch, for which its items run; None without a tenant.
        group_size: number of items in each group; 0 if the groups differ.
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

    @property
    def is_accepted(self) -> bool:
        """Whether the batch was accepted; else it was ended before, and this keeps it from that."""
        return bool(self.upload)


def make_early_end(
    batch: BatchId, tenant: TenantName | None, ended_by: DaemonId, ended_at: float
) -> BatchHead:
    """Returns the head of a batch that is ended before it is accepted.

    It takes the place of the batch's own head, so that an acceptance under way cannot take effect.

    Args:
        ended_at: store time in seconds.
    """
    return BatchHead(
        id=batch,
        host="",
        path="",
        model=ModelName(""),
        step=0,
        minimum_version=0,
        desired_groups=0,
        total=0,
        owner=ended_by,
        created_at=ended_at,
        ended=True,
        upload="",
        tenant=tenant,
    )


class ResultState(StrEnum):
    """Final state of an item."""

    DONE = "done"
    DEAD = "dead"  # the item cannot be processed, or was given up


@dataclass(frozen=True, slots=True)
class Result:
    """Result of an item; its position in the result list never changes.

    Attributes:
        text: data of all events in order, joined by line feeds.
        versions: weight versions that produced the text, ascending.
        score: signature of the response to the item's reward call; None without a reward call.
        group: group of the item; None in rows of earlier versions.
    """

    item: ItemId
    state: ResultState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str | None = None
    group: GroupId | None = None


@dataclass(frozen=True, slots=True)
class Tail:
    """State of a batch's result list. An append succeeds only if its version is unchanged.

    Attributes:
        count: number of listed results.
        ended: whether the batch was ended, so that nothing can be appended.
        version: version of the row.
    """

    count: int
    ended: bool
    version: int
