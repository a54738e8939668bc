"""Executes placement on engines while this control holds the leader lease.

`Placer` reads the engines' states, plans steps by the placement policy, and
gives them to one `OrderExecutor` for each engine.
"""

import asyncio
import collections
from collections.abc import Mapping
import dataclasses
import datetime
from typing import Any, Final

from aiohttp import web
import pydantic

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import move_log
from cicadahook.core import order_messages
from cicadahook.core import order_state_machine
from cicadahook.core import pacing
from cicadahook.core import placement
from cicadahook.core import policies
from cicadahook.core import reconciliation
from cicadahook.core import row_demand
from cicadahook.core import table as table_lib
from cicadahook.core import upstream_record
from cicadahook.core import view
from cicadahook.net import clock as net_clock
from cicadahook.net import engine_client
from cicadahook.net import fleet as fleet_lib
from cicadahook.net import keyvalue
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import order_executor
from cicadahook.net import placement_lease

STEP_PAUSE: Final = datetime.timedelta(seconds=0.5)

logger: Final = logs.create_logger("placer")

_MOVES: Final = pydantic.TypeAdapter(tuple[move_log.Move, ...])


class Placer:
    """Plans placement while it holds the leader lease.

    Attributes:
        node: name of this node.
        mode: placement settings.
        policy: plans the steps.
        pacer: limits the rate of loads.
        lease: the leader lease.
        table: the table in force; set by its owner.
        fleet: the upstreams as last observed; set by its owner.
        demand: request rates by row.
        moves: the newest steps that were ordered.
        leadership: name of this leadership; empty while another node leads.
        executors: the order executors of this leadership, by upstream.
        reports: the newest state report by upstream.
        unplaced: rows that fit on no engine, with the reason.
    """

    def __init__(
        self,
        node: str,
        client: keyvalue.KeyValueClient,
        engines: engine_client.EngineClient,
        mode: placement.PlacementMode,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self.node = node
        self.client = client
        self.engines = engines
        self.mode = mode
        self.clock = clock or net_clock.SystemClock()
        self.policy = policies.create_policy(mode)
        self.pacer = pacing.LoadPacer(mode.pacing)
        self.lease = placement_lease.PlacementLease(node, client, self.clock)
        self.table = table_lib.Table()
        self.fleet = fleet_lib.Fleet()
        self.demand = row_demand.DemandTracker()
        self.moves = move_log.MoveLog()
        self.leadership = ""
        self.executors: dict[str, order_executor.OrderExecutor] = {}
        self.reports: dict[str, reconciliation.StateReport] = {}
        self.unplaced: dict[str, str] = {}

    def install(self, app: web.Application) -> None:
        """Add the operators' routes to `app`."""
        app.router.add_get("/placement/why/{row}", self.show_why)
        app.router.add_get("/placement/moves", self.show_moves)

    def update_demand(self, rates: Mapping[str, float]) -> None:
        """Update the demand with requests a second by row, over all entries."""
        self.demand.update(rates, self.clock.now())

    async def run(self) -> None:
        """Plan and order until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        try:
            while True:
                await self._run_round()
                await asyncio.sleep(STEP_PAUSE.total_seconds())
        finally:
            await self._step_down()
            await self.lease.release()

    async def _run_round(self) -> None:
        """Run one round; without the key-value service nothing is ordered."""
        try:
            is_leader = await self.lease.renew_or_acquire()
        except errors.KeyValueError as error:
            # The lease was not renewed: nothing is ordered in this round.
            logger.warning("Placement waits: %s.", error)
            return
        if not is_leader:
            await self._step_down()
            return
        if self.lease.leadership != self.leadership:
            await self._step_down()
            self.leadership = self.lease.leadership
        await self._step()

    async def _step_down(self) -> None:
        """Drop the executors; the next leader adopts their records."""
        closing, self.executors = self.executors, {}
        self.leadership = ""
        for executor in closing.values():
            await executor.close()

    async def _step(self) -> None:
        """Read states, advance the order state machines, then plan."""
        live = self._live_engines()
        for address, upstream in live.items():
            if address not in self.executors:
                self.executors[address] = self._create_executor(upstream)
        known = [self.executors[address] for address in sorted(live)]
        for executor in known:
            row = self.table.find(executor.state_machine.upstream)
            executor.state_machine.rules = read_rules(row)
            executor.handle(order_messages.Tick())
        await asyncio.gather(*(self._read_state(item) for item in known))
        if any(
            item.state_machine.stage is order_state_machine.Stage.STOPPED
            for item in known
        ):
            # Another leader wrote a record: drop the state, read all again.
            logger.warning("Another node has taken up a record; starts over.")
            await self._step_down()
            return
        self._plan(live)

    def _create_executor(
        self, upstream: view.Upstream
    ) -> order_executor.OrderExecutor:
        state_machine = order_state_machine.OrderStateMachine(
            upstream.address,
            upstream.capacity_bytes,
            self.leadership,
            read_rules(self.table.find(upstream.address)),
            self.pacer,
        )
        return order_executor.OrderExecutor(
            state_machine,
            self.client,
            self.engines,
            self.clock,
            lambda: not self.lease.may_have_lapsed(),
        )

    async def _read_state(self, executor: order_executor.OrderExecutor) -> None:
        report = await executor.read_state()
        if report is None:
            self.reports.pop(executor.state_machine.upstream, None)
        else:
            self.reports[executor.state_machine.upstream] = report

    def _plan(self, live: Mapping[str, view.Upstream]) -> None:
        """Plan once and submit the plan's steps."""
        ready = {
            address: upstream
            for address, upstream in live.items()
            if self.executors[address].state_machine.is_adopted
            and address in self.reports
        }
        state = placement.PlacementState(
            self.table,
            ready,
            {at: self.executors[at].state_machine.record for at in ready},
            self.demand.expected(),
            {at: _serving(self.reports[at]) for at in ready},
            self.clock.now(),
        )
        for step in self.policy.plan(state):
            self._intend(step)
        if len(ready) == len(live):
            self._log_unplaced(self.policy.unplaced)

    def _intend(self, step: placement.Step) -> None:
        """Submit a step to its executor; record it unless it is rejected."""
        executor = self.executors[step.upstream]
        before = executor.state_machine.rejections.copy()
        executor.handle(
            order_messages.Intend(
                step.action,
                step.row,
                step.version,
                step.memory_bytes,
                step.base,
            )
        )
        rejected = executor.state_machine.rejections - before
        if rejected:
            _count_rejections(rejected)
            return
        self.moves.add(step, self.clock.now())
        logger.info(
            "%s %s on %s: %s.",
            step.action,
            step.row,
            step.upstream,
            step.cause,
        )

    def _log_unplaced(self, unplaced: Mapping[str, str]) -> None:
        """Log the rows that fit on no engine when they change."""
        if unplaced != self.unplaced:
            for row, reason in unplaced.items():
                # The plan found no engine with room for the row.
                logger.error("Row %s has no place: %s.", row, reason)
        self.unplaced = dict(unplaced)

    def _live_engines(self) -> dict[str, view.Upstream]:
        """Return the engines that accept new work, by address."""
        return {
            upstream.address: upstream
            for upstream in self.fleet.upstreams
            if upstream.kind is view.UpstreamKind.ENGINE
            and upstream.state is view.UpstreamState.LIVE
        }

    async def show_moves(self, request: web.Request) -> web.Response:
        """Respond with the newest moves and their causes."""
        del request
        moves = _MOVES.dump_python(tuple(self.moves.moves), mode="json")
        return web.json_response(
            {"leads": bool(self.leadership), "moves": moves}
        )

    async def show_why(self, request: web.Request) -> web.Response:
        """Respond with a row's copies, recent moves and pending orders.

        Raises:
            errors.RefusalError: the table has no such row.
        """
        name = request.match_info["row"]
        row = self.table.find(name)
        if row is None or not row.is_placed:
            raise errors.RefusalError(
                "unknown_row", f"row: {name!r} is no model or adapter", 404
            )
        moves = _MOVES.dump_python(tuple(self.moves.find(name)), mode="json")
        demand = self.demand.demands.get(name, row_demand.Demand())
        return web.json_response(
            {
                "row": name,
                "leads": bool(self.leadership),
                "demand": dataclasses.asdict(demand),
                "unplaced": self.unplaced.get(name, ""),
                "copies": list(self._describe_copies(name)),
                "moves": moves,
            }
        )

    def _describe_copies(self, name: str) -> Any:
        """Yield each copy of a row, with its order if this node leads."""
        for copy in self.fleet.copies:
            if copy.row == name:
                yield {
                    "upstream": copy.upstream,
                    "version": copy.version,
                    "state": copy.state.value,
                    "order": self._describe_order(copy.upstream, name),
                }
        held = {c.upstream for c in self.fleet.copies if c.row == name}
        for address in self.executors.keys() - held:
            order = self._describe_order(address, name)
            if order:
                yield {
                    "upstream": address,
                    "version": self.table.by_name[name].version,
                    "state": "ordered",
                    "order": order,
                }

    def _describe_order(self, address: str, name: str) -> str:
        """Return a text on the unresolved order for a row on an upstream."""
        executor = self.executors.get(address)
        if executor is None:
            return ""
        for order in executor.state_machine.record.orders:
            if order.row == name:
                state = "answered" if order.is_done else "waiting"
                return f"{order.action} {state}, {order.unanswered} unanswered"
        return ""


def read_rules(row: table_lib.Row | None) -> order_state_machine.UpstreamRules:
    """Return an upstream's rules from its row, or the safe defaults."""
    if row is None:
        return order_state_machine.UpstreamRules()
    return order_state_machine.UpstreamRules(
        row.checks_fencing,
        row.restart_settles,
        datetime.timedelta(seconds=row.lateness_bound_seconds),
    )


def _serving(
    report: reconciliation.StateReport,
) -> frozenset[upstream_record.CopyKey]:
    """Return the copies that are serving according to a report."""
    return frozenset(
        copy.key
        for copy in report.copies
        if copy.state is view.CopyState.SERVING
    )


def _count_rejections(rejected: collections.Counter[str]) -> None:
    """Count the steps that were not ordered, by reason."""
    counter = metrics.create_counter(
        "cicada_placement_rejections", "Planned steps not ordered, by reason."
    )
    for reason, number in rejected.items():
        counter.add(number, {"reason": reason})
