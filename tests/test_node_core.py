"""Decisions of a node: routing, load planning and tracking, without network."""

import datetime

import pytest

from cicadahook.core import balancer as balancer_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import crash_tracker
from cicadahook.core import engine_ledger
from cicadahook.core import engine_orders
from cicadahook.core import event_streams
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import load_planning
from cicadahook.core import model_demand
from cicadahook.core import model_paces
from cicadahook.core import prefix_cache
from cicadahook.core import residency
from cicadahook.core import retry_budget
from cicadahook.core import roster
from cicadahook.core import routes
import store_positions

SECOND = datetime.timedelta(seconds=1)
MS = datetime.timedelta(milliseconds=1)


def create_route(prefix: str, name: str = "") -> routes.Route:
    """Return a route of one service."""
    return routes.Route(
        name or prefix,
        "api.example",
        prefix,
        routes.RouteKind.IDEMPOTENT,
        SECOND,
        SECOND,
        0,
        (routes.WeightedService("s", 1.0),),
        1,
    )


def create_instance(
    name: str, models: tuple[str, ...] = (), **more: object
) -> inventory.Instance:
    """Return an upstream that holds some models."""
    return inventory.Instance(
        name,
        "s",
        f"{name}:80",
        "z",
        4,
        holdings={model: inventory.Holding(model, 1) for model in models},
        **more,  # type: ignore[arg-type]
    )


def create_model(name: str, size_mb: float = 40.0) -> routes.Model:
    """Return a model that loads in 4, 1 or 0.5 s."""
    return routes.Model(
        name, size_mb, 1.0, frozenset({"a1"}), 4 * SECOND, SECOND, SECOND / 2
    )


def create_pool(*names: str) -> routes.EnginePool:
    """Return a pool of engines with 100 MB and two adapter slots."""
    models = {name: create_model(name) for name in names}
    return routes.EnginePool(models, 100.0, 2, 8, 1.0)


def create_ledger(
    name: str, pool: routes.EnginePool, held: tuple[str, ...]
) -> engine_ledger.EngineLedger:
    """Return the ledger of an engine that holds some models."""
    ledger = engine_ledger.EngineLedger(create_instance(name, held), pool)
    ledger.apply_report(create_report(0, *held), clock_lib.EPOCH)
    return ledger


def create_report(
    sequence: int, *models: str, is_busy: bool = False
) -> engine_orders.EngineReport:
    """Return a report of an engine that holds some models."""
    holdings = {model: inventory.Holding(model, 1) for model in models}
    return engine_orders.EngineReport(
        sequence, is_busy, holdings, frozenset(), 0
    )


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("api.example", "/a/b/c", "/a/b/"),
        ("API.example:8080", "/a/x", "/a/"),
        ("api.example", "/a", None),
        ("api.example", "/b/?q=/a/", None),
        ("other.example", "/a/", None),
    ],
)
def test_finds_the_longest_prefix(
    host: str, path: str, expected: str | None
) -> None:
    configuration = routes.Configuration(
        1,
        (create_route("/a/"), create_route("/a/b/")),
        {},
        routes.CallerLimits(),
    )
    route = configuration.find_route(host, path)
    assert (route.prefix if route else None) == expected


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_splits_events_however_they_arrive(size: int) -> None:
    data = b"id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\ndata: z\n\nid: 4\nda"
    splitter = event_streams.EventSplitter()
    found = [
        event
        for start in range(0, len(data), size)
        for event in splitter.feed(data[start : start + size])
    ]
    assert [event.id for event in found] == ["1", "2", ""]
    whole = b"".join(event.data for event in found)
    assert whole + splitter.pending == data


def test_refuses_an_endless_event() -> None:
    splitter = event_streams.EventSplitter()
    with pytest.raises(event_streams.OversizedEventError):
        list(splitter.feed(b"x" * (event_streams.MAX_EVENT_BYTES + 1)))


def test_keeps_lapsed_registrations_after_an_outage() -> None:
    registrations = inventory.Inventory()
    now = clock_lib.EPOCH
    both = [create_instance("a"), create_instance("b")]
    registrations.apply_snapshot(
        both, store_positions.at(5), now, is_after_outage=False
    )
    registrations.apply_snapshot(
        both[:1], store_positions.at(9), now, is_after_outage=True
    )
    assert registrations.find_usable("b") is not None
    registrations.drop_expired(now + 1.9 * SECOND)
    assert registrations.find_usable("b") is not None
    registrations.drop_expired(now + 2 * SECOND)
    assert registrations.find_usable("b") is None


def test_drops_lapsed_registrations_at_once_without_an_outage() -> None:
    registrations = inventory.Inventory()
    both = [create_instance("a"), create_instance("b")]
    registrations.apply_snapshot(
        both, store_positions.at(5), clock_lib.EPOCH, is_after_outage=False
    )
    registrations.apply_snapshot(
        both[:1], store_positions.at(9), clock_lib.EPOCH, is_after_outage=False
    )
    assert [entry.id for entry in registrations.list_usable("s")] == ["a"]


def test_ignores_an_older_listing() -> None:
    registrations = inventory.Inventory()
    registrations.apply_snapshot(
        [create_instance("a")], store_positions.at(9), clock_lib.EPOCH, False
    )
    registrations.apply_snapshot(
        [], store_positions.at(5), clock_lib.EPOCH, False
    )
    assert registrations.find_usable("a") is not None


def test_uses_no_leaving_upstream() -> None:
    registrations = inventory.Inventory()
    registrations.put(create_instance("a", is_leaving=True))
    assert registrations.find_usable("a") is None
    assert not list(registrations.list_usable("s"))


@pytest.mark.parametrize("nodes", [1, 2, 4, 34])
def test_all_nodes_stay_within_the_retry_budget(nodes: int) -> None:
    mode = retry_budget.RetryBudgetMode(0.2, 58.0, 10 * SECOND)
    budgets = [retry_budget.RetryBudget(mode) for _ in range(nodes)]
    now = clock_lib.EPOCH
    taken = 0
    for number in range(400):
        budget = budgets[number % nodes]
        budget.record_request(now)
        while budget.consume(nodes, now):
            taken += 1
    assert taken <= 0.2 * 400 + 58
    assert taken >= 0.5 * (0.2 * 400 + 58) - nodes


def test_counts_kept_prompt_parts_in_order() -> None:
    parts = tuple(forwarding.PromptPart(name, 100) for name in "abc")
    first = forwarding.Generation("m", "", 300, 10, parts)
    other = forwarding.Generation("m", "", 300, 10, (*parts[:2], parts[0]))
    cache = prefix_cache.PrefixCache(1000)
    cache.record_read(first)
    assert cache.count_kept(other) == 200
    assert cache.count_kept(forwarding.Generation("n", "", 300, 10, parts)) == 0


def test_forgets_the_oldest_parts_first() -> None:
    cache = prefix_cache.PrefixCache(250)
    for name in "abc":
        part = forwarding.PromptPart(name, 100)
        cache.record_read(forwarding.Generation("m", "", 100, 1, (part,)))
    assert [key[2] for key in cache.tokens] == ["b", "c"]


def test_spreads_generations_by_work(balancer: balancer_lib.Balancer) -> None:
    entries = [create_instance(name, ("m",)) for name in "abc"]
    sent = []
    for number in range(30):
        part = forwarding.PromptPart(str(number), 2000)
        generation = forwarding.Generation("m", "", 2000, 50, (part,))
        chosen = balancer.choose(entries, generation)
        assert chosen is not None
        balancer.start(chosen, generation)
        sent.append(chosen.id)
    assert all(sent.count(name) == 10 for name in "abc")


def test_sends_a_long_prompt_where_it_is_kept(
    balancer: balancer_lib.Balancer,
) -> None:
    entries = [create_instance(name, ("m",)) for name in "abc"]
    part = forwarding.PromptPart("shared", 6000)
    generation = forwarding.Generation("m", "", 6000, 50, (part,))
    first = balancer.choose(entries, generation)
    assert first is not None
    balancer.record_first_piece(balancer.start(first, generation))
    assert balancer.choose(entries, generation) == first


def test_counts_requests_of_other_nodes(
    balancer: balancer_lib.Balancer, clock: clock_lib.ManualClock
) -> None:
    entries = [create_instance(name) for name in "ab"]
    load = balancer_lib.InstanceLoad("a", 9, 0.0)
    balancer.replace_peer_loads("n2", [load])
    chosen = balancer.choose(entries, None)
    assert chosen is not None and chosen.id == "b"
    clock.advance(balancer_lib.PEER_EXPIRY)
    assert balancer.count_load(entries[0]) == (0, 0.0)


def test_prefers_an_upstream_with_a_link_to_one_behind_another_node(
    balancer: balancer_lib.Balancer, clock: clock_lib.ManualClock
) -> None:
    entries = [create_instance(name) for name in "ab"]
    links = balancer.reachability
    links.update_registered({entry.id: entry for entry in entries})
    links.record_failure(entries[0], clock.now(), is_refused=True)
    for _ in range(10):
        chosen = balancer.choose(entries, None)
        assert chosen is not None and chosen.id == "b"
    links.record_connected(entries[0], clock.now())
    for entry in entries:
        links.kept.keep(entry, clock.now())
    seen = [balancer.choose(entries, None) for _ in range(30)]
    assert entries[0] in seen


def test_an_engine_with_long_prompts_waiting_takes_no_more(
    balancer: balancer_lib.Balancer,
) -> None:
    """A request that would start after its target is refused, not queued."""
    entry = create_instance("a", ("m",))
    target = 600 * MS
    taken = 0
    while not balancer.is_overloaded(entry, target):
        part = forwarding.PromptPart(str(taken), 4000)
        generation = forwarding.Generation("m", "", 4000, 50, (part,))
        balancer.start(entry, generation)
        taken += 1
        assert taken < 50, "no end"
    reading_ms = 4000 / 38.4 * balancer.paces.get("m")
    assert 600 / (2 * reading_ms) < taken <= 600 / reading_ms + 1


def test_averages_paces_of_all_nodes() -> None:
    paces = model_paces.ModelPaces()
    for _ in range(50):
        paces.record("slow", 1.0)
    paces.replace_peer("n2", [model_paces.PaceEstimate("fast", 0.1, 50.0)])
    assert paces.get("slow") == pytest.approx(1.0, abs=0.05)
    assert paces.get("fast") == pytest.approx(0.1, abs=0.05)
    assert paces.get("new") == model_paces.PRIOR_PACE


def test_model_demand_follows_a_shift() -> None:
    rates = model_demand.ModelDemandTracker()
    now = clock_lib.EPOCH
    for step in range(100):
        rates.record_request("s", "old", 100 * MS, now + step * 100 * MS)
    now += 10 * SECOND
    assert rates.list_shares(now)[("s", "old")] == pytest.approx(1.0, abs=0.1)
    assert not rates.list_shares(now + 30 * SECOND)


def test_corrections_override_registrations_for_a_while(
    clock: clock_lib.ManualClock,
) -> None:
    known = residency.Residency()
    entry = create_instance("a", ("m",))
    known.record_registration(entry)
    key = residency.CopyKey("a", "m")
    other = residency.CopyKey("a", "n", "a1")
    now = clock.now()
    assert known.holds(entry, key, now)
    known.record_missing(key, now)
    known.record_held(other, now)
    assert not known.holds(entry, key, now)
    assert known.holds(entry, other, now)
    later = now + residency.CORRECTION_PERIOD
    assert known.holds(entry, key, later)
    assert not known.holds(entry, other, later)


def test_a_restart_forgets_adapters() -> None:
    known = residency.Residency()
    holding = {"m": inventory.Holding("m", 1, frozenset({"a1"}))}
    entry = inventory.Instance("a", "s", "a:1", "z", 1, holdings=holding)
    known.record_registration(entry)
    key = residency.CopyKey("a", "m", "a1")
    assert known.holds(entry, key, clock_lib.EPOCH)
    again = create_instance("a", ("m",), born=7)
    known.record_registration(again)
    assert not known.holds(again, key, clock_lib.EPOCH)


def test_lists_live_nodes_nearest_first() -> None:
    def record(name: str, zone: str) -> roster.NodeRecord:
        return roster.NodeRecord(name, zone, "r", f"{name}:1", f"{name}:2", 1)

    def status(entry: roster.NodeRecord, is_ready: bool) -> roster.NodeStatus:
        return roster.NodeStatus(entry, 1, is_ready, False, False, 0, 0)

    known = roster.Roster(record("n1", "a"))
    now = clock_lib.EPOCH
    known.record_status(status(record("n2", "b"), True), now)
    known.record_status(status(record("n3", "b"), False), now)
    assert known.list_addresses("b", "r", roster.OwnState(True), now) == (
        "n2:1",
        "n1:1",
    )
    assert known.list_addresses("b", "r", roster.OwnState(False), now) == (
        "n2:1",
    )
    later = now + roster.SILENCE_LIMIT
    assert known.list_addresses("b", "r", roster.OwnState(True), later) == (
        "n1:1",
    )


def test_a_late_status_changes_nothing() -> None:
    own = roster.NodeRecord("n1", "a", "r", "n1:1", "n1:2", 1)
    peer = roster.NodeRecord("n2", "a", "r", "n2:1", "n2:2", 1)
    known = roster.Roster(own)
    newer = roster.NodeStatus(peer, 5, False, False, False, 0, 0)
    older = roster.NodeStatus(peer, 4, True, False, False, 0, 0)
    assert known.record_status(newer, clock_lib.EPOCH)
    assert not known.record_status(older, clock_lib.EPOCH)
    assert not known.list_addresses(
        "a", "r", roster.OwnState(False), clock_lib.EPOCH
    )


def test_counts_a_load_in_progress_that_a_report_lacks() -> None:
    pool = create_pool("m", "n")
    ledger = create_ledger("a", pool, ("m",))
    now = clock_lib.EPOCH
    ledger.planned = "n"
    ledger.copies["n"] = engine_ledger.ModelCopy(
        pool.models["n"], engine_ledger.CopyState.LOADING, now
    )
    ledger.apply_report(create_report(1, "m", is_busy=True), now)
    assert ledger.count_used_mb(now) == 80
    ledger.planned = ""
    ledger.apply_report(create_report(1, "m"), now)
    assert ledger.count_used_mb(now) == 40


def test_ledger_does_not_account_for_a_late_order() -> None:
    ledger = create_ledger("a", create_pool("m", "n"), ("m",))
    assert not ledger.accounts_for(create_report(1, "m", is_busy=True))
    assert ledger.accounts_for(create_report(1, "m", "n"))
    ledger.copies["m"].state = engine_ledger.CopyState.UNLOADING
    assert ledger.accounts_for(create_report(1, "m", is_busy=True))


def test_marks_an_unload_until_the_report_shows_it() -> None:
    ledger = create_ledger("a", create_pool("m"), ("m",))
    ledger.copies["m"].state = engine_ledger.CopyState.UNLOADING
    ledger.apply_report(create_report(1, "m"), clock_lib.EPOCH)
    assert not ledger.is_ready("m")
    assert ledger.count_used_mb(clock_lib.EPOCH) == 40


def test_reserves_an_unanswered_load_while_it_may_be_carried_out() -> None:
    pool = create_pool("m", "n")
    ledger = create_ledger("a", pool, ("m",))
    now = clock_lib.EPOCH
    ledger.reserve_unanswered(pool.models["n"], "", 0, now)
    assert ledger.count_free_mb(now) == 20
    ledger.sequence = 1
    assert ledger.count_free_mb(now) == 60
    # A restarted engine counts orders from 0 again.
    ledger.sequence = 0
    assert ledger.count_free_mb(now) == 20
    assert ledger.count_free_mb(now + engine_ledger.LATE_ORDER_PERIOD) == 60


def test_evicts_no_adapter_in_use() -> None:
    ledger = create_ledger("a", create_pool("m"), ("m",))
    adapters = ledger.copies["m"].adapters
    adapters["a1"], adapters["a2"] = clock_lib.EPOCH, clock_lib.EPOCH + MS
    now = clock_lib.EPOCH + SECOND
    assert ledger.find_spare_adapter({("m", "a1")}, now) == ("m", "a2")
    both = {("m", "a1"), ("m", "a2")}
    assert ledger.find_spare_adapter(both, now) is None


def test_keeps_a_fresh_adapter_for_the_request_that_waits() -> None:
    ledger = create_ledger("a", create_pool("m"), ("m",))
    ledger.copies["m"].adapters["a1"] = clock_lib.EPOCH
    soon = clock_lib.EPOCH + engine_ledger.ADAPTER_GRACE_PERIOD - MS
    assert ledger.find_spare_adapter(set(), soon) is None
    assert ledger.find_spare_adapter(set(), soon + MS) == ("m", "a1")


def create_service_state(
    *ledgers: engine_ledger.EngineLedger,
    is_store_open: bool = True,
    **demand: float,
) -> load_planning.ServiceState:
    """Return the state of a service with the given engines and demand."""
    return load_planning.ServiceState(
        ledgers, demand, {}, is_store_open, clock_lib.EPOCH
    )


def test_loads_where_a_copy_is_on_disk() -> None:
    pool = create_pool("m", "n")
    cold = create_ledger("a", pool, ())
    warm = create_ledger("b", pool, ())
    warm.instance = create_instance("b", on_disk=frozenset({"n"}))
    plan = load_planning.plan_load(
        pool.models["n"], create_service_state(cold, warm)
    )
    assert plan is not None
    assert (plan.instance, plan.is_from_store) == ("b", False)


def test_evicts_the_model_without_demand() -> None:
    pool = create_pool("m", "n", "o")
    ledger = create_ledger("a", pool, ("m", "n"))
    plan = load_planning.plan_load(
        pool.models["o"], create_service_state(ledger, m=0.05)
    )
    assert plan is not None and plan.evicted == ("n",)


def test_evicts_no_busy_model() -> None:
    pool = create_pool("m", "n", "o")
    ledger = create_ledger("a", pool, ("m", "n"))
    state = create_service_state(ledger, m=0.9, n=0.9)
    assert load_planning.plan_load(pool.models["o"], state) is None


def test_loading_copy_makes_no_other_copy_spare() -> None:
    """Until the copy is loaded, requests can only use the existing one."""
    pool = create_pool("m", "n", "o")
    ledgers = [
        create_ledger("a", pool, ("m", "n")),
        create_ledger("b", pool, ("n",)),
    ]
    ledgers[1].planned = "m"
    state = create_service_state(*ledgers, m=0.2, n=5.0)
    assert load_planning.plan_load(pool.models["o"], state) is None
    ledgers[1] = create_ledger("b", pool, ("m", "n"))
    state = create_service_state(*ledgers, m=0.2, n=5.0)
    plan = load_planning.plan_load(pool.models["o"], state)
    assert plan is not None and plan.evicted == ("m",)


def test_waits_for_the_weight_store() -> None:
    pool = create_pool("m")
    state = create_service_state(
        create_ledger("a", pool, ()), is_store_open=False
    )
    assert load_planning.plan_load(pool.models["m"], state) is None


def test_copies_a_busy_model_to_the_least_busy_engine() -> None:
    pool = create_pool("m", "n")
    ledgers = [
        create_ledger("a", pool, ("m",)),
        create_ledger("b", pool, ("n",)),
        create_ledger("c", pool, ()),
        create_ledger("d", pool, ()),
    ]
    state = create_service_state(*ledgers, m=0.9, n=0.4)
    plan = load_planning.plan_ahead(pool.models, state)
    assert plan is not None
    assert plan.model.name == "m" and plan.instance in ("c", "d")
    ledgers[2].planned = "m"
    again = load_planning.plan_ahead(
        pool.models, create_service_state(*ledgers, m=0.9)
    )
    assert again is None, "one copy at a time"


def test_busy_model_precedes_models_without_a_copy() -> None:
    """An empty engine is not filled with models without demand."""
    pool = create_pool("m", "n", "o")
    ledgers = [
        create_ledger("a", pool, ("m",)),
        create_ledger("b", pool, ()),
        create_ledger("c", pool, ()),
    ]
    plan = load_planning.plan_ahead(pool.models, create_service_state(*ledgers))
    assert plan is not None and plan.model.name == "n", "no other load is due"
    busy = create_service_state(*ledgers, m=2.0)
    plan = load_planning.plan_ahead(pool.models, busy)
    assert plan is not None and plan.model.name == "m"


def test_a_model_that_fills_two_engines_gets_two_copies_at_once() -> None:
    """Copies that take seconds each would be too late one after another."""
    pool = create_pool("m")
    ledgers = [create_ledger(name, pool, ()) for name in "abcde"]
    ledgers[0] = create_ledger("a", pool, ("m",))
    ledgers[1].planned = "m"
    plan = load_planning.plan_ahead(
        pool.models, create_service_state(*ledgers, m=2.8)
    )
    assert plan is not None and plan.instance != "b"
    ledgers[2].planned = "m"
    again = load_planning.plan_ahead(
        pool.models, create_service_state(*ledgers, m=2.8)
    )
    assert again is None, "three copies for the work of 2.8 engines"


def test_an_overloaded_model_waits_for_no_other_loads() -> None:
    """Loads of models with little demand don't delay its next copy."""
    pool = create_pool("m", "n", "o")
    ledgers = [create_ledger(name, pool, ()) for name in "abcde"]
    ledgers[0] = create_ledger("a", pool, ("m",))
    ledgers[1].planned, ledgers[2].planned = "n", "o"
    plan = load_planning.plan_ahead(
        pool.models, create_service_state(*ledgers, m=0.9)
    )
    assert plan is None, "enough engines are busy with loads"
    plan = load_planning.plan_ahead(
        pool.models, create_service_state(*ledgers, m=1.5)
    )
    assert plan is not None and plan.model.name == "m"


def test_adds_no_copies_for_calm_engines() -> None:
    pool = create_pool("m", "n")
    state = create_service_state(
        create_ledger("a", pool, ("m",)),
        create_ledger("b", pool, ("n",)),
        m=0.1,
        n=0.1,
    )
    assert load_planning.plan_ahead(pool.models, state) is None


def test_load_window_slides() -> None:
    window = load_planning.LoadWindow(2, 5 * SECOND)
    now = clock_lib.EPOCH
    assert window.acquire(now) and window.acquire(now + SECOND)
    assert not window.acquire(now + 4 * SECOND)
    assert window.acquire(now + 5 * SECOND)
    assert not window.is_open(now + 5 * SECOND)
    assert not window.is_open(now + 6 * SECOND, reserved=1)


def test_suspects_requests_cut_off_by_an_upstream_restart() -> None:
    tracker = crash_tracker.CrashTracker()
    registrations = inventory.Inventory()
    entry = create_instance("a")
    registrations.put(entry)
    now = clock_lib.EPOCH
    broken = crash_tracker.BrokenRequest(("f",), entry, now, now + SECOND)
    tracker.record_broken(broken)
    assert not tracker.compare(registrations, now + SECOND)
    registrations.put(create_instance("a", born=9))
    assert tracker.compare(registrations, now + 2 * SECOND) == (broken,)
    assert not tracker.compare(registrations, now + 2 * SECOND)


def test_a_broken_connection_alone_is_no_crash() -> None:
    tracker = crash_tracker.CrashTracker()
    registrations = inventory.Inventory()
    entry = create_instance("a")
    registrations.put(entry)
    now = clock_lib.EPOCH
    tracker.record_broken(crash_tracker.BrokenRequest(("f",), entry, now, now))
    later = now + crash_tracker.EVIDENCE_PERIOD
    assert not tracker.compare(registrations, later)
    registrations.remove("a")
    assert not tracker.compare(registrations, later)
