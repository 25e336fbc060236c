"""Known server crashes, by the content of the requests that the servers were running.

A request may crash every server that runs it, and may be retried at any daemon. A crash does not
show which of the running requests caused it, so crashes are counted by request content across all
daemons. A content with too many crashes is quarantined: it is sent to no server.

Servers also crash by themselves, under harmless requests. A request that crashes its servers does
so at about the same time after it was sent; a crash no longer counts once a later run of the same
content has outlived it, that is, has produced output for clearly longer.

Holds this daemon's copy; `quarantine` writes the rows in the store.
"""

from dataclasses import dataclass

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.request_content import ContentDigest, Request, digest_request

CLIENT_CRASH_LIMIT = 3
"""Server crashes after which a client request is quarantined. Two crashes may be caused by another
request that ran alongside at both servers; more than three could take down a small service."""
SUSPECT_CRASHES = 2
"""Server crashes after which a content is suspect: it is isolated from other suspects, and its next
complete response clears it. A single crash only expires, which saves a store write for each request
that a crash interrupted."""
OUTLIVED_FACTOR, OUTLIVED_MARGIN_SECONDS = 2.0, 0.25
"""A run has outlived a crash if it produced output for this many times as long as the crashed run
had lasted, and for this much longer. Load of a server may double the time until a request crashes
it; runs that it crashes at once differ by less than the margin."""
UNKNOWN_RUN_SECONDS = 1.0
"""Duration assumed of a crashed run whose row names none, as in rows of earlier versions."""
TRIAL_PREFIX = "trial-"
"""Prefix of the name that replaces the instance in the row of a trial."""
CRASH_RETENTION_SECONDS = 3600.0
"""Time for which a crash counts; a fixed server version may be rolled out by then."""


@dataclass(frozen=True, slots=True)
class Crash:
    """A server crash during a request.

    Attributes:
        at: store time in seconds, shortly after the crash.
        run_seconds: time from the send of the request to the loss of its connection; None if it is
            not known.
    """

    content: ContentDigest
    instance: InstanceId
    at: float
    run_seconds: float | None = None

    @property
    def is_trial(self) -> bool:
        """Whether this is no crash, but the claim of a trial run of a quarantined content."""
        return self.instance.startswith(TRIAL_PREFIX)

    def is_outlived_by(self, output_seconds: float) -> bool:
        """Returns whether a run that produced output for some seconds has outlived this crash."""
        lasted = UNKNOWN_RUN_SECONDS if self.run_seconds is None else self.run_seconds
        needed = max(OUTLIVED_FACTOR * lasted, lasted + OUTLIVED_MARGIN_SECONDS)
        return not self.is_trial and output_seconds >= needed


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run of a request that lost its connection before the response was complete.

    Attributes:
        run_seconds: time from its send to the loss.
        output_seconds: time from its first output to the loss; 0 without output.
        is_counted: whether a crash is counted against its content.
    """

    content: ContentDigest
    run_seconds: float
    output_seconds: float
    is_counted: bool = True


class KnownCrashes:
    """The crashes that this or other daemons observed, by request content."""

    def __init__(self) -> None:
        self._crashes: dict[ContentDigest, dict[InstanceId, Crash]] = {}
        self._suspects: set[ContentDigest] = set()

    def __len__(self) -> int:
        return sum(len(crashes) for crashes in self._crashes.values())

    def add(self, crash: Crash) -> bool:
        """Records a crash, and returns whether it is new."""
        crashes = self._crashes.setdefault(crash.content, {})
        is_new = crash.instance not in crashes
        crashes[crash.instance] = crash
        if self.count(crash.content) >= SUSPECT_CRASHES:
            self._suspects.add(crash.content)
        return is_new

    def remove(self, content: ContentDigest, instance: InstanceId) -> bool:
        """Removes a crash, and returns whether it was known."""
        crashes = self._crashes.get(content, {})
        was_known = crashes.pop(instance, None) is not None
        if self.count(content) < SUSPECT_CRASHES:
            self._suspects.discard(content)
        if not crashes:
            self._crashes.pop(content, None)
        return was_known

    def count(self, content: ContentDigest) -> int:
        """Returns how many servers crashed while they ran a content."""
        return sum(not crash.is_trial for crash in self._crashes.get(content, {}).values())

    def of(self, content: ContentDigest) -> list[Crash]:
        """Returns the crashes and trials of a content."""
        return list(self._crashes.get(content, {}).values())

    def suspect(self, request: Request) -> ContentDigest | None:
        """Returns the content digest of a request if it is suspect, else None.

        Computes no digest while there are no suspects.
        """
        if not self._suspects:
            return None
        content = digest_request(request)
        return content if content in self._suspects else None

    def is_suspect(self, content: ContentDigest) -> bool:
        """Returns whether a content is suspect."""
        return content in self._suspects

    @property
    def has_suspects(self) -> bool:
        """Whether any content is suspect."""
        return bool(self._suspects)

    def is_quarantined(self, request: Request, limit: int) -> bool:
        """Returns whether a request is quarantined and must not be sent to any server.

        Args:
            limit: number of crashes from which it is quarantined.
        """
        content = self.suspect(request)
        return content is not None and self.is_content_quarantined(content, limit)

    def is_content_quarantined(self, content: ContentDigest, limit: int) -> bool:
        """Returns whether a content is quarantined; see `is_quarantined`."""
        return self.is_suspect(content) and self.count(content) >= limit

    def count_quarantined(self) -> int:
        """Returns the number of contents that are quarantined as client requests."""
        return sum(self.count(content) >= CLIENT_CRASH_LIMIT for content in self._suspects)

    def older_than(self, at: float) -> list[Crash]:
        """Returns the crashes before a store time."""
        return [
            crash
            for crashes in self._crashes.values()
            for crash in crashes.values()
            if crash.at < at
        ]
