"""Shares crash records among daemons and removes them when they expire.

Relies on the blackboard for the known crashes, and on the writer to save changes in the store.
"""

from collections.abc import Callable, Iterable

from larkpost.common.ids import InstanceId
from larkpost.common.tasks import TaskSet
from larkpost.gateway.blackboard.known_crashes import (
    CLIENT_CRASH_LIMIT,
    CRASH_RETENTION_SECONDS,
    SUSPECT_CRASHES,
    Crash,
    KnownCrashes,
    LostRun,
)
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics
from larkpost.gateway.quarantine.crash_writer import CrashWriter
from larkpost.gateway.quarantine.repository import crash_of_row
from larkpost.gateway.servers.port import OutgoingRequest
from larkpost.gateway.store.port import Row

CLEANUP_INTERVAL_SECONDS = 60.0
"""Interval between removals of expired crashes; short compared with their retention."""
MAX_LOGGED = 20
"""Most contents named in one log line."""


class CrashRecorder:
    """Records crashes and complete responses, and informs other daemons through the store.

    Args:
        may_remove_expired: returns whether this daemon removes expired crashes.
    """

    def __init__(
        self,
        crashes: KnownCrashes,
        writer: CrashWriter,
        log: EventLog,
        metrics: Metrics,
        may_remove_expired: Callable[[], bool],
    ) -> None:
        self._crashes = crashes
        self._writer = writer
        self._log = log
        self._metrics = metrics
        self._may_remove_expired = may_remove_expired

    def start(self, tasks: TaskSet) -> None:
        """Starts saving crashes and removing expired ones."""
        tasks.spawn(self._writer.run(), "crashes")
        tasks.every(CLEANUP_INTERVAL_SECONDS, self.remove_expired, "old_crashes")

    def record_row(self, row: Row) -> None:
        """Records a crash row read from the store."""
        try:
            crash = crash_of_row(row)
        except (ValueError, KeyError, TypeError) as error:
            self._log.record(Event.UNREADABLE, row=row.key.key, error=repr(error))
            return
        if row.removed:
            self._remove(crash.content, crash.instance)
        else:
            self._add(crash)

    def record_crash(
        self, instance: InstanceId, lost_runs: Iterable[LostRun], evidence: str
    ) -> None:
        """Records that a server has crashed while running requests of this daemon.

        Args:
            evidence: how the crash is known.
        """
        at = self._writer.time() or 0.0
        lost_runs = list(lost_runs)
        added: list[Crash] = []
        for run in lost_runs:
            if not run.is_counted:
                continue
            self.record_output(run.content, run.output_seconds)
            crash = Crash(run.content, instance, at, run.run_seconds)
            if self._add(crash):
                added.append(crash)
        reported = [run.content for run in lost_runs if not run.is_counted]
        reported += [crash.content for crash in added]
        if not reported:
            return
        self._metrics.count(Count.CRASHES, evidence)
        self._log.record(
            Event.SERVER_CRASH,
            instance=instance,
            evidence=evidence,
            contents=reported[:MAX_LOGGED],
            crashes=max(self._crashes.count(content) for content in reported),
        )
        for crash in added:
            self._writer.schedule_save(crash.content, crash.instance, crash)

    def record_success(self, request: OutgoingRequest) -> None:
        """Records that a server completed a request, which clears its crashes."""
        content = self._crashes.suspect(request)
        if content is None:
            return
        for crash in self._crashes.of(content):
            self._forget(crash)

    def record_output(self, content: ContentDigest, seconds: float) -> None:
        """Removes the crashes of a content that one of its runs has outlived.

        Args:
            seconds: time for which the run has produced output.
        """
        outlived = [crash for crash in self._crashes.of(content) if crash.is_outlived_by(seconds)]
        if not outlived:
            return
        was_suspect = self._crashes.is_suspect(content)
        for crash in outlived:
            self._forget(crash)
        count = self._crashes.count(content)
        if count < SUSPECT_CRASHES:
            for trial in self._crashes.of(content):
                if trial.is_trial:
                    self._forget(trial)
        if was_suspect:
            self._log.record(
                Event.QUARANTINE,
                content=content,
                state="outlived",
                crashes=count,
                seconds=round(seconds, 3),
            )

    async def remove_expired(self) -> None:
        """Removes the crashes whose retention is over."""
        now = self._writer.time()
        if now is None or not self._may_remove_expired():
            return
        for crash in self._crashes.older_than(now - CRASH_RETENTION_SECONDS):
            self._forget(crash)

    def _forget(self, crash: Crash) -> None:
        """Removes a crash here and in the store."""
        self._remove(crash.content, crash.instance)
        self._writer.schedule_save(crash.content, crash.instance, None)

    def _add(self, crash: Crash) -> bool:
        """Adds a crash, and returns whether it is new; logs when a quarantine begins."""
        is_new = self._crashes.add(crash)
        count = self._crashes.count(crash.content)
        if is_new and not crash.is_trial and count == CLIENT_CRASH_LIMIT:
            self._log.record(Event.QUARANTINE, content=crash.content, state="begun", crashes=count)
        return is_new

    def _remove(self, content: ContentDigest, instance: InstanceId) -> None:
        """Removes a crash; logs when a quarantine ends."""
        count = self._crashes.count(content)
        self._crashes.remove(content, instance)
        if count == CLIENT_CRASH_LIMIT and self._crashes.count(content) < count:
            self._log.record(Event.QUARANTINE, content=content, state="ended", crashes=count - 1)
