"""Parses and builds the documents of the batch endpoints.

Fields whose names are misleading: ``desired`` counts groups, ``tokens`` is the number of prompt
tokens plus the maximum number of output tokens, ``after-rev`` and ``next-token`` are positions in
the results, and ``scorer-url`` holds a whole call, not its address.
"""

import base64
import binascii
from typing import Any

import orjson

from larkpost.common.ids import BatchId
from larkpost.gateway.blackboard.configuration import ModelName
from larkpost.gateway.blackboard.tenants import TenantName
from larkpost.gateway.rollouts.model import (
    BatchSpec,
    GroupId,
    Item,
    ItemId,
    RewardCall,
    RewardCallId,
)
from larkpost.gateway.rollouts.reader import ResultPage
from larkpost.platform import names

MAX_ID_LENGTH = 120
"""Maximum length of a batch id in characters; ids are part of keys in the store."""


def read_batch(
    batch: bytes,
    host: str,
    path: bytes,
    content: bytes | bytearray,
    tenant: TenantName | None = None,
) -> BatchSpec:
    """Parses a submitted batch.

    Args:
        batch: the id as sent.
        path: the path as sent.
        tenant: tenant that owns the batch; None if it has none.

    Raises:
        ValueError: the document or the id is invalid; the message names the field.
    """
    batch_id = _parse_id(batch)
    document = orjson.loads(content)
    if not isinstance(document, dict):
        raise ValueError("the batch is no JSON object")
    try:
        items = tuple(_parse_item(entry) for entry in document["requests"])
        spec = BatchSpec(
            id=batch_id,
            host=host,
            path=path.decode("latin-1"),
            model=ModelName(document.get("model", "")),
            step=int(document.get("step", 0)),
            minimum_version=int(document.get("min-version", 0)),
            desired_groups=int(document.get("desired", 0)),
            items=items,
            tenant=tenant,
        )
    except (KeyError, TypeError, AttributeError, binascii.Error) as error:
        raise ValueError(f"the batch cannot be read: {error!r}") from None
    _check_items(items)
    return spec


def _parse_id(batch: bytes) -> BatchId:
    text = batch.decode("latin-1")
    if not text or len(text) > MAX_ID_LENGTH or "/" in text:
        raise ValueError("the batch has no usable id")
    return BatchId(text)


def _check_items(items: tuple[Item, ...]) -> None:
    """Checks that all items can be sent and that their ids are unique.

    Raises:
        ValueError: an item cannot be sent, or two items have the same id.
    """
    for item in items:
        _check_sendable(item)
    if len({item.id for item in items}) != len(items):
        raise ValueError("two requests of the batch have one id")


def _check_sendable(item: Item) -> None:
    """Checks that all values of an item that go into a request's head are printable ASCII.

    Raises:
        ValueError: a value contains other characters.
    """
    texts = [item.id, item.path, *(text for header in item.headers for text in header)]
    if item.reward_call is not None:
        texts += [item.reward_call.id, item.reward_call.host, item.reward_call.path]
    for text in texts:
        if not text.isprintable() or not text.isascii():
            raise ValueError(f"item {item.id!r}: {text!r} cannot be sent in a request's head")


def read_position(query: dict[str, list[str]]) -> int:
    """Returns the position from which results are requested.

    Raises:
        ValueError: it is not a non-negative integer.
    """
    text = query.get("after-rev", ["0"])[0]
    if not text.isdigit():
        raise ValueError(f"after-rev is {text!r}, but must be a whole number")
    return int(text)


def page_document(page: ResultPage) -> dict[str, Any]:
    """Returns the document of a page of results."""
    results = []
    for result in page.results:
        entry: dict[str, Any] = {"id": result.item, "state": result.state, "message": result.text}
        if result.versions:
            entry["versions"] = result.versions
        if result.score is not None:
            entry["score"] = result.score
        results.append(entry)
    return {
        "total": page.total,
        "next-token": page.position + len(page.results),
        "results": results,
    }


def _parse_item(entry: dict[str, Any]) -> Item:
    headers = tuple(
        (str(name), str(value))
        for name, value in (entry.get("headers") or {}).items()
        if str(name).lower().encode() not in names.CALLER_HEADERS
    )
    hints = [value for name, value in headers if name.lower().encode() == names.LENGTH_HINT]
    return Item(
        id=ItemId(entry["id"]),
        path=str(entry["path"]),
        headers=headers,
        body=base64.b64decode(entry.get("body") or "", validate=True),
        tokens=int(entry.get("tokens", 0)),
        group=GroupId(str(entry.get("group", entry["id"]))),
        length_hint=int(hints[0]) if hints and hints[0].isdigit() else 0,
        reward_call=_parse_reward_call(entry.get("scorer-url")),
    )


def _parse_reward_call(entry: dict[str, Any] | None) -> RewardCall | None:
    if not entry:
        return None
    return RewardCall(
        id=RewardCallId(entry["id"]),
        host=str(entry["host"]).lower(),
        path=str(entry["path"]),
        body=base64.b64decode(entry.get("body") or "", validate=True),
    )
