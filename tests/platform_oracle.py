"""Invariants of a fleet on the platform, checked against what callers, engines and store saw."""

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import BatchId, RegionId
from larkpost.gateway.rollouts.errors import BatchRefusedError
from larkpost.gateway.rollouts.model import BatchSpec, Result, ResultState, RewardCallId
from larkpost.platform.stand_in.memory_store import StoreFaults
from tests import platform_checks as checks
from tests.platform_fleet import (
    CONFIGURATION,
    ENGINES,
    Arrival,
    PlatformFleet,
    expected_text,
)
from tests.platform_places import REGIONS


class PlatformOracle:
    """Calls daemons as trainers do, records the responses, and checks that they hold.

    Attributes:
        accepted: batches that a daemon confirmed as accepted.
        refused: batches that a daemon confirmed as never accepted.
        ended: batches that a caller tried to end.
        read: results read of each batch, by position.
        unavailable: number of calls that failed without any guarantee.
        asked: numbers of the daemons to which a trainer sent each batch.
        homes: regions in which batches may be served; None for all.
        troubles: for each daemon, the spans in which it could not read the store, in the resolution
            of the checks, which run after each step.
        unstable: spans in which the store had any fault.
    """

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.accepted: dict[BatchId, BatchSpec] = {}
        self.refused: dict[BatchId, BatchSpec] = {}
        self.ended: set[BatchId] = set()
        self.read: dict[BatchId, list[Result]] = {}
        self.unavailable = 0
        self.asked: dict[BatchId, set[int]] = {}
        self.homes: frozenset[RegionId] | None = None
        self.troubles: dict[int, list[tuple[float, float]]] = {}
        self.unstable: list[tuple[float, float]] = []
        self._in_trouble: set[int] = set()
        self._sends_checked = 0
        self._checked_at = 0.0

    @classmethod
    def of_batch(cls, fleet: PlatformFleet, spec: BatchSpec) -> "PlatformOracle":
        """Returns an oracle for one batch that was submitted without the oracle."""
        oracle = cls(fleet)
        oracle.accepted[spec.id] = spec
        return oracle

    async def submit(self, gateway, spec: BatchSpec) -> bool:
        """Submits a batch and returns whether it was accepted."""
        self.asked.setdefault(spec.id, set()).add(self.fleet.gateways.index(gateway))
        try:
            await gateway.batches.submit(spec)
        except BatchRefusedError:
            if spec.id not in self.accepted:
                self.refused[spec.id] = spec
            return False
        except LarkpostError:
            self.unavailable += 1
            return False  # whether it was accepted is unknown
        self.accepted[spec.id] = spec
        self.refused.pop(spec.id, None)
        return True

    async def look(self, gateway, batch: BatchId, position: int, wait: float = 0.3) -> None:
        """Reads a batch from a position on; results read before must be unchanged."""
        try:
            page = await gateway.batches.read(batch, position, wait)
        except LarkpostError as error:
            assert error.status == 503, f"{batch} is accepted, but reading gives {error.code}"
            self.unavailable += 1
            return
        known = self.read.setdefault(batch, [])
        for number, result in enumerate(page.results, position):
            if number < len(known):
                assert known[number] == result, f"{batch}: position {number} has changed"
            else:
                known.append(result)

    async def end(self, gateway, batch: BatchId) -> bool:
        """Ends a batch and returns whether that was confirmed."""
        self.ended.add(batch)
        try:
            await gateway.batches.end(batch)
        except LarkpostError:
            self.unavailable += 1
            return False
        return True

    def check(self) -> None:
        """Checks all invariants that hold at all times."""
        self.check_orders()
        self.check_refused()
        self.check_listed()
        self.check_scores()
        self.check_usage()
        self.check_cold()
        self.check_homes()
        self.check_evacuated()
        self.check_crashes()

    def check_crashes(self) -> None:
        """A client request that crashed three servers is hardly sent by daemons that know of it.

        Items and their reward calls are owed, however many servers crash under them.
        """
        fleet = self.fleet
        for target in fleet.engines.crashing - self._batch_targets():
            arrivals = [arrival for arrival in fleet.arrivals if arrival.target == target]
            crashed = {fleet.crashed_at.get(arrival.instance) for arrival in arrivals} - {None}
            counted = [arrival.at for arrival in arrivals if self._is_in_touch(arrival)]
            checks.check_crashes(target.decode(), sorted(crashed), counted)

    def _batch_targets(self) -> set[bytes]:
        """Returns the targets of all items and reward calls."""
        items = [item for spec in self.accepted.values() for item in spec.items]
        calls = [item.reward_call for item in items if item.reward_call is not None]
        return {work.path.encode() for work in (*items, *calls)}

    def _is_in_touch(self, arrival: Arrival) -> bool:
        """Returns whether a daemon could read the store for long enough to know of crashes."""
        since = arrival.at - checks.CONTACT_SECONDS
        if self.fleet.started_at[arrival.daemon] > since:
            return False
        spans = [*self.unstable, *self.troubles.get(arrival.daemon, ())]
        return not any(start <= arrival.at and end >= since for start, end in spans)

    def check_cold(self) -> None:
        """All daemons together stay within the bound of sends to a cold engine in any second."""
        if self.fleet.cold is None:
            return
        bound = self.fleet.cold.bound(CONFIGURATION.services[ENGINES].cold_rate)
        for name, state in self.fleet.engines.engines.items():
            checks.check_cold(name, state.cold_arrivals, bound)

    def check_homes(self) -> None:
        """No engine or daemon outside the allowed regions holds a body, unless a trainer sent it.

        A peer that writes items for a daemon may also be in that daemon's region.
        """
        if self.homes is None:
            return
        for name, state in self.fleet.engines.engines.items():
            if state.runs:
                checks.check_home(name, REGIONS.get(self.fleet.engine_zones[name]), self.homes)
        for number, client in enumerate(self.fleet.clients):
            region = self.fleet.region_of_gateway(number)
            for batch in client.items_read | client.items_written:
                asked = self.asked.get(BatchId(batch), set())
                near = {self.fleet.region_of_gateway(other) for other in asked}
                is_relay = batch not in client.items_read and region in near
                if number not in asked and not is_relay:
                    checks.check_home(f"reader {number} of {batch}", region, self.homes)

    def check_evacuated(self) -> None:
        """No daemon sends requests to an evacuated zone once it must know of the evacuation."""
        self._record_troubles()
        sends = self.fleet.sends[self._sends_checked :]
        self._sends_checked = len(self.fleet.sends)
        for send in sends:
            troubles = self.troubles.get(send.daemon, ())
            for span in self.fleet.evacuations:
                if span.zone == send.zone:
                    known_at = checks.known_by(span.began_at, troubles)
                    checks.check_evacuated(send.instance, send.at, known_at, span.ended_at)

    def _record_troubles(self) -> None:
        """Records which daemons cannot read the store, or only slowly."""
        now = self.fleet.now()
        faults = self.fleet.store.faults
        is_ill = faults.down or faults.refuses or faults.slow_seconds > 0
        if faults != StoreFaults():
            self.unstable.append((self._checked_at, now))
        self._checked_at = now
        for daemon, client in enumerate(self.fleet.clients):
            is_suspended = not self.fleet.clocks[daemon].awake.is_set()
            if not (is_ill or client.cut_off or client.refused or is_suspended):
                self._in_trouble.discard(daemon)
                continue
            spans = self.troubles.setdefault(daemon, [])
            start = spans.pop()[0] if daemon in self._in_trouble else now
            spans.append((start, now))
            self._in_trouble.add(daemon)

    def check_orders(self) -> None:
        """Lease holders never alternate at an engine within a lease; fencing tokens rise."""
        for name, state in self.fleet.engines.engines.items():
            checks.check_turns([(order[0], order[1], order[4]) for order in state.orders], name)

    def check_usage(self) -> None:
        """Each usage window has one report; lease holders never alternate within a lease."""
        received = self.fleet.usage.received
        checks.check_turns(
            [(report.holder, report.token, report.at) for report in received], "usage"
        )
        checks.check_reports((report.window, report.counts) for report in received)

    def check_refused(self) -> None:
        """No item of a refused batch has run."""
        ran = {name for state in self.fleet.engines.engines.values() for name in state.runs}
        for spec in self.refused.values():
            assert not ran & {item.id for item in spec.items}, f"{spec.id} was refused, but runs"

    def check_listed(self) -> None:
        """The store lists each item once, complete, and with versions that are new enough."""
        for batch, spec in self.accepted.items():
            listed = self.fleet.stored_results(batch)
            checks.check_once(
                batch, [result.item for result in listed], {item.id for item in spec.items}
            )
            assert listed[: len(self.read.get(batch, ()))] == self.read.get(batch, [])
            for result in listed:
                if result.state is ResultState.DONE:
                    checks.check_text(
                        result.item,
                        result.text,
                        expected_text(result.item),
                        result.versions,
                        spec.minimum_version,
                    )

    def check_scores(self) -> None:
        """A score is the signature of a call that started after the text was first complete.

        An item without a score is dead, and only after as many failures as its call's route allows.
        """
        for batch, spec in self.accepted.items():
            calls = {item.id: item.reward_call for item in spec.items if item.reward_call}
            for result in self.fleet.stored_results(batch):
                if result.item not in calls:
                    assert result.score is None, f"{result.item} has a score without a call"
                elif result.state is ResultState.DONE:
                    self._check_score(result, calls[result.item].id)
                elif not self._crashes_servers(spec, result.item):
                    failures = self.fleet.answers_of_failure(calls[result.item].id)
                    checks.check_given_up(result.item, failures)

    def _crashes_servers(self, spec: BatchSpec, name: str) -> bool:
        """Returns whether an item or its call crashes servers, so that it dies when it expires."""
        item = next(item for item in spec.items if item.id == name)
        targets = {item.path.encode(), item.reward_call.path.encode()}
        return bool(targets & self.fleet.engines.crashing)

    def _check_score(self, result: Result, call: RewardCallId) -> None:
        """Checks the score of a result that is done."""
        engines = self.fleet.engines.engines.values()
        whole_at = min(
            (state.whole_at[result.item] for state in engines if result.item in state.whole_at),
            default=float("inf"),
        )
        began = [
            at
            for state in engines
            for signature, at in state.signatures.get(call, ())
            if signature == result.score
        ]
        checks.check_score(result.item, began, whole_at)

    def missing(self) -> list[BatchId]:
        """Returns the accepted batches that are neither complete nor ended."""
        return [
            batch
            for batch in self.accepted
            if batch not in self.ended and not self._is_whole(batch)
        ]

    def _is_whole(self, batch: BatchId) -> bool:
        return len(self.fleet.stored_results(batch)) == len(self.accepted[batch].items)
