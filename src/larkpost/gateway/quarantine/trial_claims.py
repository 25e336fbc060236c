"""Lets a client's quarantined request run once more, to see whether that is a mistake.

A page that many ask for may be at three servers when each of them crashes under another request.
It would be quarantined until its crashes are forgotten, and nothing could clear it, as it runs
nowhere. So one daemon of all may send it to one server, a while after the last crash, and once more
later; it claims that in the store. A whole response clears the request; one that does crash servers
has crashed two more by then.
"""

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.known_crashes import Crash, KnownCrashes
from larkpost.gateway.blackboard.request_content import ContentDigest, Request
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.quarantine.repository import CrashRepository

TRIAL_DELAYS_SECONDS = (5.0, 60.0)
"""From the last crash to the first trial, and from then to the second: crashed servers are back
after some seconds. Two trials are one less than users bear retries after the third crash."""
CLAIM_INTERVAL_SECONDS = 1.0
"""Between two claims of this daemon for one content, if the store did not grant the first."""
TRIAL_PREFIX = "trial-"
"""Begins the name that stands for the instance in the row of a trial."""


class TrialClaims:
    """Claims trials; a claim stands among a content's crashes, as one that is taken in advance."""

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
        """Returns whether this daemon has claimed none a moment ago, and remembers that it does."""
        now = self._clock.now()
        self._claimed_at = {
            name: at for name, at in self._claimed_at.items() if now - at < CLAIM_INTERVAL_SECONDS
        }
        if content in self._claimed_at:
            return False
        self._claimed_at[content] = now
        return True
