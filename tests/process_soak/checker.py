"""Checks the invariants of a soak against what trainers, clients and servers recorded.

The checks of single results are shared with the fuzz oracle (`tests.platform_checks`).
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from larkpost.common.ids import Address
from larkpost.gateway.rollouts.model import ResultState
from larkpost.platform.stand_in.engine_state import expected_output
from larkpost.platform.stand_in.rows import BATCH_PREFIX, TRAINING
from tests import platform_checks as checks
from tests.process_soak.kept_connections import NOT_RUN_STATUSES, KeptRequest
from tests.process_soak.records import Evacuation, Records

APPLY_SECONDS = 2.0
"""Time after the acknowledgement of a configuration until it is in effect everywhere."""
CANCEL_SECONDS = 3.0
"""Time after the acknowledgement of a batch's end during which its items may still run."""
CRASH_REPORT_SECONDS = 4.0
"""Time after a fault until each daemon knows of all crashes, including the start of a daemon."""
STOP_SECONDS = 8.0
"""The daemons' grace time."""
EXEMPT_SECONDS = 3.0
"""A stream sent within this time after SIGTERM may be cut in the last sixth of the grace time."""
CONTACT_SECONDS = 3.0
FAULT_SLACK_SECONDS = 12.0
"""Time after a fault during which rules with time bounds are not enforced."""


@dataclass(slots=True)
class SubmittedBatch:
    """A batch as its trainer knows it; times are monotonic.

    Attributes:
        calls: the reward call of each item.
        accepted: whether a daemon has accepted it.
        refused: whether its trainer gave up after only responses that guarantee it does not run.
        ended_at: time at which its end was acknowledged.
        read: the results read so far, by position.
    """

    batch: str
    calls: dict[str, str]
    minimum_version: int
    accepted: bool = False
    refused: bool = False
    ended_at: float | None = None
    read: list[dict] = field(default_factory=list)

    @property
    def is_whole(self) -> bool:
        """Whether all results have been read."""
        return len(self.read) == len(self.calls)


@dataclass(slots=True)
class InvariantChecker:
    """Collects what the callers observed and checks it against the records.

    Attributes:
        client_requests: ids of all client requests; the value is whether the request may run only
            once.
        reported_not_run: run-once requests that a response guaranteed not to run.
        tenants: the tenant whose key each client request carried.
        revoked: requests with a revoked key, with the time of the revocation.
        fault_times: times at which faults started or ended.
        disruptions: start and end of faults that keep updates from daemons or requests from
            servers; the end is infinite while the fault lasts.
        evacuations: the site's evacuations, updated as they happen.
        crash_report_gaps: start and end of faults that may lose or delay crash reports.
        unplanned: start and end of faults that are no planned work.
        kept_requests: streams on kept connections, updated as they end.
        stops: fronts of daemons that got SIGTERM, with the time, updated as they do.
    """

    batches: dict[str, SubmittedBatch] = field(default_factory=dict)
    client_requests: dict[str, bool] = field(default_factory=dict)
    reported_not_run: set[str] = field(default_factory=set)
    tenants: dict[str, str] = field(default_factory=dict)
    revoked: dict[str, float] = field(default_factory=dict)
    fault_times: list[float] = field(default_factory=list)
    disruptions: list[tuple[float, float]] = field(default_factory=list)
    evacuations: Sequence[Evacuation] = ()
    crash_report_gaps: list[tuple[float, float]] = field(default_factory=list)
    unplanned: list[tuple[float, float]] = field(default_factory=list)
    kept_requests: Sequence[KeptRequest] = ()
    stops: Sequence[tuple[Address, float]] = ()

    def record_page(self, batch: SubmittedBatch, position: int, results: list[dict]) -> None:
        """Records results that a daemon returned; earlier results must not change."""
        for number, result in enumerate(results, position):
            if number < len(batch.read):
                assert batch.read[number] == result, f"{batch.batch}: position {number} has changed"
            elif number == len(batch.read):
                batch.read.append(result)
            else:
                raise AssertionError(f"{batch.batch}: position {len(batch.read)} was left out")

    def check(self, records: Records) -> None:
        """Checks all invariants."""
        for batch in self.batches.values():
            self._check_results(batch, records)
            self._check_arrivals(batch, records)
        self._check_requests(records)
        self._check_tenants(records)
        self._check_evacuated(records)
        self._check_crashes(records)
        self._check_stops(records)
        checks.check_reports(
            [(report.window, report.counts) for report in records.usage],
        )
        checks.check_turns(
            [(report.holder, report.token, report.at) for report in records.usage], "usage"
        )
        for instance, orders in records.orders.items():
            checks.check_turns(
                [(order.holder, order.token, order.at) for order in orders], instance
            )

    def _check_results(self, batch: SubmittedBatch, records: Records) -> None:
        items = [result["id"] for result in batch.read]
        checks.check_once(batch.batch, items, set(batch.calls))
        for result in batch.read:
            call = batch.calls[result["id"]]
            runs = records.runs.get(call, [])
            if result["state"] == ResultState.DONE:
                text = b"\n".join(expected_output(result["id"])).decode()
                checks.check_text(
                    result["id"],
                    result["message"],
                    text,
                    result["versions"],
                    batch.minimum_version,
                )
                began = [run.began for run in runs if run.signature == result.get("score")]
                whole_at = records.whole_at.get(result["id"], float("inf"))
                checks.check_score(result["id"], began, whole_at)
            else:
                failures = sum(run.status == 500 for run in runs)
                checks.check_given_up(result["id"], failures)

    def _check_arrivals(self, batch: SubmittedBatch, records: Records) -> None:
        """Nothing of a refused batch runs, and nothing of an ended one without a recent fault."""
        names = [*batch.calls, *batch.calls.values()]
        for name in names:
            for run in records.runs.get(name, ()):
                assert not batch.refused, f"{name} runs, but was refused"
                late = batch.ended_at is not None and run.began > batch.ended_at + CANCEL_SECONDS
                assert not (late and self._is_undisturbed(run.began)), (
                    f"{name} runs after its batch's end"
                )

    def _is_fault_free(self, at: float) -> bool:
        return all(not at - FAULT_SLACK_SECONDS < time < at for time in self.fault_times)

    def _is_undisturbed(self, at: float) -> bool:
        """Returns whether no fault has kept news of a batch's end from the daemons recently."""
        since = at - FAULT_SLACK_SECONDS
        return not any(start <= at and end >= since for start, end in self.disruptions)

    def _check_stops(self, records: Records) -> None:
        """No stream that a server runs is cut by a planned stop, or said not to have run."""
        for request in self.kept_requests:
            if request.status in NOT_RUN_STATUSES:
                assert request.name not in records.runs, (
                    f"{request.name} ran, but was answered {request.status}"
                )
            if request.status is not None or request.ended_at == float("inf"):
                continue
            for front, stopped_at in self.stops:
                if front == request.front and self._is_cut_by_stop(request, stopped_at):
                    assert request.name not in records.runs, (
                        f"{request.name}, sent {request.sent_at - stopped_at:.2f} s after SIGTERM, "
                        f"was cut after {request.ended_at - request.sent_at:.2f} s"
                    )

    def _is_cut_by_stop(self, request: KeptRequest, stopped_at: float) -> bool:
        """Returns whether nothing but a stop explains that a request has no response."""
        if not stopped_at < request.ended_at <= stopped_at + STOP_SECONDS + 1.0:
            return False
        is_exempt = (
            request.sent_at <= stopped_at + EXEMPT_SECONDS
            and request.ended_at >= stopped_at + STOP_SECONDS * 5 / 6
        )
        since = request.sent_at - CONTACT_SECONDS
        return not is_exempt and not any(
            start <= request.ended_at and end >= since for start, end in self.unplanned
        )

    def _check_requests(self, records: Records) -> None:
        submitted = {name for batch in self.batches.values() for name in batch.calls}
        submitted |= {name for batch in self.batches.values() for name in batch.calls.values()}
        for name, runs in records.runs.items():
            assert name in submitted or name in self.client_requests, (
                f"{name} runs, but nobody sent it"
            )
            if self.client_requests.get(name):
                assert len(runs) == 1, f"{name} ran {len(runs)} times"
                assert name not in self.reported_not_run, f"{name} ran, but was reported as not run"

    def _check_tenants(self, records: Records) -> None:
        """Servers receive the tenant of each request; requests with a revoked key do not run."""
        owners = {name: None for batch in self.batches.values() for name in batch.calls.values()}
        owners |= {name: TRAINING for batch in self.batches.values() for name in batch.calls}
        owners |= self.tenants
        for name, runs in records.runs.items():
            for run in runs:
                assert run.tenant == owners.get(name), f"{name} ran as {run.tenant}"
        for name, dropped_at in self.revoked.items():
            for run in records.runs.get(name, ()):
                late = run.began > dropped_at + APPLY_SECONDS
                assert not (late and self._is_fault_free(run.began)), (
                    f"{name} ran with a revoked key"
                )

    def _check_evacuated(self, records: Records) -> None:
        """Nothing reaches an evacuated zone once every daemon must know of the evacuation."""
        for span in self.evacuations:
            known_at = checks.known_by(span.began_at, sorted(self.disruptions))
            for name, runs in records.runs.items():
                for run in runs:
                    if run.zone == span.zone:
                        checks.check_evacuated(name, run.began, known_at, span.ended_at)

    def _check_crashes(self, records: Records) -> None:
        """Bounds how often a request that has crashed three servers is sent again.

        An item of a batch is sent on, but ever more rarely.
        """
        for path, runs in records.crashes.items():
            for run in runs:
                assert run.request in self.client_requests, (
                    f"{run.request} runs, but nobody sent it"
                )
            if path.startswith(BATCH_PREFIX):
                for item in {run.request for run in runs}:
                    checks.check_paced(item, [run.began for run in runs if run.request == item])
                continue
            counted = [run.began for run in runs if self._is_crash_reported(run.began)]
            checks.check_crashes(path, sorted(run.began for run in runs), counted)

    def _is_crash_reported(self, at: float) -> bool:
        """Returns whether no fault has lost or delayed crash reports recently."""
        since = at - CRASH_REPORT_SECONDS
        return not any(start <= at and end >= since for start, end in self.crash_report_gaps)

    def missing(self) -> list[str]:
        """Returns the accepted batches that are neither complete nor ended."""
        return [
            name
            for name, batch in self.batches.items()
            if batch.accepted and batch.ended_at is None and not batch.is_whole
        ]
