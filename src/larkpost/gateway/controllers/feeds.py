"""The tables that a daemon follows, and what takes their rows into its blackboard."""

from collections.abc import Callable
from dataclasses import dataclass

from larkpost.common.tasks import TaskSet
from larkpost.gateway.assembly.environment import GatewayPorts, GatewaySettings
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.controllers.row_intake import RowIntake
from larkpost.gateway.quarantine.repository import CRASH_PART
from larkpost.gateway.store.batch_tables import HEAD_TABLE, PARTS
from larkpost.gateway.store.follower import TableFollower
from larkpost.gateway.store.port import Row

FAST_RELIST_SECONDS = 1.5
SLOW_RELIST_SECONDS = 3.0
IDLE_RELIST_FACTOR = 4
"""How much less often a daemon lists the batches that neither coordinates nor owns any."""
LAPSED_INTERVAL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class HeadListener:
    """Whoever takes the heads of batches.

    Attributes:
        take: takes a head's row.
        is_active: tells whether this daemon has to act on news of batches at once.
    """

    take: Callable[[Row], None]
    is_active: Callable[[], bool]


class Feeds:
    """The operator's rows, the instances' entries and the heads of batches, each followed.

    Args:
        crashes: takes the rows of crashes, which lie in a part of the table of batches.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        ports: GatewayPorts,
        blackboard: Blackboard,
        heads: HeadListener,
        crashes: Callable[[Row], None],
    ) -> None:
        self._ports = ports
        self.intake = RowIntake(
            ports.readers,
            blackboard,
            ports.clock,
            ports.log,
            self.sound_for,
            lambda: settings.contact_time,
            lambda: self.instances.listed,
        )
        self.operator = self._follow(
            ports.readers.operator_table,
            ("",),
            self.intake.take_operator_row,
            SLOW_RELIST_SECONDS,
        )
        self.instances = self._follow(
            ports.readers.instance_table,
            ("",),
            self.intake.take_instance_row,
            FAST_RELIST_SECONDS,
        )
        self.heads = self._follow(
            HEAD_TABLE,
            (*PARTS, CRASH_PART),
            lambda row: crashes(row) if row.key.part == CRASH_PART else heads.take(row),
            SLOW_RELIST_SECONDS,
            lambda: 1 if heads.is_active() else IDLE_RELIST_FACTOR,
        )

    def start(self, tasks: TaskSet) -> None:
        """Starts following."""
        for follower in (self.operator, self.instances, self.heads):
            follower.start(tasks)
        tasks.every(LAPSED_INTERVAL_SECONDS, self.intake.drop_lapsed, "lapsed")

    def sound_for(self) -> float:
        """Returns for how many seconds each call to the store was answered."""
        return self.instances.sound_for(self._ports.clock.now())

    def operator_age(self) -> float:
        """Returns the seconds since the operator's rows were last known to be current."""
        return self.operator.age(self._ports.clock.now())

    def ages(self) -> dict[str, float]:
        """Returns the age of each table in seconds."""
        now = self._ports.clock.now()
        return {
            "operator": self.operator.age(now),
            "instances": self.instances.age(now),
            "batches": self.heads.age(now),
        }

    def _follow(
        self,
        table: str,
        parts: tuple[str, ...],
        listener: Callable[[Row], None],
        relist_interval: float,
        idle_factor: Callable[[], int] = lambda: 1,
    ) -> TableFollower:
        return TableFollower(
            self._ports.store,
            self._ports.clock,
            table,
            parts,
            listener,
            self._ports.log,
            relist_interval=relist_interval,
            idle_factor=idle_factor,
        )
