"""The order machine: what one leader may send to one upstream, and when.

The machine owns the record of one upstream. Every change of the record is a
compare-and-swap; an order is sent only after the write that intends it, and
each further copy of it is counted by another write before it goes.
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
    """What operators know of an upstream; see the columns of its row."""

    checks_fencing: bool = False
    restart_settles: bool = False
    lateness_bound: datetime.timedelta = datetime.timedelta()


class Stage(enum.StrEnum):
    """What the machine waits for."""

    READY = "ready"
    READING = "reading"
    WRITING = "writing"
    BACKING_OFF = "backing_off"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A record on its way to the service, and what it allows to send."""

    record: upstream_record.UpstreamRecord
    sends: tuple[upstream_record.Order, ...] = ()


class OrderStateMachine:
    """Orders of one leadership to one upstream.

    Attributes:
        upstream: address of the upstream.
        capacity_bytes: its accelerator memory, in bytes.
        writer: name of this leadership, never used by another.
        rules: what operators know of the upstream.
        pacer: limits the loads of all upstreams together.
        record: the record as last known to be stored.
        stage: what it waits for; once stopped it never sends again.
        report: the newest state report.
        is_blocked: whether the upstream holds more than the record allows.
        rejections: steps and sends that were not made, by reason.
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
        """Whether the record carries this leadership's name."""
        return self.adopted_at is not None

    @property
    def is_resolved(self) -> bool:
        """Whether no order and no write is unsettled."""
        return self.stage is Stage.READY and not self.record.orders

    def handle(
        self, message: order_messages.Message, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Return what to do about `message`."""
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
        """Act on a message that needs the record to be at rest."""
        match message:
            case order_messages.Tick():
                return self._send_due(now)
            case order_messages.Intend():
                return self._intend(message, now)
            case reconciliation.StateReport():
                return self._handle_report(message, now)

    def _read(self) -> list[order_messages.Effect]:
        """Read the record, to learn whether the last write took effect."""
        if self.stage in (Stage.STOPPED, Stage.READY):
            return []
        self.stage = Stage.READING
        return [order_messages.ReadRecord()]

    def _back_off(self, now: datetime.datetime) -> list[order_messages.Effect]:
        """Wait, longer each time, before the next read."""
        if self.stage is Stage.READING:
            self.stage = Stage.BACKING_OFF
            self.retry_at = now + self.retry_delay
            self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY)
        return []

    def _handle_read(
        self, message: order_messages.RecordRead, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Adopt the record, or learn what became of the last write."""
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
        """Take over the record, and with it the unsettled orders."""
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
        """Write `record`; `sends` go once it is stored."""
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
        """Note that the proposal is stored, and send what it allows."""
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
        """Forget what is known of orders and loads that are settled."""
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
        """Take the waiting answers into the record."""
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
        """Settle what a report proves."""
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
        """Settle older orders if this incarnation answered the fence."""
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
        """Fence, expire, load again or resend, whichever is due first."""
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
        """Tell whether older orders must be shut out of this incarnation."""
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
        """Raise the fencing number and tell the upstream."""
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
        """Send the fence again; it is idempotent and needs no counting."""
        if fence.is_done or not self.ledger.is_due(fence, now):
            return []
        return [self._send(fence, now + send_ledger.SEND_WINDOW, now)]

    def _resend(
        self, order: upstream_record.Order, now: datetime.datetime
    ) -> list[order_messages.Effect]:
        """Send another copy of an order, counted in the record first."""
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
        """Tell whether no copy of a model is resident."""
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
        """Intend `order` if the memory allows it."""
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
        """Intend a planned step, unless a rule forbids it."""
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
        """Return why a step can't be ordered now; empty if it can."""
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
