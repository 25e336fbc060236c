"""Writes batches as values of store rows, and reads them, those of earlier versions too.

Owns the form of the values; it is fixed, as daemons of two versions read each other's rows.
"""

import base64
from collections.abc import Iterable

import orjson

from larkpost.common.ids import BatchId, DaemonId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.rollouts.model import (
    BatchHead,
    GroupId,
    Item,
    ItemId,
    Result,
    ResultState,
    RewardCall,
    RewardCallId,
    Tail,
)
from larkpost.gateway.rollouts.progress import Progress

LENGTH_DIGITS = 8
"""Digits of the length that stands before a document which is written again and again."""


def encode_head(head: BatchHead) -> bytes:
    """Returns the value of a head row."""
    return orjson.dumps(
        {
            "host": head.host,
            "path": head.path,
            "model": head.model,
            "step": head.step,
            "minimum_version": head.minimum_version,
            "desired_groups": head.desired_groups,
            "total": head.total,
            "owner": head.owner,
            "created_at": head.created_at,
            "ended": head.ended,
            "upload": head.upload,
            "work": head.work,
            "tenant": head.tenant,
            "group_size": head.group_size,
        }
    )


def decode_head(batch: BatchId, value: bytes) -> BatchHead:
    """Reads a head row's value; rows of earlier versions have no tenant and no size of groups."""
    fields = orjson.loads(value)
    return BatchHead(
        id=batch,
        host=fields["host"],
        path=fields["path"],
        model=ModelName(fields["model"]),
        step=fields["step"],
        minimum_version=fields["minimum_version"],
        desired_groups=fields["desired_groups"],
        total=fields["total"],
        owner=DaemonId(fields["owner"]),
        created_at=fields["created_at"],
        ended=fields["ended"],
        upload=fields["upload"],
        work=fields["work"],
        tenant=fields.get("tenant"),
        group_size=fields.get("group_size", 0),
    )


def encode_tail(tail: Tail) -> bytes:
    """Returns the value of a tail row; its version is the store's."""
    return orjson.dumps({"count": tail.count, "ended": tail.ended})


def decode_tail(value: bytes, version: int) -> Tail:
    """Reads a tail row's value."""
    fields = orjson.loads(value)
    return Tail(fields["count"], fields["ended"], version)


def encode_items(items: Iterable[Item]) -> bytes:
    """Returns all items as one document."""
    return orjson.dumps(
        [
            [
                item.id,
                item.path,
                item.headers,
                base64.b64encode(item.body).decode(),
                item.tokens,
                item.group,
                item.length_hint,
                _reward_call_fields(item.reward_call),
            ]
            for item in items
        ]
    )


def decode_items(content: bytes) -> tuple[Item, ...]:
    """Reads a document of items."""
    return tuple(_item(fields) for fields in orjson.loads(content))


def _item(fields: list) -> Item:
    """Returns an item from the fields of `encode_items`.

    Rows of earlier versions have no reward call.
    """
    item_id, path, headers, body, tokens, group, length_hint, *later = fields
    (reward_call,) = later or (None,)
    return Item(
        ItemId(item_id),
        path,
        tuple((name, value) for name, value in headers),
        base64.b64decode(body),
        tokens,
        GroupId(group),
        length_hint,
        _reward_call(*reward_call) if reward_call is not None else None,
    )


def _reward_call_fields(call: RewardCall | None) -> list[str] | None:
    if call is None:
        return None
    return [call.id, call.host, call.path, base64.b64encode(call.body).decode()]


def _reward_call(call_id: str, host: str, path: str, body: str) -> RewardCall:
    return RewardCall(RewardCallId(call_id), host, path, base64.b64decode(body))


def encode_result(result: Result) -> bytes:
    """Returns a result as a document."""
    return orjson.dumps(
        [result.item, result.state, result.text, result.versions, result.score, result.group]
    )


def decode_result(content: bytes) -> Result:
    """Reads a document of a result; rows of earlier versions have no score or no group."""
    item, state, text, versions, *later = orjson.loads(content)
    score, group, *_ = (*later, None, None)
    return Result(ItemId(item), ResultState(state), text, tuple(versions), score, group)


def encode_progress(progress: Progress, limit: int) -> bytes:
    """Returns as much of an item's output so far as fits in ``limit`` bytes.

    Only an output that fits altogether is stored as whole.
    """
    count = len(progress.events)
    while True:
        content = orjson.dumps(_progress_fields(progress, count))
        if len(content) <= limit or count == 0:
            return content
        count = count * limit // len(content)


def _progress_fields(progress: Progress, count: int) -> list:
    """Returns the fields of an output's first ``count`` events."""
    first = 0 if progress.last_event is None else progress.last_event - len(progress.events) + 1
    whole = progress.whole and count == len(progress.events)
    return [
        [base64.b64encode(data).decode() for data in progress.events[:count]],
        progress.event_versions[:count],
        first,
        progress.failed_runs,
        whole,
        progress.failed_calls if whole else 0,
    ]


def decode_progress(item: Item, content: bytes) -> Progress:
    """Reads an item's output so far; rows of earlier versions know nothing of reward calls."""
    events, versions, first, failed_runs, *scoring = orjson.loads(content)
    progress = Progress(item, failed_runs=failed_runs)
    for number, (data, version) in enumerate(zip(events, versions, strict=True)):
        progress.take(first + number, base64.b64decode(data), version)
    if scoring:
        progress.whole, progress.failed_calls = scoring
    return progress


def split_rewritten(content: bytes, size: int) -> list[bytes]:
    """Cuts a document that is written again and again, and may become shorter, into pieces.

    It begins with its length, so that pieces left of a longer one are not taken for its end.
    """
    return split(b"%0*d" % (LENGTH_DIGITS, len(content)) + content, size)


def join_rewritten(pieces: Iterable[bytes]) -> bytes:
    """Returns a document from its pieces in order; see `split_rewritten`."""
    content = b"".join(pieces)
    end = LENGTH_DIGITS + int(content[:LENGTH_DIGITS])
    return content[LENGTH_DIGITS:end]


def split(content: bytes, size: int) -> list[bytes]:
    """Cuts a document into pieces of at most ``size`` bytes; an empty one into one piece."""
    return [content[start : start + size] for start in range(0, len(content), size)] or [b""]
