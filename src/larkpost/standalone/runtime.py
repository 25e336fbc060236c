"""What all parts of one standalone daemon share."""

import random
from dataclasses import dataclass

from larkpost.common.clock import Clock
from larkpost.common.tasks import TaskSet
from larkpost.standalone.activity import Activity
from larkpost.standalone.blackboard.board import Blackboard
from larkpost.standalone.settings import Settings
from larkpost.standalone.telemetry import Telemetry


@dataclass(frozen=True, slots=True)
class Runtime:
    """What all parts of one daemon share.

    Attributes:
        board: what the controllers read and write.
        clock: all waiting and reading of time.
        tasks: the daemon's background tasks.
        activity: counts the requests being answered.
        rng: the daemon's one source of random draws; the order of draws is that of its users.
    """

    settings: Settings
    board: Blackboard
    clock: Clock
    tasks: TaskSet
    telemetry: Telemetry
    activity: Activity
    rng: random.Random
