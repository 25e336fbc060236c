"""Encodes batches as values of store rows, and decodes them.

The format is fixed, as daemons of different versions read each other's rows.
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
"""Digits of the length prefix of a document that is rewritten."""


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
    """Decodes the value of a head row; rows of earlier versions lack tenant and group size."""
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
    """Returns the value of a tail row; the store keeps its version."""
    return orjson.dumps({"count": tail.count, "ended": tail.ended})


def decode_tail(value: bytes, version: int) -> Tail:
    """Decodes the value of a tail row."""
    fields = orjson.loads(value)
    return Tail(fields["count"], fields["ended"], version)


def encode_items(items: Iterable[Item]) -> bytes:
    """Encodes all items as one document."""
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
    """Decodes a document of items."""
    return tuple(_item(fields) for fields in orjson.loads(content))


def _item(fields: list) -> Item:
    """Decodes the fields of an item; rows of earlier versions lack the reward call."""
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
    """Encodes a result as a document."""
    return orjson.dumps(
        [result.item, result.state, result.text, result.versions, result.score, result.group]
    )


def decode_result(content: bytes) -> Result:
    """Decodes a result; rows of earlier versions lack the group, or score and group."""
    item, state, text, versions, *later = orjson.loads(content)
    score, group, *_ = (*later, None, None)
    return Result(ItemId(item), ResultState(state), text, tuple(versions), score, group)


def encode_progress(progress: Progress, limit: int) -> bytes:
    """Encodes as many events of an item's output as fit in ``limit`` bytes.

    An output is marked as complete only if all its events fit.
    """
    count = len(progress.events)
    while True:
        content = orjson.dumps(_progress_fields(progress, count))
        if len(content) <= limit or count == 0:
            return content
        count = count * limit // len(content)


def _progress_fields(progress: Progress, count: int) -> list:
    """Returns the fields of the first ``count`` events of an output."""
    first = 0 if progress.last_event is None else progress.last_event - len(progress.events) + 1
    is_complete = progress.whole and count == len(progress.events)
    return [
        [base64.b64encode(data).decode() for data in progress.events[:count]],
        progress.event_versions[:count],
        first,
        progress.failed_runs,
        is_complete,
        progress.failed_calls if is_complete else 0,
    ]


def decode_progress(item: Item, content: bytes) -> Progress:
    """Decodes an item's output; rows of earlier versions lack the state of reward calls."""
    events, versions, first, failed_runs, *scoring = orjson.loads(content)
    progress = Progress(item, failed_runs=failed_runs)
    for number, (data, version) in enumerate(zip(events, versions, strict=True)):
        progress.take(first + number, base64.b64decode(data), version)
    if scoring:
        progress.whole, progress.failed_calls = scoring
    return progress


def split_rewritten(content: bytes, size: int) -> list[bytes]:
    """Splits a document that is rewritten, and may become shorter, into chunks.

    The length prefix lets a reader ignore chunks left over from a longer earlier document.
    """
    return split(b"%0*d" % (LENGTH_DIGITS, len(content)) + content, size)


def join_rewritten(chunks: Iterable[bytes]) -> bytes:
    """Joins the chunks of a document in order; see `split_rewritten`."""
    content = b"".join(chunks)
    end = LENGTH_DIGITS + int(content[:LENGTH_DIGITS])
    return content[LENGTH_DIGITS:end]


def split(content: bytes, size: int) -> list[bytes]:
    """Splits a document into chunks of at most ``size`` bytes; an empty one into one chunk."""
    return [content[start : start + size] for start in range(0, len(content), size)] or [b""]
