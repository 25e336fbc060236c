"""Checks the records of trainers, clients, engines and operators against nine invariants.

The checks are independent of larkpost's implementation: they read `Records` only, and for the
configuration the table service's row and the epochs in the daemons' status.
"""

from collections import defaultdict

from larkpost.rehearsal.simulation.records import CallOutcome, EngineWork, LeavingSource, Records
from larkpost.rehearsal.simulation.world import World
from larkpost.rehearsal.tokens import expected_answer
from larkpost.standalone.blackboard.facts import CONFIGURATION_KEY
from larkpost.standalone.controllers.configuration import ConfigurationRow

LEAVING_SECONDS = {
    LeavingSource.ENGINE: 5.0,
    LeavingSource.OPERATOR: 5.0,
    LeavingSource.LIST: 8.0,
}
"""Seconds after which a leaving engine receives no new work, by the source of the announcement."""


class Oracle:
    """Checks one simulated fleet. Each method returns descriptions of the violations."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._zone_floor: dict[str, int] = {}
        self._seen_epochs: dict[int, int] = {}

    @property
    def _records(self) -> Records:
        return self._world.records

    def check(self) -> list[str]:
        """Checks the invariants that hold at any time."""
        checks = (
            self.check_versions,
            self.check_staleness,
            self.check_once,
            self.check_answers,
            self.check_not_run,
            self.check_run_once,
            self.check_leaving,
            self.check_stops,
            self.check_configuration,
        )
        return [f"{check.__name__}: {text}" for check in checks for text in check()]

    def check_versions(self) -> list[str]:
        """Point 1: every version span matches an engine's record."""
        by_request = self._work_by_request()
        wrong = []
        for delivery in self._records.deliveries:
            request = f"{delivery.spec.id}/{delivery.sample.slot}"
            spans = [s for work in by_request[request] for s in work.record.spans]
            for span in delivery.sample.spans:
                tokens = range(span.first_token, span.first_token + span.count)
                covered = {
                    index
                    for version, first, count in spans
                    if version == span.version
                    for index in range(first, first + count)
                }
                if not covered.issuperset(tokens):
                    wrong.append(f"{request}: version {span.version} did not produce {tokens}")
            prompt = delivery.spec.prompts[delivery.spec.prompt_index(delivery.sample.slot)]
            expected = expected_answer(
                request, prompt, delivery.spec.max_tokens, _as_tuples(delivery.sample.spans)
            )
            if list(delivery.sample.tokens) != expected:
                wrong.append(f"{request}: the tokens are not those of the named versions")
        return wrong

    def check_staleness(self) -> list[str]:
        """Point 2: no sample exceeded its staleness bound when it was received."""
        return [
            f"{d.spec.id}/{d.sample.slot}: version {d.sample.oldest_version} at {d.trainer_version}"
            for d in self._records.deliveries
            if d.trainer_version - d.sample.oldest_version > d.spec.staleness_bound
        ]

    def check_once(self) -> list[str]:
        """Point 3: no slot was received twice, and a complete batch has every slot."""
        seen: dict[str, set[int]] = defaultdict(set)
        wrong = []
        for delivery in self._records.deliveries:
            slots = seen[delivery.spec.id]
            if delivery.already_held or delivery.sample.slot in slots:
                wrong.append(f"{delivery.spec.id}/{delivery.sample.slot} was received twice")
            slots.add(delivery.sample.slot)
        for spec in self._records.batches_opened:
            if spec.id in self._records.completed_batches and len(seen[spec.id]) != spec.slot_count:
                wrong.append(f"{spec.id} was reported complete with {len(seen[spec.id])} samples")
        return wrong

    def check_answers(self) -> list[str]:
        """Point 4: every complete answer belongs to its own request."""
        wrong = []
        for call in self._records.calls:
            if call.outcome != CallOutcome.ANSWER:
                continue
            expected = expected_answer(
                call.request, call.prompt, call.max_tokens, _as_tuples(call.spans)
            )
            if list(call.tokens) != expected:
                wrong.append(f"{call.request}: its tokens are not those of the named versions")
        return wrong

    def check_not_run(self) -> list[str]:
        """Point 5: a request reported as not executed is in no engine's record.

        Earlier attempts under the same key count too; a later attempt may be executed.
        """
        by_request = self._work_by_request()
        ran = [c for c in self._records.calls if by_request[c.request]]
        keys = {c.key: c.asked_at for c in reversed(ran) if c.key}
        return [
            f"{call.request} (key {call.key}) was reported as not run ({call.code}), but it ran"
            for call in self._records.calls
            if call.outcome == CallOutcome.NOT_RUN
            and (by_request[call.request] or keys.get(call.key, call.ended_at) < call.ended_at)
        ]

    def check_run_once(self) -> list[str]:
        """Point 6: a run-once request was executed at most once."""
        by_request = self._work_by_request()
        runs: dict[str, int] = defaultdict(int)
        for call in self._records.calls:
            if call.run_once:
                runs[call.key or call.request] += len(by_request[call.request])
        return [f"{name} ran {count} times" for name, count in runs.items() if count > 1]

    def check_leaving(self) -> list[str]:
        """Point 7: a leaving engine received no new work after its time limit."""
        wrong = []
        for mark in self._records.leaving:
            start = mark.at
            if mark.source != LeavingSource.ENGINE:
                start = max(start, self._records.last_fault_at)
            limit = start + LEAVING_SECONDS[mark.source]
            for work in self._records.work:
                at = work.record.started_at
                if work.engine == mark.engine and limit < at < mark.until:
                    late = at - mark.at
                    wrong.append(f"{mark.engine} got work {late:.1f} s after {mark.source}")
        return wrong

    def check_stops(self) -> list[str]:
        """Point 8: no planned stop interrupted a request."""
        return list(self._records.requests_cut_by_stop)

    def check_configuration(self) -> list[str]:
        """Point 9: one plan per epoch, and no daemon goes back or acts behind its zone's epoch."""
        wrong = self._check_epochs_unique()
        for confirmed in self._records.confirmed:
            for zone in confirmed.zones_in_force:
                floor = self._zone_floor.get(zone, 0)
                self._zone_floor[zone] = max(floor, confirmed.epoch)
        for name, node in self._world.daemons.items():
            board = node.daemon.board
            epoch = board.configuration.epoch
            identity = id(node)
            if epoch < self._seen_epochs.get(identity, 0):
                wrong.append(f"{name} went back to epoch {epoch}")
            self._seen_epochs[identity] = epoch
            floor = self._zone_floor.get(board.members.own.zone, 0)
            acts = board.phase != "joining" and node.daemon.readiness.is_current()
            if acts and node.host.frozen_until <= self._world.now and epoch < floor:
                wrong.append(f"{name} acts on epoch {epoch}; {floor} was in force in its zone")
        return wrong

    def _check_epochs_unique(self) -> list[str]:
        plans: dict[int, set[str]] = defaultdict(set)
        epochs: dict[str, set[int]] = defaultdict(set)
        for confirmed in self._records.confirmed:
            plans[confirmed.epoch].add(confirmed.plan_id)
            epochs[confirmed.plan_id].add(confirmed.epoch)
        wrong = [f"epoch {e} was confirmed to {sorted(p)}" for e, p in plans.items() if len(p) > 1]
        applied = self._applied_plans()
        refused = self._records.refused_plans & set(applied)
        wrong += [f"{plan} was refused as outdated, but it was applied" for plan in sorted(refused)]
        twice = {plan for plan in applied if applied.count(plan) > 1}
        wrong += [f"{plan} was applied twice" for plan in sorted(twice)]
        return wrong + [f"{p} has epochs {sorted(e)}" for p, e in epochs.items() if len(e) > 1]

    def _applied_plans(self) -> list[str]:
        """Returns the applied plans according to the table service's row."""
        row = self._world.platform.rows.get(CONFIGURATION_KEY)
        if row is None:
            return []
        return [plan for _epoch, plan in ConfigurationRow.model_validate_json(row.value).history]

    def _work_by_request(self) -> dict[str, list[EngineWork]]:
        by_request: dict[str, list[EngineWork]] = defaultdict(list)
        for work in self._records.work:
            by_request[work.record.request].append(work)
        return by_request


def _as_tuples(spans) -> list[tuple[int, int, int]]:
    return [(span.version, span.first_token, span.count) for span in spans]
