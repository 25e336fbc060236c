"""Writes batches as values of store rows, and reads them."""

import base64
from collections.abc import Iterable

import orjson

from larkpost.fleet.configuration import ModelName
from larkpost.ids import BatchId, DaemonId
from larkpost.rollouts.attempt import Progress
from larkpost.rollouts.model import (
    BatchHead,
    GroupId,
    Item,
    ItemId,
    Result,
    ResultState,
    Tail,
)


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
        }
    )


def decode_head(batch: BatchId, value: bytes) -> BatchHead:
    """Reads a head row's value."""
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
            ]
            for item in items
        ]
    )


def decode_items(content: bytes) -> tuple[Item, ...]:
    """Reads a document of items."""
    return tuple(
        Item(
            ItemId(item_id),
            path,
            tuple((name, value) for name, value in headers),
            base64.b64decode(body),
            tokens,
            GroupId(group),
            length_hint,
        )
        for item_id, path, headers, body, tokens, group, length_hint in orjson.loads(content)
    )


def encode_result(result: Result) -> bytes:
    """Returns a result as a document."""
    return orjson.dumps([result.item, result.state, result.text, result.versions])


def decode_result(content: bytes) -> Result:
    """Reads a document of a result."""
    item, state, text, versions = orjson.loads(content)
    return Result(ItemId(item), ResultState(state), text, tuple(versions))


def encode_progress(progress: Progress, limit: int) -> bytes:
    """Returns as much of an item's output so far as fits in ``limit`` bytes."""
    count = len(progress.events)
    while True:
        events = [base64.b64encode(data).decode() for data in progress.events[:count]]
        first = 0 if progress.last_event is None else progress.last_event - len(progress.events) + 1
        document = [events, progress.event_versions[:count], first, progress.failed_runs]
        content = orjson.dumps(document)
        if len(content) <= limit or count == 0:
            return content
        count = count * limit // len(content)


def decode_progress(item: Item, content: bytes) -> Progress:
    """Reads an item's output so far."""
    events, versions, first, failed_runs = orjson.loads(content)
    progress = Progress(item, failed_runs=failed_runs)
    for number, (data, version) in enumerate(zip(events, versions, strict=True)):
        progress.take(first + number, base64.b64decode(data), version)
    return progress


def split(content: bytes, size: int) -> list[bytes]:
    """Cuts a document into pieces of at most ``size`` bytes; an empty one into one piece."""
    return [content[start : start + size] for start in range(0, len(content), size)] or [b""]
