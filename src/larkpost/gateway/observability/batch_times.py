"""Derives a timeline of each batch from the daemons' logs.

For each batch, in order of acceptance: the acceptance time, the number of owners, and the time at
which the median and the last item began to run, had a complete output ("whole"), were scored,
listed and read. All times but the first are seconds since the acceptance. If lines are missing from
a log, a time may be empty or too early, or too late by at most the span of the missing lines.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.explain import LogLine, read_lines

WHOLE = "whole"
"""Logged outcome of a run with a complete output."""
SCORED = "scored"
"""Logged outcome of a reward call that returned a score."""


@dataclass(slots=True)
class BatchTimes:
    """The timeline of one batch; times are in seconds, by the clock of the logging machine.

    Attributes:
        items: number of accepted items; 0 if the acceptance is in no log.
        owners: daemons that ran it, in order.
        desired_groups: number of complete groups that its trainer waits for.
        groups: group of each item that ran.
        began, whole, scored, listed: first time at which each item reached this state.
        read: time at which this many results had first been returned to a caller.
        runs: number of runs at engines, by outcome.
        ended_at: time at which its trainer ended it.
    """

    batch: str
    accepted_at: float | None = None
    step: int = 0
    model: str = ""
    items: int = 0
    desired_groups: int = 0
    owners: list[str] = field(default_factory=list)
    groups: dict[str, str] = field(default_factory=dict)
    began: dict[str, float] = field(default_factory=dict)
    whole: dict[str, float] = field(default_factory=dict)
    scored: dict[str, float] = field(default_factory=dict)
    listed: dict[str, float] = field(default_factory=dict)
    read: dict[int, float] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    ended_at: float | None = None

    def add(self, line: LogLine) -> None:
        """Adds a log line of this batch."""
        fields = line.fields
        match line.event:
            case Event.BATCH_ACCEPTED:
                self.accepted_at = line.at - float(fields.get("seconds", 0))
                self.step = int(fields.get("step", 0))
                self.model = str(fields.get("model", ""))
                self.items = int(fields.get("items", 0))
                self.desired_groups = int(fields.get("desired_groups", 0))
            case Event.BATCH_OWNED:
                self.owners.append(line.daemon)
            case Event.ITEM_RUN:
                self._add_run(line)
            case Event.REWARD_CALL:
                self.calls[fields["outcome"]] += 1
                if fields["outcome"] == SCORED:
                    self.scored.setdefault(fields["item"], line.at)
            case Event.APPENDED:
                for item in fields["items"]:
                    self.listed.setdefault(item, line.at)
            case Event.BATCH_READ:
                self.read.setdefault(fields["position"] + fields["results"], line.at)
            case Event.BATCH_ENDED:
                self.ended_at = self.ended_at or line.at

    def _add_run(self, line: LogLine) -> None:
        item = line.fields["item"]
        self.groups[item] = line.fields.get("group", item)
        outcome = line.fields["outcome"].partition(":")[0]
        self.runs[outcome] += 1
        if line.fields.get("events"):
            self.began.setdefault(item, line.at - line.fields["seconds"])
        if outcome == WHOLE:
            self.whole.setdefault(item, line.at)

    def _desired_groups_listed_at(self) -> float | None:
        """Returns the time at which the last of the desired groups was completely listed.

        Counts any groups, as the logs do not show whether the trainer needs particular ones.
        """
        members: dict[str, list[str]] = {}
        for item, group in self.groups.items():
            members.setdefault(group, []).append(item)
        listed_groups = sorted(
            max(self.listed[item] for item in items)
            for items in members.values()
            if all(item in self.listed for item in items)
        )
        desired = self.desired_groups
        return listed_groups[desired - 1] if 0 < desired <= len(listed_groups) else None

    def row(self, start: float) -> list[str]:
        """Returns the batch as a table row; `start` is time 0 of the table."""
        first = self.accepted_at if self.accepted_at is not None else start
        columns = [
            f"{first - start:.2f}" if self.accepted_at is not None else "?",
            self.batch[:8],
            str(self.step),
            str(self.items),
            str(len(self.owners)),
        ]
        for times in (self.began, self.whole, self.scored, self.listed):
            columns.append(_median_and_last(list(times.values()), first))
        columns.append(_median_and_last(list(self.read.values()), first))
        for at in (self._desired_groups_listed_at(), self.ended_at):
            columns.append(f"{at - first:.1f}" if at is not None else "-")
        columns.append(" ".join(f"{name}:{count}" for name, count in self.runs.most_common()))
        columns.append(" ".join(f"{name}:{count}" for name, count in self.calls.most_common()))
        return columns


COLUMNS = (
    "accepted",
    "batch",
    "step",
    "items",
    "owners",
    "began",
    "whole",
    "scored",
    "listed",
    "read",
    "wanted",
    "ended",
    "runs",
    "reward calls",
)
"""Columns of the table.

"began" to "read" show the times of the median and the last item; "wanted" is the time at which the
trainer's desired number of groups was completely listed.
"""


def read_batch_times(lines: Iterable[str]) -> list[BatchTimes]:
    """Returns the batches in the log lines of daemons, in order of acceptance."""
    batches: dict[str, BatchTimes] = {}
    for line in sorted(read_lines(lines), key=lambda entry: entry.at):
        name = line.fields.get("batch")
        if isinstance(name, str):
            batches.setdefault(name, BatchTimes(name)).add(line)
    return sorted(batches.values(), key=lambda times: times.accepted_at or float("inf"))


def table(batches: list[BatchTimes]) -> list[list[str]]:
    """Returns the rows of the table without its header."""
    known = [times.accepted_at for times in batches if times.accepted_at is not None]
    start = min(known, default=0.0)
    return [times.row(start) for times in batches]


def _median_and_last(times: list[float], first: float) -> str:
    if not times:
        return "-"
    times.sort()
    return f"{times[len(times) // 2] - first:.1f}/{times[-1] - first:.1f}"
