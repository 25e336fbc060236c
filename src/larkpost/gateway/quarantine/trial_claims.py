"""Permits a quarantined client request to run once more, in case it is harmless.

A frequent request may be running on three servers when each of them crashes because of another
request. It would then stay quarantined until its crashes expire, as nothing that does not run can
be cleared. Therefore one daemon may send it to one server some time after the last crash, and once
more later; the daemon claims each trial in the store. A complete response clears the request. A
request that does crash servers crashes two more this way.
"""

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.known_crashes import Crash, KnownCrashes
from larkpost.gateway.blackboard.request_content import ContentDigest, Request
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.quarantine.repository import CrashRepository

TRIAL_DELAYS_SECONDS = (5.0, 60.0)
"""Delay from the last crash to the first trial, and from there to the second; a crashed server
restarts within seconds. Two trials are one fewer than the retries
that clients accept after the third crash."""
CLAIM_INTERVAL_SECONDS = 1.0
"""Minimum time between two claims of this daemon for the same content, if the store rejected the
first."""
TRIAL_PREFIX = "trial-"
"""Prefix of the name that replaces the instance in the row of a trial."""


class TrialClaims:
    """Claims trials; a claim is stored among the content's crashes, counted in advance."""

    def __init__(
        self, crashes: KnownCrashes, repository: CrashRepository, clock: Clock, log: EventLog
    ) -> None:
        self._crashes = crashes
        self._log = log
        self._repository = repository
        self._clock = clock
        self._claimed_at: dict[ContentDigest, float] = {}

    async def claim(self, request: Request) -> bool:
        """Returns whether this daemon alone may send a quarantined request to one server now."""
        content = self._crashes.suspect(request)
        now = self._repository.time()
        if content is None or now is None:
            return False
        known = self._crashes.of(content)
        used = sum(crash.instance.startswith(TRIAL_PREFIX) for crash in known)
        if used >= len(TRIAL_DELAYS_SECONDS):
            return False
        is_early = now - max(crash.at for crash in known) < TRIAL_DELAYS_SECONDS[used]
        if is_early or not self._may_claim(content):
            return False
        trial = Crash(content, InstanceId(f"{TRIAL_PREFIX}{used + 1}"), now)
        if not await self._repository.claim(trial):
            return False
        self._crashes.add(trial)
        self._log.record(
            Event.QUARANTINE, content=content, state="trial", crashes=len(known) - used
        )
        return True

    def _may_claim(self, content: ContentDigest) -> bool:
        """Records a claim unless this daemon made one recently; returns whether it did."""
        now = self._clock.now()
        self._claimed_at = {
            name: at for name, at in self._claimed_at.items() if now - at < CLAIM_INTERVAL_SECONDS
        }
        if content in self._claimed_at:
            return False
        self._claimed_at[content] = now
        return True
