"""Shows from the daemons' logs where the time of each batch went.

For each batch, in the order of acceptance: when it was accepted, who owned it, and for its items
when the middle one and the last one had begun to run, were whole, were scored, got their places in
the list of results, and were read. All but the first are seconds from the acceptance. Lines that
were left out of a log make a time early or empty, never late by more than what is missing.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from larkpost.gateway.observability.eventlog import Event
from larkpost.gateway.observability.explain import LogLine, read_lines

WHOLE = "whole"
"""Outcome of a run, as logged, that left a whole output."""
SCORED = "scored"
"""Outcome of a reward call, as logged, that gave a score."""


@dataclass(slots=True)
class BatchTimes:
    """One batch as its daemons' logs tell it; times are the writing machines', in seconds.

    Attributes:
        items: how many items were accepted; 0 if the acceptance is in no log.
        owners: daemons that ran it, in turn.
        desired_groups: whole groups that its trainer waits for.
        groups: the group of each item that ran.
        began, whole, scored, listed: when each item first began to run, was whole, scored, listed.
        read: when so many results had been given to a caller for the first time.
        runs: ends of its runs at engines, counted by outcome.
        ended_at: when its trainer ended it.
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
        """Adds what one line says that names this batch."""
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

    def _wanted_at(self) -> float | None:
        """Returns when the last item of the last group that the trainer waits for was listed.

        Any groups are taken to serve: which ones the trainer insists on is in no log.
        """
        members: dict[str, list[str]] = {}
        for item, group in self.groups.items():
            members.setdefault(group, []).append(item)
        whole_groups = sorted(
            max(self.listed[item] for item in items)
            for items in members.values()
            if all(item in self.listed for item in items)
        )
        wanted = self.desired_groups
        return whole_groups[wanted - 1] if 0 < wanted <= len(whole_groups) else None

    def row(self, start: float) -> list[str]:
        """Returns the batch as a row of the table; `start` is the table's time 0."""
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
        for at in (self._wanted_at(), self.ended_at):
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

From "began" to "read" each holds the middle item's and the last one's time; "wanted" is when as
many groups were listed whole as the trainer waits for.
"""


def read_batch_times(lines: Iterable[str]) -> list[BatchTimes]:
    """Returns the batches that the lines of daemons' logs name, in the order of acceptance."""
    batches: dict[str, BatchTimes] = {}
    for line in sorted(read_lines(lines), key=lambda entry: entry.at):
        name = line.fields.get("batch")
        if isinstance(name, str):
            batches.setdefault(name, BatchTimes(name)).add(line)
    return sorted(batches.values(), key=lambda times: times.accepted_at or float("inf"))


def table(batches: list[BatchTimes]) -> list[list[str]]:
    """Returns the rows of the table, without its head."""
    known = [times.accepted_at for times in batches if times.accepted_at is not None]
    start = min(known, default=0.0)
    return [times.row(start) for times in batches]


def _median_and_last(times: list[float], first: float) -> str:
    if not times:
        return "-"
    times.sort()
    return f"{times[len(times) // 2] - first:.1f}/{times[-1] - first:.1f}"
