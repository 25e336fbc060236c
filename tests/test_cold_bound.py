"""Cold servers: the limit holds while owners send all they may and some are cut off."""

import random
import unittest

from larkpost.common.clock import LoopClock
from larkpost.common.ids import DaemonId
from larkpost.gateway.blackboard.board import Blackboard
from larkpost.gateway.controllers.fleet_view import MAX_LISTING_AGE_INTERVALS
from larkpost.gateway.controllers.heartbeat_intervals import FAST_HEARTBEAT_SECONDS
from larkpost.gateway.observability.eventlog import EventLog
from larkpost.gateway.placement.cold_rate_limit import (
    POLL_SECONDS,
    ColdRateLimit,
)
from larkpost.gateway.placement.sender_tracker import (
    SenderTracker,
)
from tests.cold_views import BOUND, ENGINE, INFO, ITEM_WORK, LONG_SECONDS, RATE, daemon_ids
from tests.platform_checks import check_cold
from tests.platform_fleet import (
    COLD_TERMS,
    CONFIGURATION,
)
from tests.virtual import run


class GreedyDaemon:
    """A batch owner that sends everything its rate limit admits to one cold engine.

    Attributes:
        delay: seconds after which it learns of owners; it learns of none while it is cut off.
        cut_at: when it was cut off; None if it is not.
    """

    def __init__(self, own: DaemonId, clock: LoopClock, history: list) -> None:
        self.own = own
        self.clock = clock
        self.history = history
        self.listed = True
        self.delay = 0.05
        self.cut_at: float | None = None
        self.is_owner = False
        blackboard = Blackboard()
        blackboard.configuration.update(CONFIGURATION)
        blackboard.directory.update(INFO)
        blackboard.cold.record(ENGINE, 10 * LONG_SECONDS, clock.now())
        senders = SenderTracker(own, clock)
        senders.set_sources(self.owners, self, self)
        self.rule = ColdRateLimit(COLD_TERMS, blackboard, clock, EventLog(own), senders)

    def silence(self) -> float:
        """Returns the seconds for which it has been cut off."""
        return self.clock.now() - self.cut_at if self.cut_at is not None else 0.0

    def has_recent_listing(self) -> bool:
        """Returns whether it has recently listed the others; see `Membership`."""
        return self.silence() < MAX_LISTING_AGE_INTERVALS * FAST_HEARTBEAT_SECONDS

    def alive(self) -> tuple[DaemonId, ...]:
        """Returns the live daemons."""
        return ()

    def age(self, now: float) -> float:
        """Returns the age of the batch feed."""
        return self.delay + self.silence()

    def owners(self) -> set[DaemonId]:
        """Returns the owners that it knows of, itself included while it considers itself one."""
        known_at = (self.cut_at if self.cut_at is not None else self.clock.now()) - self.delay
        known = next((owners for at, owners in reversed(self.history) if at <= known_at), set())
        if self.cut_at is None:
            self.is_owner = self.own in self.history[-1][1]
        return known - {self.own} | ({self.own} if self.is_owner else set())

    def send(self) -> int:
        """Sends as much as it may at this moment, and returns the number of sends."""
        self.owners()
        if not self.is_owner:
            return 0
        return sum(self.rule.admit(INFO, ITEM_WORK).is_allowed for _ in range(10))


class GreedyOwnersTest(unittest.TestCase):
    """Three batches at a time, with new owners each step, while some are cut off and still send."""

    DAEMONS = 12
    TRAINERS = 3
    STEP_SECONDS = 4.0
    TICK_SECONDS = 0.02
    MAX_CUT_OFF = 4

    def simulate(self, seed: int, cuts: int) -> int:
        """Simulates a minute, checks every second, and returns the number of requests sent."""

        async def work() -> list[float]:
            rng, clock, history = random.Random(seed), LoopClock(), [(0.0, set())]
            daemons = [GreedyDaemon(own, clock, history) for own in daemon_ids(self.DAEMONS)]
            times: list[float] = []
            steps = int(60 / self.TICK_SECONDS)
            for step in range(steps):
                if step % int(self.STEP_SECONDS / self.TICK_SECONDS) == 0:
                    connected = [daemon for daemon in daemons if daemon.cut_at is None]
                    owners = {daemon.own for daemon in rng.sample(connected, self.TRAINERS)}
                    history.append((clock.now(), owners))
                if step % int(POLL_SECONDS / self.TICK_SECONDS) == 0:
                    for daemon in daemons:
                        await daemon.rule.poll()
                self.inject_faults(rng, daemons, cuts)
                for daemon in rng.sample(daemons, len(daemons)):
                    times += [clock.now()] * daemon.send()
                await clock.sleep(self.TICK_SECONDS)
            return times

        times = run(work())
        check_cold("engine", times, BOUND)
        return len(times)

    def inject_faults(self, rng: random.Random, daemons: list[GreedyDaemon], cuts: int) -> None:
        """Changes the delay of news at random, and cuts daemons off or reconnects them."""
        daemon = rng.choice(daemons)
        if daemon.cut_at is None:
            daemon.delay = rng.choice((0.02, 0.1, 0.5))
        if rng.random() < 0.04:
            is_cut = daemon.cut_at is not None
            if is_cut or sum(other.cut_at is not None for other in daemons) < cuts:
                daemon.cut_at = None if is_cut else daemon.clock.now()

    def test_each_step_has_new_owners(self) -> None:
        for seed in range(10):
            self.assertGreater(self.simulate(seed, 0), 60 * RATE / 2)

    def test_daemons_that_are_cut_off_keep_sending(self) -> None:
        for seed in range(10):
            self.assertGreater(self.simulate(seed, self.MAX_CUT_OFF), 60 * RATE / 2)


if __name__ == "__main__":
    unittest.main()
