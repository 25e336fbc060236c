"""Holds back the quarantined items and reward calls of a batch, except for their trials.

A quarantined content is not given up: it is sent again once it leaves quarantine, or as a trial.
Owns the trials of the batch that were claimed and not sent yet.
"""

from collections.abc import Callable
from enum import StrEnum

from larkpost.gateway.blackboard.known_crashes import BATCH_CRASH_LIMIT
from larkpost.gateway.blackboard.request_content import ContentDigest
from larkpost.gateway.quarantine.trial_claims import BATCH_TRIAL_DELAYS_SECONDS
from larkpost.gateway.rollouts.context import RunServices

QUARANTINE_CHECK_SECONDS = 0.5
"""Interval of the checks whether a quarantined item or reward call may be sent."""


class Permit(StrEnum):
    """Whether a content may be sent to a server now."""

    ALLOWED = "allowed"
    TRIAL = "trial"  # to one server, although it is quarantined
    HELD = "held"


class QuarantineGate:
    """Decides whether the contents of one batch may be sent."""

    def __init__(self, services: RunServices) -> None:
        self._services = services
        self._trials: set[ContentDigest] = set()

    async def permit(self, read_content: Callable[[], ContentDigest]) -> Permit:
        """Returns whether a content may be sent; claims a trial of it if one is due.

        A trial lasts until `record_sent`.

        Args:
            read_content: returns the content; called only while any content is suspect.
        """
        crashes = self._services.crashes
        if not crashes.has_suspects:
            return Permit.ALLOWED
        content = read_content()
        if not crashes.is_content_quarantined(content, BATCH_CRASH_LIMIT):
            return Permit.ALLOWED
        if content not in self._trials and await self._claim(content):
            self._trials.add(content)
        return Permit.TRIAL if content in self._trials else Permit.HELD

    def record_sent(self, content: ContentDigest) -> None:
        """Records that a content reached a server, which uses up its trial."""
        self._trials.discard(content)

    async def _claim(self, content: ContentDigest) -> bool:
        trials = self._services.trials
        return trials is not None and await trials.claim(content, BATCH_TRIAL_DELAYS_SECONDS)
