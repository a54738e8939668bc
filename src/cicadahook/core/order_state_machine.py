"""State machine that decides which orders one leader sends to one upstream.

The state machine owns the record of the upstream. Every change of the record
is a compare-and-swap write. An order is sent only after the write that stores
it as intended has succeeded, and each further copy of the order is counted by
another write before that copy is sent.
"""

import collections
import dataclasses
import datetime
import enum
import itertools
from typing import Final

from cicadahook.core import order_messages
from cicadahook.core import pacing
from cicadahook.core import reconciliation
from cicadahook.core import send_ledger
from cicadahook.core import upstream_record

FIRST_RETRY_DELAY: Final = datetime.timedelta(seconds=1)
MAX_RETRY_DELAY: Final = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRules:
    """Properties of an upstream that operators set in its table row.

    Attributes:
        checks_fencing: whether the upstream refuses orders with a fencing
            number below the highest one that it has received.
        restart_settles: whether a restart proves that no order sent before
            it can still arrive.
        lateness_bound: time after which an order that was sent can no longer
            arrive; 0 if there is no such bound.
    """

    checks_fencing: bool = False
    restart_settles: bool = False
    lateness_bound: datetime.timedelta = datetime.timedelta()


class Stage(enum.StrEnum):
    """What the state machine waits for."""

    READY = "ready"
    READING = "reading"
    WRITING = "writing"
    BACKING_OFF = "backing_off"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A record that is being written to the key-value service.

    Attributes:
        record: the record.
        sends: orders that are sent once the record is stored.
    """

    record: upstream_record.UpstreamRecord
    sends: tuple[upstream_record.Order, ...] = ()


class OrderStateMachine:
    """Orders of one leadership term to one upstream.

    Attributes:
        upstream: address of the upstream.
        capacity_bytes: its accelerator memory, in bytes.
        writer: name of this leadership term; no other term uses it.
        rules: properties of the upstream that operators set.
        pacer: limits the loads of all upstreams together.
        record: the record as last known to be stored.
        revision: revision of the stored record.
        stage: what the state machine waits for; once stopped it never sends
            again.
        report: the newest state report.
        is_blocked: whether the upstream holds more than the record allows.
        rejections: number of steps and sends that were not made, by reason.
        proposal: the write in progress, if any.
        proposed_at: when the last write was proposed.
        changed_at: when the last write was confirmed.
        adopted_at: when this term's first write was confirmed.
        retry_at: earliest time of the next read after a failed one.
        retry_delay: delay before the next read if this one fails.
        pending_answers: answers and time-outs not yet applied to the record.
        ids: numbers for the ids of orders and attempts.
        ledger: when orders were sent and answered.
    """

    def __init__(
        self,
        upstream: str,
        capacity_bytes: int,
        writer: str,
        rules: UpstreamRules,
        pacer: pacing.LoadPacer,
    ) -> None:
        self.upstream = upstream
        self.capacity_bytes = capacity_bytes
        self.writer = writer
        self.rules = rules
        self.pacer = pacer
        self.record = upstream_record.UpstreamRecord(upstream, capacity_bytes)
        self.revision = 0
        self.stage = Stage.BACKING_OFF
        self.report: reconciliation.StateReport | None = None
        self.is_blocked = False
        self.rejections: collections.Counter[str] = collections.Counter()
        self.proposal: Proposal | None = None
        self.proposed_at: datetime.datetime | None = None
        self.changed_at: datetime.datetime | None = None
        self.adopted_at: datetime.datetime | None = None
        self.retry_at: datetime.datetime | None = None
        self.retry_delay = FIRST_RETRY_DELAY
        self.pending_answers: collections.deque[
            order_messages.OrderAnswered | order_messages.OrderTimedOut
        ] = collections.deque()
        self.ids = itertools.count(1)
        self.ledger = send_ledger.SendLedger()

    @property
    def is_adopted(self) -> bool:
        """Whether the stored record carries this term's name."""
        return self.adopted_at is not None

    @property
    def is_resolved(self) -> bool:
        """Whether no order is unresolved and no write is in progress."""
        return self.stage is Stage.READY and not self.record.orders

    def handle(
        self, message: order_messages.Message, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Return the effects that `message` causes."""
        match message:
            case order_messages.RecordRead():
                return self._handle_read(message, now)
            case order_messages.WriteWon(revision):
                return self._commit(revision, now)
            case order_messages.WriteConflict() | order_messages.WriteUnknown():
                return self._read()
            case order_messages.ReadFailed():
                return self._back_off(now)
            case (
                order_messages.OrderAnswered() | order_messages.OrderTimedOut()
            ):
                self.pending_answers.append(message)
                return self._process_answers(now)
        if self.stage is Stage.READY:
            return self._process_answers(now) or self._handle_when_ready(
                message, now
            )
        if isinstance(message, order_messages.Intend):
            self.rejections[f"not ready: {self.stage}"] += 1
        is_due = self.retry_at is None or now >= self.retry_at
        if self.stage is Stage.BACKING_OFF and is_due:
            return self._read()
        return []

    def _handle_when_ready(
        self,
        message: (
            order_messages.Tick
            | order_messages.Intend
            | reconciliation.StateReport
        ),
        now: datetime.datetime,
    ) -> list[order_messages.Effect]:
        """Handle a message that needs a record without a write in progress."""
        match message:
            case order_messages.Tick():
                return self._send_due(now)
            case order_messages.Intend():
                return self._intend(message, now)
            case reconciliation.StateReport():
                return self._handle_report(message, now)

    def _read(self) -> list[order_messages.Effect]:
        """Read the record to find out whether the last write took effect."""
        if self.stage in (Stage.STOPPED, Stage.READY):
            return []
        self.stage = Stage.READING
        return [order_messages.ReadRecord()]

    def _back_off(self, now: datetime.datetime) -> list[order_messages.Effect]:
        """Delay the next read, with exponential back-off."""
        if self.stage is Stage.READING:
            self.stage = Stage.BACKING_OFF
            self.retry_at = now + self.retry_delay
            self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY)
        return []

    def _handle_read(
        self, message: order_messages.RecordRead, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Adopt the record, or resolve the outcome of the last write.

        If the stored record is the proposed one, the write took effect. If
        the revision has not changed, the write is repeated. Otherwise another
        leader has written, and this state machine stops.
        """
        if self.stage is not Stage.READING:
            return []
        self.retry_delay = FIRST_RETRY_DELAY
        found = message.record
        if self.proposal is None:
            if found is not None:
                self.record = found
            self.revision = message.revision
            return self._adopt(now)
        proposed = self.proposal.record
        if found is not None and (found.writer, found.write_number) == (
            proposed.writer,
            proposed.write_number,
        ):
            return self._commit(message.revision, now)
        if message.revision == self.revision:
            self.stage = Stage.WRITING
            return [order_messages.WriteRecord(proposed, self.revision)]
        self.stage = Stage.STOPPED
        self.proposal = None
        return []

    def _adopt(self, now: datetime.datetime) -> list[order_messages.Effect]:
        """Take over the record together with its unresolved orders."""
        adopted = dataclasses.replace(
            self.record, writer=self.writer, write_number=0
        )
        self.ledger.adopt(adopted, now)
        return self._propose(adopted, now)

    def _propose(
        self,
        record: upstream_record.UpstreamRecord,
        now: datetime.datetime,
        *sends: upstream_record.Order,
    ) -> list[order_messages.Effect]:
        """Write `record`, and send the orders `sends` once it is stored."""
        numbered = dataclasses.replace(
            record,
            writer=self.writer,
            write_number=self.record.write_number + 1,
        )
        assert numbered.reserved_bytes <= numbered.capacity_bytes, "overcommit"
        self.proposal = Proposal(numbered, sends)
        self.proposed_at = now
        self.stage = Stage.WRITING
        return [order_messages.WriteRecord(numbered, self.revision)]

    def _commit(
        self, revision: int, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Record that the proposal is stored, and send its orders.

        If the send window has passed meanwhile, the orders are counted as not
        sent instead.
        """
        if self.proposal is None or self.stage is Stage.STOPPED:
            return []
        assert self.proposed_at is not None, "a proposal has a time"
        proposal, self.proposal = self.proposal, None
        self.record = proposal.record
        self.revision = revision
        self.changed_at = now
        self.stage = Stage.READY
        if self.adopted_at is None:
            self.adopted_at = now
        self._forget_resolved()
        not_after = self.proposed_at + send_ledger.SEND_WINDOW
        if now > not_after:
            for order in proposal.sends:
                send = self._send(order, not_after, now)
                self.pending_answers.append(
                    order_messages.OrderAnswered(
                        order.id, send.attempt, reconciliation.Answer.NOT_SENT
                    )
                )
            return self._process_answers(now)
        return [self._send(order, not_after, now) for order in proposal.sends]

    def _send(
        self,
        order: upstream_record.Order,
        not_after: datetime.datetime,
        now: datetime.datetime,
    ) -> order_messages.SendOrder:
        assert not self.is_adopted or any(
            order.id == stored.id for stored in self.record.orders
        ), f"order {order.id} is sent without a stored intent"
        attempt = self._create_id()
        self.ledger.record_send(order.id, attempt, now)
        return order_messages.SendOrder(order, attempt, not_after)

    def _forget_resolved(self) -> None:
        """Forget send times and paced loads of orders that are resolved."""
        self.ledger.forget(self.record)
        loading = {
            order.key
            for order in self.record.orders
            if order.action is upstream_record.Action.LOAD
        }
        for key in list(self.pacer.active):
            is_own = key.upstream == self.upstream
            if is_own and (key.row, key.version) not in loading:
                self.pacer.finish(key)

    def _process_answers(
        self, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Apply the pending answers and time-outs to the record."""
        if self.stage is not Stage.READY:
            return []
        changed = self.record
        while self.pending_answers:
            message = self.pending_answers.popleft()
            if isinstance(message, order_messages.OrderTimedOut):
                self.ledger.overdue.add(message.order_id)
            elif self.ledger.record_answer(
                message.order_id, message.attempt, now
            ):
                changed = reconciliation.apply_answer(
                    changed, message.order_id, message.answer
                )
        return self._propose_change(changed, now)

    def _propose_change(
        self, record: upstream_record.UpstreamRecord, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        return [] if record == self.record else self._propose(record, now)

    def _handle_report(
        self, report: reconciliation.StateReport, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Resolve the orders whose outcome a report proves.

        A report that was begun before the last change of the record is
        ignored, since it may not reflect that change.
        """
        if self.changed_at is not None and report.began <= self.changed_at:
            return []
        if report.incarnation == self.record.incarnation:
            self.ledger.incarnation_seen_at = report.began
        self.report = report
        try:
            resolved = self._reconcile(report)
        except upstream_record.OvercommitError:
            self.is_blocked = True
            self.rejections["unknown copies do not fit"] += 1
            return []
        self.is_blocked = False
        return self._propose_change(resolved, now)

    def _reconcile(
        self, report: reconciliation.StateReport
    ) -> upstream_record.UpstreamRecord:
        is_restarted = report.incarnation != self.record.incarnation
        if self.rules.checks_fencing:
            if self.record.is_fencing:
                return self._resolve_by_fence(report)
            if is_restarted:
                return self.record
        elif is_restarted and self.rules.restart_settles:
            resolved = reconciliation.expire_orders(
                self.record, self.ledger.is_before_restart
            )
            self.ledger.record_expired(self.record, resolved, report.began)
            return self._apply_report(resolved, report)
        return self._apply_report(self.record, report)

    def _apply_report(
        self,
        record: upstream_record.UpstreamRecord,
        report: reconciliation.StateReport,
    ) -> upstream_record.UpstreamRecord:
        return reconciliation.apply_report(
            record,
            report,
            lambda order_id: self.ledger.is_answered(order_id, report),
            self.rules.checks_fencing,
        )

    def _resolve_by_fence(
        self, report: reconciliation.StateReport
    ) -> upstream_record.UpstreamRecord:
        """Resolve older orders if this incarnation answered the fence."""
        fence = self._find_fence()
        assert fence is not None, "the record is fencing"
        is_same = report.incarnation == self.record.incarnation
        is_proved = fence.is_done and self.ledger.is_answered(fence.id, report)
        if not is_same or not is_proved:
            return self.record
        unfenced = self.record.without_order(fence.id)
        resolved = reconciliation.apply_fence(unfenced, report, self._create_id)
        self.ledger.record_fenced(resolved, report.began)
        return resolved

    def _find_fence(self) -> upstream_record.Order | None:
        return next(
            (
                order
                for order in self.record.orders
                if order.action is upstream_record.Action.FENCE
            ),
            None,
        )

    def _send_due(self, now: datetime.datetime) -> list[order_messages.Effect]:
        """Expire orders, send a fence, or send one order again.

        Each call does at most one of these, the first that is due.
        """
        if self.rules.lateness_bound:
            bound = self.rules.lateness_bound
            expired = reconciliation.expire_orders(
                self.record,
                lambda order_id: self.ledger.is_late(order_id, bound, now),
            )
            self.ledger.record_expired(self.record, expired, now)
            if expired != self.record:
                return self._propose(expired, now)
        if self.rules.checks_fencing and self._needs_fence():
            return self._fence(now)
        fence = self._find_fence()
        if fence is not None:
            return self._resend_fence(fence, now)
        for order in self.record.orders:
            effects = self._resend(order, now)
            if effects:
                return effects
        return []

    def _needs_fence(self) -> bool:
        """Return whether older orders must be fenced off this incarnation."""
        if self.report is None:
            return False
        if self.report.incarnation != self.record.incarnation:
            return True
        fence = self._find_fence()
        if fence is not None:
            is_refused = not fence.unanswered and not fence.is_done
            is_inherited = not fence.id.startswith(self.writer)
            return is_refused or is_inherited
        return any(
            order.id in self.ledger.overdue and order.unanswered
            for order in self.record.orders
        )

    def _fence(self, now: datetime.datetime) -> list[order_messages.Effect]:
        """Raise the fencing number and send it to the upstream."""
        assert self.report is not None, "fencing follows a report"
        number = max(self.record.fencing, self.report.fencing) + 1
        fence = upstream_record.Order(
            self._create_id(),
            upstream_record.Action.FENCE,
            fencing=number,
            unanswered=1,
        )
        record = self.record
        is_restarted = self.report.incarnation != record.incarnation
        if is_restarted and self.rules.restart_settles:
            record = reconciliation.expire_orders(
                record, self.ledger.is_before_restart
            )
        others = tuple(
            order
            for order in record.orders
            if order.action is not upstream_record.Action.FENCE
        )
        fenced = dataclasses.replace(
            record,
            fencing=number,
            incarnation=self.report.incarnation,
            orders=(*others, fence),
        )
        return self._propose(fenced, now, fence)

    def _resend_fence(
        self, fence: upstream_record.Order, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Send the fence again; it is idempotent, so copies aren't counted."""
        if fence.is_done or not self.ledger.is_due(fence, now):
            return []
        return [self._send(fence, now + send_ledger.SEND_WINDOW, now)]

    def _resend(
        self, order: upstream_record.Order, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Send another copy of an order after counting it in the record."""
        is_fenced = self.rules.checks_fencing and not order.is_unsent
        if order.is_done or is_fenced or not self.ledger.is_due(order, now):
            return []
        if order.action is upstream_record.Action.LOAD:
            if order.base and self._is_base_missing(order.base):
                return []
            if not self._start_load(order, now):
                return []
        sent = dataclasses.replace(
            order,
            fencing=self.record.fencing,
            unanswered=order.unanswered + 1,
        )
        return self._propose_order(sent, now)

    def _is_base_missing(self, base: str) -> bool:
        """Return whether no copy of a model is resident."""
        return not self.record.has_resident(base)

    def _start_load(
        self, order: upstream_record.Order, now: datetime.datetime
    ) -> bool:
        key = pacing.LoadKey(self.upstream, order.row, order.version)
        if self.pacer.start(key, now):
            return True
        self.rejections["weight store busy"] += 1
        return False

    def _propose_order(
        self, order: upstream_record.Order, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Store and send `order` if its memory is free."""
        try:
            changed = self.record.with_order(order)
        except upstream_record.OvercommitError:
            self.rejections["memory not free"] += 1
            if order.action is upstream_record.Action.LOAD:
                self.pacer.finish(
                    pacing.LoadKey(self.upstream, order.row, order.version)
                )
            return []
        return self._propose(changed, now, order)

    def _intend(
        self, step: order_messages.Intend, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Order a planned step unless a rule forbids it.

        An unload of a copy whose load was never sent only withdraws the load.
        """
        key = step.row, step.version
        unsent = self.record.find_order(key)
        if (
            step.action is upstream_record.Action.UNLOAD
            and unsent is not None
            and unsent.is_unsent
        ):
            return self._propose(self.record.without_order(unsent.id), now)
        reason = self._find_rejection_reason(step)
        if reason:
            self.rejections[reason] += 1
            return []
        resident = self.record.find_resident(key)
        order = upstream_record.Order(
            self._create_id(),
            step.action,
            step.row,
            step.base,
            step.version,
            resident.memory_bytes if resident else step.memory_bytes,
            self.record.fencing,
            unanswered=1,
        )
        is_load = step.action is upstream_record.Action.LOAD
        if is_load and not self._start_load(order, now):
            return []
        return self._propose_order(order, now)

    def _find_rejection_reason(self, step: order_messages.Intend) -> str:
        """Return why a step can't be ordered now, or "" if it can."""
        key = step.row, step.version
        resident = self.record.find_resident(key)
        if self.report is None or self.is_blocked:
            return "upstream not known"
        if self.record.incarnation != self.report.incarnation:
            return "upstream restarted"
        if self.record.is_fencing:
            return "fence not answered"
        if self.record.find_order(key) is not None:
            return "order not settled"
        if step.action is upstream_record.Action.UNLOAD:
            if resident is None:
                return "not resident"
            if resident.unanswered:
                return "load not answered"
        elif resident is not None:
            return "already resident"
        return ""

    def _create_id(self) -> str:
        return f"{self.writer}/{self.upstream}/{next(self.ids)}"
