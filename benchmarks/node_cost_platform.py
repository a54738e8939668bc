"""Surroundings of the node that `node_cost.py` measures.

They run in a process of their own: the store, engines and plain services, the
other nodes' statuses, and callers. Lines of JSON on standard input control
them; each is answered by a line.
"""

import argparse
import asyncio
import contextlib
import json
import random
import sys
import time
from typing import Any, Final
import uuid

import aiohttp
from aiohttp import web
import node_store
import node_upstreams

from cicadahook.core import balancer
from cicadahook.core import model_paces
from cicadahook.core import order_holder
from cicadahook.core import reachability
from cicadahook.core import roster
from cicadahook.core import status_schedule
from cicadahook.core import stream_origins
from cicadahook.net import status_codec
from cicadahook.net import store_listeners
from cicadahook.platform import caller_server

HOST: Final = "127.0.0.1"
STORE_PORT: Final = 15_000
PEER_PORT: Final = 15_001
UPSTREAM_PORT: Final = 15_010
NODE_PORT: Final = 15_200
ENGINES: Final = 70
PLAIN: Final = 4
MODELS: Final = 305
MODELS_PER_ENGINE: Final = 9
ROUTES: Final = 40
# Makes the configuration as long as those of the deployments, in characters.
NOTE: Final = "n" * 900
ADAPTERS: Final = ("a1", "a2")
ZONES: Final = ("zone-a", "zone-b", "zone-c", "zone-d")
# What the status of a busy node lists.
LISTED_LOADS: Final = 14
LISTED_DEMAND: Final = 80
LISTED_PACES: Final = 200
LISTED_ORIGINS: Final = 24
STREAM_SHARE: Final = 2 / 3
EVENT_SECONDS: Final = 0.05
BODY: Final = b"x" * 4096


def create_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with many models."""

    def route(number: int) -> dict[str, Any]:
        is_plain = number % 2 == 0
        return {
            "name": f"r{number}",
            "hostname": "api.example",
            "path_prefix": f"/r{number}/",
            "route_kind": "idempotent" if is_plain else "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 2000,
            "service_name": "plain" if is_plain else "engines",
            "max_attempts": 2,
            "resumable": not is_plain,
        }

    return {
        "version": version,
        "routes": [route(number) for number in range(ROUTES)],
        "services": [
            {"name": "plain"},
            {
                "name": "engines",
                "inference_engine": {
                    "slots": 48,
                    "weights_mb": 40.0 * MODELS_PER_ENGINE + 100,
                    "adapter_slots": 24,
                    "loads_per_s": 16.0,
                    "models": [
                        {
                            "name": f"m{number}",
                            "weights_mb": 40.0,
                            "load_time_s": 2.0,
                            "adapters": len(ADAPTERS),
                            "adapter_size_mb": 1.0,
                            "note": NOTE,
                        }
                        for number in range(MODELS)
                    ],
                },
            },
        ],
    }


class Upstream(node_upstreams.UpstreamStandin):
    """An upstream that records nothing, so that it stays fast."""

    def _record(
        self,
        request: web.BaseRequest,
        body: bytes,
        connection: asyncio.Transport,
    ) -> node_upstreams.Arrival:
        return node_upstreams.Arrival(request.raw_path, request.headers, b"")

    def _plan_stream(self, request: web.BaseRequest) -> tuple[int, float]:
        return random.randint(7, 36), EVENT_SECONDS

    def describe(self) -> dict[str, Any]:
        """Return its registration in the store."""
        zone = ZONES[hash(self.address) % len(ZONES)]
        return {**super().describe(), "slots": 48, "zone": zone}


class Peers:
    """Other nodes, whose statuses come at the rate of real ones.

    Attributes:
        records: the nodes.
        holder: name of the one that is the holder of orders; empty for none.
    """

    def __init__(self, count: int, *, has_holder: bool) -> None:
        self.records = [
            roster.NodeRecord(
                f"n{number}",
                ZONES[number % len(ZONES)],
                "region",
                f"{HOST}:{NODE_PORT + 50}",
                f"{HOST}:{PEER_PORT}",
                1_700_000_000_000 + number,
            )
            for number in range(1, count + 1)
        ]
        self.holder = "n1" if has_holder else ""
        self.random = random.Random(1)

    def register(self, store: node_store.StoreStandin) -> None:
        """Write the nodes, and the holder, to the store."""
        for record in self.records:
            store.put(
                store_listeners.NODE_PREFIX + record.name,
                store_listeners.encode_record(record),
            )
        if self.holder:
            value = f"{self.holder} 1 1".encode()
            for key in (order_holder.TERM_KEY, order_holder.HOLDER_KEY):
                store.put(key, value)

    def create_status(
        self, record: roster.NodeRecord, number: int
    ) -> roster.NodeStatus:
        """Return a full status as a busy node sends it."""
        choose = self.random.sample
        is_holder = record.name == self.holder
        return roster.NodeStatus(
            record,
            number,
            True,
            is_holder,
            False,
            1 if is_holder else 0,
            1,
            loads=tuple(
                balancer.InstanceLoad(f"e{engine}", 1, 8.5, (f"m{engine}/a1",))
                for engine in choose(range(ENGINES), LISTED_LOADS)
            ),
            wanted=tuple(
                roster.ModelDemand("engines", f"m{model}", 0.015)
                for model in choose(range(MODELS), LISTED_DEMAND)
            ),
            paces=tuple(
                model_paces.PaceEstimate(f"m{model}", 0.61, 4.5)
                for model in range(LISTED_PACES)
            ),
            origins=(
                stream_origins.OriginStatement(
                    "engines",
                    "v1",
                    tuple(uuid.uuid4().hex for _ in range(LISTED_ORIGINS)),
                ),
            ),
            upstreams=roster.UpstreamNews(
                (
                    reachability.LinkStatement(
                        f"e{self.random.randrange(ENGINES)}",
                        1_700_000_000_000,
                        False,
                        15,
                        True,
                    ),
                )
            ),
            capabilities=tuple(
                name
                for name in status_schedule.CAPABILITIES
                if name != status_schedule.RELAYED_CHANGES
            ),
        )

    async def run(self) -> None:
        """Send statuses until cancelled."""
        (
            transport,
            _,
        ) = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(HOST, PEER_PORT)
        )
        periods = -(-(len(self.records) + 1) // roster.STATUS_FANOUT)
        period = roster.STATUS_PERIOD.total_seconds()
        begin = asyncio.get_running_loop().time()
        number = 0
        while True:
            number += 1
            for index, record in enumerate(self.records):
                if (index + number) % periods == 0:
                    data = status_codec.encode(
                        self.create_status(record, number), is_compact=True
                    )
                    transport.sendto(data, (HOST, NODE_PORT + 3))
            due = begin + number * period
            await asyncio.sleep(due - asyncio.get_running_loop().time())


class Callers:
    """Callers that send a steady load to the node."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.random = random.Random(2)

    async def send(self) -> bool:
        """Send one request; return whether it was served in full."""
        is_stream = self.random.random() < STREAM_SHARE
        number = 2 * self.random.randrange(ROUTES // 2) + is_stream
        headers = {
            "Host": "api.example",
            "X-Request-Id": uuid.uuid4().hex,
            "X-Deadline-Ms": "8000",
            "Content-Type": "application/json",
        }
        body = BODY[:200]
        if is_stream:
            parts = [
                f"p{self.random.randrange(400)}:{self.random.randint(40, 300)}"
                for _ in range(self.random.randint(4, 13))
            ]
            model = int(MODELS * self.random.random() ** 2)
            headers["X-Model"] = f"m{model}/{self.random.choice(ADAPTERS)}"
            headers["X-Token-Counts"] = "1800,120"
            headers["X-Prompt-Prefix"] = ",".join(parts)
            body = BODY
        try:
            async with self.session.post(
                f"http://{HOST}:{NODE_PORT}/r{number}/x",
                data=body,
                headers=headers,
            ) as response:
                await response.read()
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def run(self, rate: float, seconds: float) -> dict[str, int]:
        """Send requests for a time; return how many were sent and served."""
        tasks = []
        begin = time.monotonic()
        for number in range(int(rate * seconds)):
            tasks.append(asyncio.create_task(self.send()))
            due = begin + (number + 1) / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        served = sum(await asyncio.gather(*tasks))
        return {"sent": len(tasks), "served": served}


async def run(peer_count: int, *, has_holder: bool) -> None:
    """Run everything until standard input ends."""
    store = node_store.StoreStandin()
    peers = Peers(peer_count, has_holder=has_holder)
    peers.register(store)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            caller_server.listen(web.Server(store.handle), HOST, STORE_PORT)
        )
        upstreams = [Upstream(f"e{n}", "engines") for n in range(ENGINES)]
        for number in range(ENGINES * MODELS_PER_ENGINE):
            engine = upstreams[number % ENGINES]
            engine.models[f"m{number % MODELS}"] = set(ADAPTERS)
        upstreams += [Upstream(f"p{n}", "plain") for n in range(PLAIN)]
        for number, upstream in enumerate(upstreams):
            port = UPSTREAM_PORT + number
            upstream.address = f"{HOST}:{port}"
            await stack.enter_async_context(
                caller_server.listen(web.Server(upstream.handle), HOST, port)
            )
            store.put(f"servers/{upstream.id}", upstream.describe())
        version = 1
        store.put("op/config", create_configuration(version))
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        callers = Callers(session)
        task = asyncio.create_task(peers.run())
        print(json.dumps({"ready": True}), flush=True)
        while line := await asyncio.to_thread(sys.stdin.readline):
            command = json.loads(line)
            answer: dict[str, int] = {}
            if "rate" in command:
                answer = await callers.run(**command)
            if "configurations" in command:
                for _ in range(command["configurations"]):
                    version += 1
                    store.put("op/config", create_configuration(version))
                    await asyncio.sleep(1)
            if "entries" in command:
                for number in range(command["entries"]):
                    upstream = upstreams[number % len(upstreams)]
                    store.put(f"servers/{upstream.id}", upstream.describe())
                    await asyncio.sleep(0.1)
            print(json.dumps(answer), flush=True)
        task.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--peers", type=int, default=25)
    parser.add_argument("--has_holder", type=int, default=1)
    arguments = parser.parse_args()
    asyncio.run(run(arguments.peers, has_holder=bool(arguments.has_holder)))
