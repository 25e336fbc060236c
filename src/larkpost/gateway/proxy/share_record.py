"""Logs and counts the outcomes of requests whose flow is over its share."""

from enum import StrEnum

from larkpost.common.clock import Clock
from larkpost.gateway.fairness.ledger import FlowLedger
from larkpost.gateway.observability.eventlog import Event, EventLog
from larkpost.gateway.observability.metrics import Count, Metrics
from larkpost.gateway.proxy.request import ClientRequest
from larkpost.gateway.proxy.waiter import Waiter


class ShareOutcome(StrEnum):
    """The outcome of a request whose flow is over its share."""

    HELD = "held"  # it yielded to others before it tried
    REFUSED = "refused"
    EXEMPTED = "passed"  # the starvation guard exempted it


class ShareRecord:
    """Writes the log records and the counters."""

    def __init__(self, clock: Clock, log: EventLog, metrics: Metrics, ledger: FlowLedger) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._ledger = ledger

    def record(self, request: ClientRequest, waiter: Waiter, outcome: ShareOutcome) -> None:
        """Records an outcome if the request's flow was over its share; HELD only once."""
        is_repeated = outcome is ShareOutcome.HELD and waiter.is_outcome_recorded
        is_share_exempt = outcome is ShareOutcome.EXEMPTED
        flow_share = waiter.flow_share
        if flow_share is None or is_repeated or waiter.is_share_exempt != is_share_exempt:
            return
        waiter.is_outcome_recorded = True
        self._metrics.count(Count.SHARES, waiter.service, outcome)
        age = self._ledger.report_age()
        self._log.record(
            Event.SHARE_HELD,
            request=request.request_id.decode("latin-1"),
            tenant=waiter.flow_name,
            service=waiter.service,
            priority=waiter.priority,
            outcome=outcome,
            is_back=waiter.is_retry,
            held=round(self._clock.now() - request.received_at, 3),
            share=round(flow_share.share, 2),
            use=flow_share.running,
            waiting=flow_share.waiting,
            ahead=flow_share.waiting_ahead,
            places=flow_share.total_slots,
            report_age=round(age, 3) if age is not None else None,
        )
