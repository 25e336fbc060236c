"""Permits trial runs of a quarantined request, in case it is harmless.

A harmless request may run on servers that crash because of another request, or by themselves. Only
a run of it can clear it, so without trials it would stay quarantined until its crashes expire.
After each delay, one daemon may send it to one server; the daemon claims the trial in the store. A
claim without an answer may be done later; the daemon uses it once its row comes back by the feed. A
request that does crash servers crashes two more this way.
"""

from larkpost.common.clock import Clock
from larkpost.common.ids import InstanceId
from larkpost.gateway.blackboard.known_crashes import TRIAL_PREFIX, Crash, KnownCrashes
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.quarantine.repository import CrashRepository
from larkpost.gateway.store.port import WriteOutcome

TRIAL_DELAYS_SECONDS = (5.0, 60.0)
"""Delay from the last crash to the first trial of a client request, and from there to the second; a
crashed server restarts within seconds. There are fewer trials than the retries that clients accept
after the third crash."""
CLAIM_INTERVAL_SECONDS = 1.0
"""Minimum time between two attempts of this daemon to claim a trial of the same content, if the
store rejected the first."""


class TrialClaims:
    """Claims trials; a claim is stored as a crash of the content before the trial runs."""

    def __init__(
        self, crashes: KnownCrashes, repository: CrashRepository, clock: Clock, log: EventLog
    ) -> None:
        self._crashes = crashes
        self._log = log
        self._repository = repository
        self._clock = clock
        self._claimed_at: dict[ContentDigest, float] = {}
        self._uncertain: dict[ContentDigest, Crash] = {}
        """Trials of this daemon that got no answer from the store, and may still be claimed."""

    async def claim(self, content: ContentDigest) -> bool:
        """Claims a trial; returns whether this daemon may send the content to one server now."""
        now = self._repository.time()
        crashes = self._crashes.of(content)
        if not crashes or now is None:
            return False
        if self._uncertain.get(content) in crashes:
            return self._begin(self._uncertain[content])
        trials = sum(crash.is_trial for crash in crashes)
        if trials >= len(TRIAL_DELAYS_SECONDS):
            return False
        is_early = now - max(crash.at for crash in crashes) < TRIAL_DELAYS_SECONDS[trials]
        if is_early or not self._start_attempt(content):
            return False
        trial = Crash(content, InstanceId(f"{TRIAL_PREFIX}{trials + 1}"), now)
        outcome = await self._repository.claim(trial)
        if outcome is WriteOutcome.UNKNOWN:
            self._uncertain[content] = trial  # its row may come by the feed
        return outcome is WriteOutcome.DONE and self._begin(trial)

    def _begin(self, trial: Crash) -> bool:
        """Records that this daemon has claimed a trial; returns True."""
        self._uncertain.pop(trial.content, None)
        self._crashes.add(trial)
        self._log.record(
            Event.QUARANTINE,
            content=trial.content,
            state="trial",
            crashes=self._crashes.count(trial.content),
        )
        return True

    def _start_attempt(self, content: ContentDigest) -> bool:
        """Records an attempt to claim unless there was one recently; returns whether it did."""
        now = self._clock.now()
        self._claimed_at = {
            name: at for name, at in self._claimed_at.items() if now - at < CLAIM_INTERVAL_SECONDS
        }
        if content in self._claimed_at:
            return False
        self._claimed_at[content] = now
        return True
