"""Reading JSON documents from outside systems."""

from typing import Any

import orjson


def parse_json_object(content: bytes) -> dict[str, Any]:
    """Returns the fields of a JSON object.

    Raises:
        ValueError: the content is no JSON object.
    """
    fields = orjson.loads(content)
    if not isinstance(fields, dict):
        raise ValueError("not a JSON object")
    return fields
