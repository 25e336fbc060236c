"""Parsing of JSON documents from external systems."""

from typing import Any

import orjson


def parse_json_object(content: bytes) -> dict[str, Any]:
    """Returns the fields of a JSON object.

    Raises:
        ValueError: the content is not a JSON object.
    """
    fields = orjson.loads(content)
    if not isinstance(fields, dict):
        raise ValueError(f"expected a JSON object, got {type(fields).__name__}")
    return fields
