"""Converts between the documents of store calls and the types of the store port.

Fields whose names are misleading: ``ver`` is the number of the transaction that last changed a row,
or, in a page, the newest one of the whole store; ``after-rev`` takes such a number;
``target-version`` is the key at which a read ends (exclusive).
"""

import base64
from typing import Any

from larkpost.gateway.store.port import (
    Row,
    RowKey,
    RowPage,
    StoreUnavailableError,
    Transaction,
    WriteOutcome,
    WriteResult,
)

OK = 200
HISTORY_LOST = 410
CONFLICT = 412
THROTTLED = 429
UNAVAILABLE = 503

READABLE_STATUSES = (OK, CONFLICT)
"""Statuses of responses that have a document."""


PARSE_FAILURES = (KeyError, TypeError, AttributeError, ValueError, OverflowError)
"""Errors of documents that hold something else than what was asked for."""


def write_result(status: int, document: Any) -> WriteResult:
    """Returns the result of a transaction; it is unknown if the document cannot be parsed."""
    try:
        if status == OK:
            return WriteResult(WriteOutcome.DONE, int(document["ver"]))
        if status == CONFLICT:
            rows = tuple(_read_row(row, 0) for row in document.get("rows", ()))
            return WriteResult(WriteOutcome.CONFLICT, rows=rows)
    except PARSE_FAILURES:
        return WriteResult(WriteOutcome.UNKNOWN)
    if status == THROTTLED:
        return WriteResult(WriteOutcome.THROTTLED)
    if status == UNAVAILABLE or 400 <= status < 500:
        return WriteResult(WriteOutcome.NOT_DONE)
    return WriteResult(WriteOutcome.UNKNOWN)


def read_page(status: int, document: Any) -> RowPage:
    """Returns a page of rows.

    Raises:
        StoreUnavailableError: the store refused, or the document cannot be parsed.
    """
    if status != OK:
        raise StoreUnavailableError(f"the store responded with status {status}")
    try:
        version = int(document["ver"])
        rows = tuple(_read_row(row, version) for row in document["rows"])
        return RowPage(rows, bool(document.get("more", False)), version)
    except PARSE_FAILURES as error:
        raise StoreUnavailableError(f"the store's response cannot be parsed: {error!r}") from None


def rows_query(table: str, part: str, first: str, end: str, limit: int) -> dict[str, str]:
    """Returns the query of a read call.

    Args:
        first: first key; empty to start at the part's first key.
        end: key at which to stop (exclusive); empty to read to the end of the part.
        limit: maximum number of rows; 0 for the store's own limit.
    """
    query = {"table": table, "part": part}
    if first:
        query["from"] = first
    if end:
        query["target-version"] = end
    if limit:
        query["limit"] = str(limit)
    return query


def changes_query(table: str, after: int, wait: float) -> dict[str, str]:
    """Returns the query of a feed call.

    Args:
        after: version after which changes are returned.
        wait: seconds for which the store may hold the call.
    """
    return {"table": table, "after-rev": str(after), "wait-ms": str(int(wait * 1000))}


def transaction_document(transaction: Transaction) -> dict[str, Any]:
    """Returns the document of a transaction."""
    return {
        "expected": [
            _key_document(key) | {"ver": version} for key, version in transaction.conditions
        ],
        "put": [
            _key_document(key) | {"value": base64.b64encode(value).decode()}
            for key, value in transaction.puts
        ],
        "remove": [_key_document(key) for key in transaction.removals],
    }


def _key_document(key: RowKey) -> dict[str, Any]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _read_row(document: dict[str, Any], default_version: int) -> Row:
    key = RowKey(document["table"], document.get("part", ""), document["key"])
    removed = bool(document.get("gone", False))
    value = b"" if removed else base64.b64decode(document.get("value") or "")
    return Row(key, value, int(document.get("ver", default_version)), removed)
