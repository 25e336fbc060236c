"""Which servers have crashed under which requests, as far as this daemon knows.

A request may crash each server that begins to run it, and come again at any daemon. One crash
proves nothing, as all that a server runs ends with it; so crashes are counted by content, over all
daemons. A content under which too many servers have crashed is quarantined: it goes to no server.

Owns what this daemon knows; the rows in the store are written by `quarantine`.
"""

from dataclasses import dataclass

from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.request_content import ContentDigest, Request, digest_request

CLIENT_CRASH_LIMIT = 3
"""Servers that may crash under a client's request before it is quarantined. Two crashes may be
another request's, which ran beside it at both; a small service that loses three servers is gone."""
BATCH_CRASH_LIMIT = 4
"""The same for items of batches and their reward calls. They cannot be refused, so a quarantine
by mistake costs its trainer a group; one crash more than a client's request is granted covers an
item that was beside two different ones that crash engines."""
SUSPECT_CRASHES = 2
"""A content under which so many have crashed is suspect: it is isolated from other suspects, and
its next whole response clears it. One crash is forgotten with time, which saves a write for each
request that a crash broke off."""
CRASH_RETENTION_SECONDS = 3600.0
"""How long a crash counts; software that survives the request may be rolled out by then."""


@dataclass(frozen=True, slots=True)
class Crash:
    """A server that crashed while it ran a request.

    Attributes:
        at: store time in seconds, a moment after the crash.
    """

    content: ContentDigest
    instance: InstanceId
    at: float


class KnownCrashes:
    """The crashes that this daemon knows of, its own and those of the others, by content."""

    def __init__(self) -> None:
        self._crashes: dict[ContentDigest, dict[InstanceId, Crash]] = {}
        self._suspects: set[ContentDigest] = set()

    def __len__(self) -> int:
        return sum(len(crashes) for crashes in self._crashes.values())

    def add(self, crash: Crash) -> bool:
        """Records a crash, and returns whether it was not known yet."""
        crashes = self._crashes.setdefault(crash.content, {})
        is_new = crash.instance not in crashes
        crashes[crash.instance] = crash
        if len(crashes) >= SUSPECT_CRASHES:
            self._suspects.add(crash.content)
        return is_new

    def remove(self, content: ContentDigest, instance: InstanceId) -> bool:
        """Forgets one crash, and returns whether it was known."""
        crashes = self._crashes.get(content, {})
        was_known = crashes.pop(instance, None) is not None
        if len(crashes) < SUSPECT_CRASHES:
            self._suspects.discard(content)
        if not crashes:
            self._crashes.pop(content, None)
        return was_known

    def count(self, content: ContentDigest) -> int:
        """Returns how many servers have crashed under a content."""
        return len(self._crashes.get(content, ()))

    def of(self, content: ContentDigest) -> list[Crash]:
        """Returns the crashes under a content."""
        return list(self._crashes.get(content, {}).values())

    def suspect(self, request: Request) -> ContentDigest | None:
        """Returns a request's content if servers have crashed under it repeatedly, else None.

        As long as there are no such contents, nothing is computed.
        """
        if not self._suspects:
            return None
        content = digest_request(request)
        return content if content in self._suspects else None

    def is_suspect(self, content: ContentDigest) -> bool:
        """Returns whether servers have crashed repeatedly under a content."""
        return content in self._suspects

    @property
    def has_suspects(self) -> bool:
        """Whether there is any such content."""
        return bool(self._suspects)

    def is_quarantined(self, request: Request, limit: int) -> bool:
        """Returns whether a request is quarantined: it must not be sent to any server.

        Args:
            limit: servers that may crash under it.
        """
        content = self.suspect(request)
        return content is not None and self.is_content_quarantined(content, limit)

    def is_content_quarantined(self, content: ContentDigest, limit: int) -> bool:
        """Returns the same of a content."""
        return self.is_suspect(content) and self.count(content) >= limit

    def count_quarantined(self) -> int:
        """Returns how many contents are quarantined as clients' requests."""
        return sum(self.count(content) >= CLIENT_CRASH_LIMIT for content in self._suspects)

    def older_than(self, at: float) -> list[Crash]:
        """Returns the crashes before a store time."""
        return [
            crash
            for crashes in self._crashes.values()
            for crash in crashes.values()
            if crash.at < at
        ]
