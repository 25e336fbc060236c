"""The tables that a daemon follows, and the recording of their rows on its blackboard.

Owns the followers of the operator's rows, the instances' entries and the batch heads.
"""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.controllers.row_recorder import RemovalTrust, RowReaders, RowRecorder
from larkpost.gateway.observability.instruments import Instruments
from larkpost.gateway.store.batch_tables import CRASH_PART, HEAD_TABLE, PARTS
from larkpost.gateway.store.follower import RelistPolicy, TableFollower, TableParts
from larkpost.gateway.store.port import Row, Store

FAST_RELIST_SECONDS = 1.5
"""Interval between listings of the instances."""
SLOW_RELIST_SECONDS = 3.0
"""Interval between listings of the operator's rows and of the batch heads."""
IDLE_RELIST_FACTOR = 4
"""Factor on the interval of batch listings for a daemon that neither coordinates nor owns
batches."""
EXPIRY_CHECK_SECONDS = 0.1
"""Interval between checks for instances whose entries have expired; part of the time that
`row_recorder.EXPIRY_CONFIRMATION_SECONDS` leaves."""


@dataclass(frozen=True, slots=True)
class FeedSource:
    """Where rows come from, and how long the store must be healthy before removals are trusted.

    Attributes:
        contact_time: returns for how many seconds the store must have had no fault before a removal
            is trusted; called at each use, because settings may change at run time.
    """

    store: Store
    readers: RowReaders
    contact_time: Callable[[], float]


@dataclass(frozen=True, slots=True)
class BatchListener:
    """Records the rows of the batch table.

    Attributes:
        record_head: records the row of a batch head.
        record_crash: records the row of a server crash, which is in a part of the same table.
        is_active: returns whether this daemon must act on batch changes at once.
    """

    record_head: Callable[[Row], None]
    record_crash: Callable[[Row], None]
    is_active: Callable[[], bool]

    def record(self, row: Row) -> None:
        """Records a row of the table."""
        if row.key.part == CRASH_PART:
            self.record_crash(row)
        else:
            self.record_head(row)

    def relist_factor(self) -> int:
        """Returns the current factor on the interval between two listings."""
        return 1 if self.is_active() else IDLE_RELIST_FACTOR


class Feeds:
    """The followed tables of one daemon."""

    def __init__(
        self,
        source: FeedSource,
        blackboard: Blackboard,
        instruments: Instruments,
        batches: BatchListener,
    ) -> None:
        self._source = source
        self._instruments = instruments
        # Cyclic dependency: trust in a removed row depends on the follower that delivers it.
        trust = RemovalTrust(self.healthy_for, source.contact_time, lambda: self.instances.listed)
        self.row_recorder = RowRecorder(source.readers, blackboard, instruments, trust)
        self.operator = self._follow(
            TableParts(source.readers.operator_table),
            self.row_recorder.record_operator_row,
            RelistPolicy(SLOW_RELIST_SECONDS),
        )
        self.instances = self._follow(
            TableParts(source.readers.instance_table),
            self.row_recorder.record_instance_row,
            RelistPolicy(FAST_RELIST_SECONDS),
        )
        self.heads = self._follow(
            TableParts(HEAD_TABLE, (*PARTS, CRASH_PART)),
            batches.record,
            RelistPolicy(SLOW_RELIST_SECONDS, batches.relist_factor),
        )

    def start(self, tasks: TaskSet) -> None:
        """Starts following."""
        for follower in (self.operator, self.instances, self.heads):
            follower.start(tasks)
        tasks.every(EXPIRY_CHECK_SECONDS, self.row_recorder.drop_expired_entries, "lapsed")

    def healthy_for(self) -> float:
        """Returns for how many seconds all calls to the store have succeeded."""
        return self.instances.healthy_for(self._instruments.clock.now())

    def operator_age(self) -> float:
        """Returns the seconds since the operator's rows were last known to be current."""
        return self.operator.age(self._instruments.clock.now())

    def ages(self) -> dict[str, float]:
        """Returns the age of each table in seconds."""
        now = self._instruments.clock.now()
        return {
            "operator": self.operator.age(now),
            "instances": self.instances.age(now),
            "batches": self.heads.age(now),
        }

    def _follow(
        self, parts: TableParts, listener: Callable[[Row], None], relist_policy: RelistPolicy
    ) -> TableFollower:
        return TableFollower(self._source.store, parts, listener, self._instruments, relist_policy)
