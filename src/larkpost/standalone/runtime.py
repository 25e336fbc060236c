"""Objects shared by all components of a standalone daemon."""

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
    """Objects shared by all components of one daemon.

    Attributes:
        board: state that the controllers read and write.
        clock: source of time and of all waits.
        tasks: the daemon's background tasks.
        activity: counts the requests in progress.
        rng: the only random generator of the daemon, shared so that seeded runs are reproducible.
    """

    settings: Settings
    board: Blackboard
    clock: Clock
    tasks: TaskSet
    telemetry: Telemetry
    activity: Activity
    rng: random.Random
