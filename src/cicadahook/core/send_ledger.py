"""Times at which one leadership term sent orders and received answers."""

import datetime
from typing import Final

from cicadahook.core import reconciliation
from cicadahook.core import upstream_record

# Time from the proposal of a write within which its orders must be sent.
SEND_WINDOW: Final = datetime.timedelta(seconds=3)
FIRST_RESEND_DELAY: Final = datetime.timedelta(seconds=2)
MAX_RESEND_DELAY: Final = datetime.timedelta(seconds=60)


class SendLedger:
    """Times of sends and answers, which are not stored in the record.

    Attributes:
        in_flight: ids of the copies of orders that were sent and not answered.
        overdue: ids of the orders with a copy that was not answered in time.
        answered_at: when an order was last answered, by its id.
        sent_at: latest time at which a copy of an order may have been sent,
            by its id.
        resend_delays: delay from the last send of an order to the next, by
            its id.
        incarnation_seen_at: when the record's incarnation was last reported.
    """

    def __init__(self) -> None:
        self.in_flight: set[str] = set()
        self.overdue: set[str] = set()
        self.answered_at: dict[str, datetime.datetime] = {}
        self.sent_at: dict[str, datetime.datetime] = {}
        self.resend_delays: dict[str, datetime.timedelta] = {}
        self.incarnation_seen_at: datetime.datetime | None = None

    def adopt(
        self, record: upstream_record.UpstreamRecord, now: datetime.datetime
    ) -> None:
        """Take over the orders of earlier leadership terms.

        Their sender may still send them until the send window ends, after
        which it drops them.
        """
        for order in (*record.orders, *record.barred):
            if order.unanswered:
                self.overdue.add(order.id)
            self.sent_at[order.id] = now + SEND_WINDOW
            self.answered_at[order.id] = now
        for copy in record.residents:
            if copy.unanswered:
                self.overdue.add(copy.order)
            self.sent_at[copy.order] = now + SEND_WINDOW

    def record_send(
        self, order_id: str, attempt: str, now: datetime.datetime
    ) -> None:
        """Record that a copy of an order is sent."""
        self.in_flight.add(attempt)
        self.sent_at[order_id] = max(now, self.sent_at.get(order_id, now))
        delay = self.resend_delays.get(order_id)
        self.resend_delays[order_id] = (
            min(2 * delay, MAX_RESEND_DELAY) if delay else FIRST_RESEND_DELAY
        )

    def record_answer(
        self, order_id: str, attempt: str, now: datetime.datetime
    ) -> bool:
        """Record an answer; return False if the copy was answered before."""
        if attempt not in self.in_flight:
            return False
        self.in_flight.discard(attempt)
        self.answered_at[order_id] = now
        return True

    def record_expired(
        self,
        before: upstream_record.UpstreamRecord,
        after: upstream_record.UpstreamRecord,
        now: datetime.datetime,
    ) -> None:
        """Count the orders that have just expired as answered."""
        for old, new in zip(before.orders, after.orders, strict=True):
            if old != new:
                self.answered_at[new.id] = now

    def record_fenced(
        self, record: upstream_record.UpstreamRecord, now: datetime.datetime
    ) -> None:
        """Count the unloads that a fence has resolved as answered.

        Their answers may be lost, and no copy of them can arrive any more.
        """
        for order in record.orders:
            if order.is_done:
                self.answered_at.setdefault(order.id, now)

    def forget(self, record: upstream_record.UpstreamRecord) -> None:
        """Forget the times of orders that are no longer in the record."""
        kept = {order.id for order in record.orders}
        kept.update(order.id for order in record.barred)
        kept.update(copy.order for copy in record.residents)
        self.overdue &= kept
        for order_id in self.answered_at.keys() - kept:
            del self.answered_at[order_id]
        for order_id in self.sent_at.keys() - kept:
            del self.sent_at[order_id]
        for order_id in self.resend_delays.keys() - kept:
            del self.resend_delays[order_id]

    def is_answered(
        self, order_id: str, report: reconciliation.StateReport
    ) -> bool:
        """Return whether an answer was received before `report` was begun."""
        answered = self.answered_at.get(order_id)
        return answered is not None and answered < report.began

    def is_before_restart(self, order_id: str) -> bool:
        """Return whether the incarnation was reported after the last send."""
        sent = self.sent_at.get(order_id)
        seen = self.incarnation_seen_at
        return sent is not None and seen is not None and sent < seen

    def is_late(
        self,
        order_id: str,
        bound: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Return whether no copy of an order can still arrive."""
        sent = self.sent_at.get(order_id)
        return sent is not None and now > sent + bound + SEND_WINDOW

    def is_due(
        self, order: upstream_record.Order, now: datetime.datetime
    ) -> bool:
        """Return whether an unanswered order is to be sent or resent."""
        sent = self.sent_at.get(order.id)
        if order.is_unsent or sent is None:
            return True
        if order.id not in self.overdue:
            return False
        delay = self.resend_delays.get(order.id)
        return delay is None or now >= sent + delay
