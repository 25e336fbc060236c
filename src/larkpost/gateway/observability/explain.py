"""Shows all log events of one request, batch, item or instance, from the logs of all daemons.

Reads lines from files or standard input, one JSON object per line; a prefix before the first brace
(such as a time or a machine name) is skipped. Times are by the clocks of the logging machines,
which may disagree; the order of events of one machine is correct.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import orjson

from larkpost.common.incarnations import START_TIME_SEPARATOR
from larkpost.gateway.observability.eventlog import Event

HIDDEN_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type", "daemon"})
CLOSING_EVENTS = frozenset({Event.REQUEST_DONE, Event.REQUEST_FAILED})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Attributes:
        at: time of day in seconds, by the clock of the logging machine.
    """

    at: float
    daemon: str
    event: str
    fields: dict[str, Any]

    def mentions(self, wanted_id: str) -> bool:
        """Returns whether a field of the line is an id, or a list that contains it.

        A server name matches all its incarnations.
        """
        values = (
            item
            for value in self.fields.values()
            for item in (value if isinstance(value, list) else (value,))
        )
        prefix = f"{wanted_id}{START_TIME_SEPARATOR}"
        return any(
            value == wanted_id or (isinstance(value, str) and value.startswith(prefix))
            for value in values
        )


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the log lines among the given lines; others are skipped."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            document = orjson.loads(text[start:])
            event = document["message_type"]
            at = float(document["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue  # other output of the process in the same file
        fields = {name: value for name, value in document.items() if name not in HIDDEN_FIELDS}
        yield LogLine(at, str(document.get("daemon", "?")), str(event), fields)


def explain(lines: Iterable[str], wanted_id: str) -> list[str]:
    """Returns the events of an id, one line each, followed by notes on missing events."""
    parsed = list(read_lines(lines))
    matching = [line for line in parsed if line.mentions(wanted_id)]
    batches = {line.fields["batch"] for line in matching if "batch" in line.fields} - {wanted_id}
    matching.extend(
        line
        for line in parsed
        if line.fields.get("batch") in batches
        and "item" not in line.fields
        and line not in matching
    )
    matching.sort(key=lambda line: line.at)
    if not matching:
        return [f"no line names {wanted_id}: it never reached a daemon whose log is here"]
    first = matching[0].at
    return [_describe(line, first) for line in matching] + _missing(parsed, matching, wanted_id)


def _describe(line: LogLine, first: float) -> str:
    fields = " ".join(f"{name}={_text(value)}" for name, value in line.fields.items())
    return f"{line.at - first:+9.3f} s  {line.daemon}  {line.event}  {fields}"


def _text(value: Any) -> str:
    return orjson.dumps(value).decode() if isinstance(value, list | dict) else str(value)


def _missing(parsed: list[LogLine], matching: list[LogLine], wanted_id: str) -> list[str]:
    """Returns notes on events that a complete log would contain."""
    events = {line.event for line in matching}
    missing = []
    if any("request" in line.fields for line in matching) and not events & CLOSING_EVENTS:
        missing.append("missing: how the request ended (its client left, or its daemon died)")
    if any("batch" in line.fields for line in matching):
        if Event.BATCH_ACCEPTED not in events:
            missing.append("missing: the batch's acceptance; its daemon's log is not here")
        if Event.BATCH_OWNED not in events:
            missing.append("missing: who ran the batch")
        if not events & {Event.BATCH_ENDED, Event.BATCH_COMPLETE}:
            missing.append("missing: the batch's end; it was still open, or its daemon died")
    left_out = [line for line in parsed if line.event == Event.LEFT_OUT]
    if left_out:
        missing.append(
            f"note: {len(left_out)} times lines were left out, some may concern {wanted_id}"
        )
    return missing
