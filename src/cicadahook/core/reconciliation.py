"""Reconciles the record of an upstream with answers and state reports.

All functions return a new record and leave the old one unchanged. A state
report by itself never frees memory: the memory of a copy is free only once an
unload was answered and a report begun after that answer lacks the copy.
"""

from collections.abc import Callable, Iterable
import dataclasses
import datetime
import enum
import functools

from cicadahook.core import upstream_record
from cicadahook.core import view

IdPredicate = Callable[[str], bool]


class Answer(enum.StrEnum):
    """Outcome of one copy of an order."""

    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not_sent"


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCopy:
    """A copy that an upstream reports."""

    row: str
    version: str
    memory_bytes: int
    state: view.CopyState
    base: str = ""

    @property
    def key(self) -> upstream_record.CopyKey:
        """Row and version of the copy."""
        return self.row, self.version


@dataclasses.dataclass(frozen=True, slots=True)
class StateReport:
    """The state that an upstream reports.

    Attributes:
        began: when the read was begun. The report reflects all orders that
            were answered before.
        incarnation: incarnation of the upstream.
        copies: copies that it holds.
        fencing: highest fencing number that it has received.
    """

    began: datetime.datetime
    incarnation: str
    copies: tuple[HeldCopy, ...] = ()
    fencing: int = 0

    def find(self, key: upstream_record.CopyKey) -> HeldCopy | None:
        """Return the reported copy `key`, or None."""
        return next((copy for copy in self.copies if copy.key == key), None)


def apply_answer(
    record: upstream_record.UpstreamRecord, order_id: str, answer: Answer
) -> upstream_record.UpstreamRecord:
    """Count the answer to one copy of an order.

    An order is dropped if every copy of it was answered and none with success,
    since no copy can still arrive.
    """
    record = dataclasses.replace(
        record,
        barred=tuple(_count_barred_answer(record.barred, order_id, answer)),
        residents=tuple(
            _count_resident_answer(copy, order_id) for copy in record.residents
        ),
    )
    order = next((o for o in record.orders if o.id == order_id), None)
    if order is None:
        return record
    order = _count_answer(order, answer)
    is_ended = not order.unanswered and (
        not order.is_done
        or (
            order.action is upstream_record.Action.UNLOAD
            and not order.memory_bytes
        )
    )
    if is_ended and order.action is not upstream_record.Action.FENCE:
        return record.without_order(order_id)
    return record.with_order(order)


def _count_answer(
    order: upstream_record.Order, answer: Answer
) -> upstream_record.Order:
    return dataclasses.replace(
        order,
        unanswered=max(0, order.unanswered - 1),
        is_done=order.is_done or answer is Answer.DONE,
    )


def _count_barred_answer(
    barred: Iterable[upstream_record.Order], order_id: str, answer: Answer
) -> Iterable[upstream_record.Order]:
    """Yield the loads that stay barred after an answer.

    A load that was answered with success may have reached a restarted
    upstream, so it stays barred until a report proves that the incarnation is
    still the same.
    """
    for order in barred:
        if order.id == order_id:
            order = _count_answer(order, answer)
        if not order.is_unsent:
            yield order


def _count_resident_answer(
    copy: upstream_record.Resident, order_id: str
) -> upstream_record.Resident:
    if copy.order != order_id:
        return copy
    return dataclasses.replace(copy, unanswered=max(0, copy.unanswered - 1))


def expire_orders(
    record: upstream_record.UpstreamRecord, is_expired: IdPredicate
) -> upstream_record.UpstreamRecord:
    """Count all copies of the expired orders as answered.

    They can no longer arrive but may have arrived before; the next report
    decides.
    """
    return dataclasses.replace(
        record,
        orders=tuple(
            (
                dataclasses.replace(order, unanswered=0, is_done=True)
                if order.unanswered
                and order.action is not upstream_record.Action.FENCE
                and is_expired(order.id)
                else order
            )
            for order in record.orders
        ),
        residents=tuple(
            (
                dataclasses.replace(copy, unanswered=0)
                if is_expired(copy.order)
                else copy
            )
            for copy in record.residents
        ),
        barred=tuple(
            order for order in record.barred if not is_expired(order.id)
        ),
    )


def apply_report(
    record: upstream_record.UpstreamRecord,
    report: StateReport,
    is_answered: IdPredicate,
    keeps_unanswered: bool,
) -> upstream_record.UpstreamRecord:
    """Resolve the orders whose outcome `report` proves.

    This also covers a restart of an upstream without fencing.

    Args:
        record: the record to reconcile.
        report: a report begun after the record was last changed.
        is_answered: returns whether an order was answered before the report
            was begun.
        keeps_unanswered: whether a load whose row is held but which has
            unanswered copies stays an order until a fence resolves it.

    Returns:
        The reconciled record.

    Raises:
        OvercommitError: The upstream holds copies that the record does not
            contain and that do not fit beside the reserved memory.
    """
    record = dataclasses.replace(
        record,
        incarnation=report.incarnation,
        barred=tuple(
            order
            for order in record.barred
            if order.unanswered or not is_answered(order.id)
        ),
    )
    for order in record.orders:
        if order.action is upstream_record.Action.LOAD:
            is_kept = keeps_unanswered and order.unanswered > 0
            if not is_kept:
                record = _resolve_load(record, order, report, is_answered)
        elif order.action is upstream_record.Action.UNLOAD:
            if order.is_done and is_answered(order.id):
                record = _resolve_unload(record, order, report)
    record = _reload_missing(record, report)
    return _add_unknown_copies(record, report)


def _resolve_load(
    record: upstream_record.UpstreamRecord,
    order: upstream_record.Order,
    report: StateReport,
    is_answered: IdPredicate,
) -> upstream_record.UpstreamRecord:
    """Replace a load by a resident if the upstream holds the copy.

    A load that was answered with success but is not held is sent again.
    """
    if report.find(order.key) is not None:
        if order.is_done and not is_answered(order.id):
            return record
        return record.without_order(order.id).with_resident(
            _create_resident(order)
        )
    if order.is_done and is_answered(order.id):
        return record.with_order(dataclasses.replace(order, is_done=False))
    return record


def _resolve_unload(
    record: upstream_record.UpstreamRecord,
    order: upstream_record.Order,
    report: StateReport,
) -> upstream_record.UpstreamRecord:
    """Free the memory of an answered unload if the copy is not held."""
    held = report.find(order.key)
    if held is None:
        record = record.without_resident(order.key)
        if not order.unanswered:
            return record.without_order(order.id)
        return record.with_order(dataclasses.replace(order, memory_bytes=0))
    is_ended = held.state is not view.CopyState.UNLOADING
    if is_ended and not order.unanswered:
        return record.without_order(order.id)
    return record


def _reload_missing(
    record: upstream_record.UpstreamRecord, report: StateReport
) -> upstream_record.UpstreamRecord:
    """Replace residents that are no longer held by loads to send again.

    Their memory stays reserved.
    """
    leaving = record.leaving_keys()
    for copy in record.residents:
        if copy.key not in leaving and report.find(copy.key) is None:
            order = upstream_record.Order(
                copy.order or f"{report.incarnation}-{copy.row}-{copy.version}",
                upstream_record.Action.LOAD,
                copy.row,
                copy.base,
                copy.version,
                copy.memory_bytes,
                unanswered=copy.unanswered,
            )
            record = record.without_resident(copy.key).with_order(order)
    return record


def _add_unknown_copies(
    record: upstream_record.UpstreamRecord, report: StateReport
) -> upstream_record.UpstreamRecord:
    """Add the held copies that the record does not contain."""
    known = {copy.key for copy in record.residents} | {
        order.key
        for order in record.orders
        if order.action is upstream_record.Action.LOAD
    }
    for held in report.copies:
        if held.key not in known:
            copy = upstream_record.Resident(
                held.row, held.base, held.version, held.memory_bytes
            )
            record = _make_room(record, held.memory_bytes).with_resident(copy)
    return record


def _make_room(
    record: upstream_record.UpstreamRecord, memory_bytes: int
) -> upstream_record.UpstreamRecord:
    """Drop loads that were never sent until `memory_bytes` are free."""
    for order in reversed(record.orders):
        if record.free_bytes >= memory_bytes:
            break
        if order.action is upstream_record.Action.LOAD and order.is_unsent:
            record = record.without_order(order.id)
    return record


def apply_fence(
    record: upstream_record.UpstreamRecord,
    report: StateReport,
    create_id: Callable[[], str],
) -> upstream_record.UpstreamRecord:
    """Resolve all orders after `report.incarnation` answered a fence.

    Older orders can no longer take effect in that incarnation, so the report
    states exactly what it holds. Loads with unanswered copies are kept as
    barred, because a restart may reset the upstream's fencing number.

    Args:
        record: the record without the fence.
        report: a report begun after the fence was answered.
        create_id: returns an id for a new order.

    Returns:
        The record with the reported copies as residents, and with loads for
        the missing ones as far as they fit.
    """
    loads = [
        o for o in record.orders if o.action is upstream_record.Action.LOAD
    ]
    unloads = [
        o for o in record.orders if o.action is upstream_record.Action.UNLOAD
    ]
    ending = {
        held.key
        for held in report.copies
        if held.state is view.CopyState.UNLOADING
    }
    wanted: list[upstream_record.Resident | upstream_record.Order] = [
        *record.residents,
        *loads,
    ]
    missing = [
        copy
        for copy in wanted
        if report.find(copy.key) is None
        and copy.key not in record.leaving_keys()
    ]
    resolved = dataclasses.replace(
        record,
        residents=tuple(
            upstream_record.Resident(
                held.row, held.base, held.version, held.memory_bytes
            )
            for held in report.copies
        ),
        orders=tuple(
            dataclasses.replace(order, unanswered=0, is_done=True)
            for order in unloads
            if order.key in ending
        ),
        barred=(
            *record.barred,
            *(order for order in loads if order.unanswered),
        ),
    )
    return functools.reduce(
        lambda kept, copy: _reserve_reload(kept, copy, create_id()),
        missing,
        resolved,
    )


def _reserve_reload(
    record: upstream_record.UpstreamRecord,
    copy: upstream_record.Resident | upstream_record.Order,
    order_id: str,
) -> upstream_record.UpstreamRecord:
    """Reserve a load of `copy` if its memory is free."""
    if record.free_bytes < copy.memory_bytes:
        return record
    return record.with_order(
        upstream_record.Order(
            order_id,
            upstream_record.Action.LOAD,
            copy.row,
            copy.base,
            copy.version,
            copy.memory_bytes,
        )
    )


def _create_resident(order: upstream_record.Order) -> upstream_record.Resident:
    return upstream_record.Resident(
        order.row,
        order.base,
        order.version,
        order.memory_bytes,
        order.id,
        order.unanswered,
    )
