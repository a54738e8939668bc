"""A small deployment: its configuration, workers and callers."""

import asyncio
import random
import time

import testbed as testbed_lib
import workers as workers_lib

MODEL_MB = 16100.0
WEIGHTS_MB = 83000.0


def route(name, prefix, kind, service, **more):
    return {
        "name": name,
        "hostname": testbed_lib.HOSTNAME,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 6000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service_name": service,
        "max_attempts": 1,
        **more,
    }


def create_configuration(version=1, more_routes=()):
    models = [
        {
            "name": name,
            "weights_mb": MODEL_MB,
            "load_time_s": 0.3,
            "adapters": 12,
            "adapter_size_mb": 14.0,
        }
        for name in ("big", "small")
    ]
    return {
        "version": version,
        "routes": [
            route("lookup", "/lookup/", "idempotent", "portal", max_attempts=2,
                  timeout_ms=800, target_latency_ms=400),
            route("sign", "/sign/", "non_idempotent", "portal",
                  timeout_ms=800, target_latency_ms=400),
            route("draft", "/draft/", "streaming", "assistant",
                  session_affinity=True, target_gap_ms=500),
            *more_routes,
        ],
        "services": [
            {"name": "portal", "health_path": "/health"},
            {"name": "portal-two", "health_path": "/health"},
            {
                "name": "assistant",
                "health_path": "/health",
                "inference_engine": {
                    "slots": 32,
                    "weights_mb": WEIGHTS_MB,
                    "adapter_slots": 4,
                    "loads_per_s": 2.0,
                    "models": models,
                },
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def create_engines(store, count=3):
    return [
        workers_lib.Worker(
            store,
            f"i-e{number}",
            "assistant",
            "z-a",
            {"big": set(), "small": set()},
            slots=32,
            adapter_slots=4,
        )
        for number in range(1, count + 1)
    ]


def create_plain(store, count=3, service="portal"):
    return [
        workers_lib.Worker(store, f"i-{service}-{number}", service, "z-a")
        for number in range(1, count + 1)
    ]


class DraftCallers:
    """Callers that ask for drafts with changing adapters."""

    def __init__(self, testbed, per_s, seed=1):
        self.testbed, self.per_s = testbed, per_s
        self.random = random.Random(seed)
        self.count = 0
        self.calls = set()
        self.statuses = {}

    async def run(self):
        while True:
            await asyncio.sleep(self.random.expovariate(self.per_s))
            nodes = [
                node
                for node in self.testbed.nodes
                if node.child is not None and node.child.returncode is None
            ]
            if nodes:
                task = asyncio.create_task(self.send(self.random.choice(nodes)))
                self.calls.add(task)
                task.add_done_callback(self.calls.discard)

    async def send(self, node):
        self.count += 1
        request_id = f"d{self.count}"
        adapter = f"a{self.random.randrange(1, 13)}"
        model = self.random.choice(("big", "small"))
        status, _, _ = await self.testbed.call(
            node,
            "/draft/",
            request_id,
            limit_ms=6000,
            data=b"draft",
            headers={
                "X-Model": f"{model}/{adapter}",
                "X-Token-Counts": "600,20",
                "X-Prompt-Prefix": f"5c1e07a2:200,{self.count:x}:400",
            },
        )
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.testbed.record(f"{request_id} {model}/{adapter} at {node.name}: {status}")


def judge_holders(workers, lease_s=3.0):
    """Return the breaks of the rule ONE in the orders that workers got."""
    breaks = []
    for worker in workers:
        highest, last = 0, None
        for order in worker.orders:
            at, holder, fence = order[:3]
            if last is not None and holder != last[1]:
                gap = at - last[0]
                if gap < lease_s:
                    breaks.append(
                        f"{worker.id}: order of {holder} (fence {fence})"
                        f" {gap:.3f} s after one of {last[1]} (fence {last[2]})"
                    )
                if fence == last[2]:
                    breaks.append(f"{worker.id}: two holders with fence {fence}")
            if fence < highest:
                breaks.append(
                    f"{worker.id}: fence {fence} of {holder} after {highest}"
                )
            highest = max(highest, fence)
            last = order
    return breaks


def record_orders(record, workers):
    for at, name, order in sorted(
        (order[0], worker.id, order) for worker in workers for order in worker.orders
    ):
        _, holder, fence, operation, model, adapter, status = order
        record(
            f"order at {name}: holder {holder}, fence {fence}, {operation}"
            f" {model}/{adapter or ''}: {status}",
            at,
        )


def find_holder(workers, since=0.0):
    """Return who sent the newest order, or None."""
    orders = [o for w in workers for o in w.orders if o[0] >= since]
    return max(orders)[1] if orders else None


async def wait_for(check, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        await asyncio.sleep(0.02)
    return False
