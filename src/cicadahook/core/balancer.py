"""Chooses the upstream of a request at a node by the predicted wait.

Designed for many short streams with long shared prompts. The wait for the
first token consists of the time to read the prompt tokens queued at the engine
and those of this prompt that its prefix cache lacks, and of the slow-down by
the other requests in its batch.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import random
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import model_paces
from cicadahook.core import peer_loads
from cicadahook.core import prefix_cache
from cicadahook.core import reachability as reachability_lib
from cicadahook.core import upstream_statements

# Prefill rate of an engine for the reference model, as deployments state it.
PREFILL_TOKENS_PER_MS: Final = 38.4
# What each running request adds to the wait for the next one, in ms: its decode
# steps share the engine with the prefill of prompts.
BATCH_MS_PER_RUN: Final = 8.0
# The work ahead of a request may take at most this share of its latency target:
# both a tighter bound and none serve fewer requests in time.
OVERLOAD_SHARE: Final = 1.0
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
# A decode step takes about 5.5 ms and yields a token for each request of a
# batch of 48.
DECODE_MS_PER_TOKEN: Final = 0.115
# Share of the shared prompt parts that engines read again because their prefix
# caches no longer hold them.
UNKEPT_SHARE: Final = 0.2
PLAIN_MS: Final = 90.0
DEFAULT_KEPT_TOKENS: Final = 200_000
# Weight of the newest observation in a running mean.
LEARNING_RATE: Final = 0.1
# Fixed time of an engine until the first piece of an answer.
FIRST_PIECE_MS: Final = 10.0
# A shorter prefill is too imprecise a sample of a model's pace.
MIN_READING_MS: Final = 8.0
MIN_PREDICTED_MS: Final = 20.0
MIN_SLOWNESS: Final = 0.5
MAX_SLOWNESS: Final = 5.0
# Delay that a failure which is certain counts as.
FAILURE_MS: Final = 1500.0
ZONE_MS: Final = 1.0
REJECTION_PAUSE: Final = datetime.timedelta(milliseconds=150)
PEER_EXPIRY: Final = datetime.timedelta(seconds=2)

InstanceLoad = peer_loads.InstanceLoad


@dataclasses.dataclass
class InstanceState:
    """State that this node keeps of one upstream.

    Attributes:
        running: own requests that have not ended.
        unread_ms: time to read own prompts that are probably not read yet.
        failure_rate: running mean of failures, from 0 to 1.
        slowness: running mean of the ratio of measured to predicted wait.
        avoided_until: until then requests are sent elsewhere if possible.
        kept: prompt parts that its prefix cache probably holds.
        copies: own requests for each model and adapter, by MODEL/ADAPTER.
    """

    running: int = 0
    unread_ms: float = 0.0
    failure_rate: float = 0.0
    slowness: float = 1.0
    avoided_until: datetime.datetime | None = None
    kept: prefix_cache.PrefixCache = dataclasses.field(
        default_factory=lambda: prefix_cache.PrefixCache(DEFAULT_KEPT_TOKENS)
    )
    copies: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass
class Placement:
    """A running request at an upstream.

    Attributes:
        instance: where it was sent.
        generation: its demand on a model engine; None if no model is used.
        unread_ms: time to read its prompt, until it is read.
        ahead_ms: predicted wait before its own prompt is read.
        reading_ms: time to read its prompt at the reference pace.
        sent: when it was sent.
        is_answered: whether the first piece has come.
    """

    instance: inventory.Instance
    generation: forwarding.Generation | None
    unread_ms: float
    ahead_ms: float
    reading_ms: float
    sent: datetime.datetime
    is_answered: bool = False


class Balancer:
    """Chooses among upstreams by predicted wait.

    Attributes:
        states: state of each upstream, by id.
        peers: the newest loads of the other nodes.
        paces: learned relative paces of the models.
        peer_expiry: how long loads of other nodes count.
        statements: what upstreams say of themselves.
        reachability: which upstreams this node and others can reach.
    """

    def __init__(
        self,
        zone: str,
        clock: clock_lib.Clock,
        generator: random.Random,
        statements: upstream_statements.UpstreamStatements,
        reachability: reachability_lib.Reachability,
    ) -> None:
        self.zone = zone
        self.reachability = reachability
        self.statements = statements
        self.clock = clock
        self.random = generator
        self.states: dict[str, InstanceState] = {}
        self.peers = peer_loads.PeerLoads()
        self.paces = model_paces.ModelPaces()
        self.peer_expiry = PEER_EXPIRY

    def replace_peer_loads(
        self, peer: str, loads: Iterable[InstanceLoad]
    ) -> None:
        """Replace the loads reported by another node."""
        self.peers.replace(peer, loads, self.clock.now())

    def list_own_loads(self) -> tuple[InstanceLoad, ...]:
        """Return the loads of this node, to be sent to other nodes."""
        return tuple(
            InstanceLoad(
                name,
                state.running,
                state.unread_ms,
                tuple(+state.copies),
            )
            for name, state in self.states.items()
            if state.running
        )

    def list_used_copies(self, instance: str) -> set[tuple[str, str]]:
        """Return model and adapter of all running requests of all nodes."""
        names: set[str] = set()
        if instance in self.states:
            names.update(+self.states[instance].copies)
        self.peers.drop_expired(self.clock.now(), self.peer_expiry)
        names.update(self.peers.list_copies(instance))
        return {
            (model, adapter)
            for model, _, adapter in (name.partition("/") for name in names)
        }

    def drop_unlisted(self, listed: Iterable[str]) -> None:
        """Drop the states of upstreams that are not in `listed`."""
        kept = set(listed)
        for name in [
            name
            for name, state in self.states.items()
            if name not in kept and not state.running
        ]:
            del self.states[name]

    def choose(
        self,
        candidates: Iterable[inventory.Instance],
        generation: forwarding.Generation | None,
        excluded: frozenset[str] = frozenset(),
    ) -> inventory.Instance | None:
        """Return the upstream with the least cost, or None without one.

        Upstreams whose request limit has no room are left out.
        """
        now = self.clock.now()
        usable = [
            entry
            for entry in candidates
            if entry.id not in excluded and self.statements.has_room(entry, now)
        ]
        if not usable:
            return None
        preferred = [
            entry for entry in usable if not self._is_avoided(entry, now)
        ]
        return min(
            preferred or usable,
            key=lambda entry: (
                self.predict_cost(entry, generation),
                self.random.random(),
            ),
        )

    def predict_cost(
        self,
        entry: inventory.Instance,
        generation: forwarding.Generation | None,
    ) -> float:
        """Return predicted wait and expected cost of failures, in ms."""
        state = self._get(entry)
        cost = self.predict_ms(entry, generation) * state.slowness
        cost += state.failure_rate * FAILURE_MS
        now = self.clock.now()
        cost += self.statements.get_cost_ms(entry, now)
        cost += self.reachability.get_cost_ms(entry, now)
        return cost if entry.zone == self.zone else cost + ZONE_MS

    def predict_ms(
        self,
        entry: inventory.Instance,
        generation: forwarding.Generation | None,
    ) -> float:
        """Return the wait for the first piece of an answer, in ms."""
        if generation is None:
            return self._predict_plain_ms(entry)
        reading = self._predict_reading_ms(entry, generation)
        own = reading * self.paces.get(generation.model)
        return self._predict_ahead_ms(entry) + own

    def is_overloaded(
        self, entry: inventory.Instance, target: datetime.timedelta
    ) -> bool:
        """Whether an engine would start on a new prompt only after `target`."""
        bound = OVERLOAD_SHARE * target / MILLISECOND
        return self._predict_ahead_ms(entry) > bound

    def _predict_plain_ms(self, entry: inventory.Instance) -> float:
        """Return the wait for an answer of a service without a model, in ms."""
        running, _ = self.count_load(entry)
        beyond = max(0, running + 1 - entry.slots)
        share = running / max(1, entry.slots)
        return PLAIN_MS * (1 + share * 0.2 + beyond / max(1, entry.slots))

    def _predict_ahead_ms(self, entry: inventory.Instance) -> float:
        """Return the wait before an engine reads a new prompt, in ms."""
        running, unread = self.count_load(entry)
        return unread + running * BATCH_MS_PER_RUN

    def _predict_reading_ms(
        self, entry: inventory.Instance, generation: forwarding.Generation
    ) -> float:
        """Return the time to read a prompt at the reference pace, in ms."""
        kept = self._get(entry).kept.count_kept(generation)
        tokens = max(0, generation.prompt_tokens - kept)
        return tokens / PREFILL_TOKENS_PER_MS

    def estimate_work(
        self, generation: forwarding.Generation
    ) -> datetime.timedelta:
        """Return the time for which a request keeps an engine busy.

        The engine mostly holds the prompt parts that requests share, so only
        UNKEPT_SHARE of these counts.
        """
        own = generation.parts[-1].tokens if generation.parts else 0
        shared = generation.prompt_tokens - own
        read = own + UNKEPT_SHARE * shared
        ms = read / PREFILL_TOKENS_PER_MS
        ms += generation.output_tokens * DECODE_MS_PER_TOKEN
        pace = self.paces.get(generation.model)
        return datetime.timedelta(milliseconds=ms * pace)

    def count_load(self, entry: inventory.Instance) -> tuple[int, float]:
        """Return running requests and ms of unread prompts of all nodes."""
        state = self._get(entry)
        self.peers.drop_expired(self.clock.now(), self.peer_expiry)
        running, unread = self.peers.count(entry.id)
        return state.running + running, state.unread_ms + unread

    def start(
        self,
        entry: inventory.Instance,
        generation: forwarding.Generation | None,
    ) -> Placement:
        """Record that a request is sent to `entry`."""
        self.statements.record_send(entry, self.clock.now())
        state = self._get(entry)
        reading = unread = 0.0
        if generation is None:
            ahead = self._predict_plain_ms(entry)
        else:
            ahead = self._predict_ahead_ms(entry)
            reading = self._predict_reading_ms(entry, generation)
            unread = reading * self.paces.get(generation.model)
            state.kept.record_read(generation)
            state.copies[_name_copy(generation)] += 1
        state.running += 1
        state.unread_ms += unread
        return Placement(
            entry, generation, unread, ahead, reading, self.clock.now()
        )

    def record_first_piece(self, placement: Placement) -> None:
        """Record that the answer has begun, and learn from its delay."""
        if placement.is_answered:
            return
        placement.is_answered = True
        state = self._get(placement.instance)
        self._drop_unread(placement, state)
        waited = (self.clock.now() - placement.sent).total_seconds() * 1000
        if placement.generation is None:
            predicted = placement.ahead_ms
        else:
            pace = self.paces.get(placement.generation.model)
            predicted = placement.ahead_ms + placement.reading_ms * pace
            if placement.reading_ms >= MIN_READING_MS:
                own = waited - FIRST_PIECE_MS - placement.ahead_ms
                self.paces.record(
                    placement.generation.model, own / placement.reading_ms
                )
        ratio = waited / max(MIN_PREDICTED_MS, predicted)
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        state.slowness += LEARNING_RATE * (bounded - state.slowness)

    def end(
        self,
        placement: Placement,
        failure: forwarding.FailureKind | None = None,
    ) -> None:
        """Record that a request has ended, and how."""
        self.statements.record_end(
            placement.instance,
            self.clock.now(),
            is_rejected=failure is forwarding.FailureKind.REJECTED,
        )
        state = self._get(placement.instance)
        state.running -= 1
        assert state.running >= 0, f"{placement.instance.id}: ended twice"
        self._drop_unread(placement, state)
        if placement.generation is not None:
            state.copies[_name_copy(placement.generation)] -= 1
        if failure is forwarding.FailureKind.REJECTED:
            self._avoid(state, REJECTION_PAUSE)
            return
        if failure in (
            forwarding.FailureKind.UNREACHABLE,
            forwarding.FailureKind.MISSING,
        ):
            return
        outcome = 0.0 if failure is None else 1.0
        state.failure_rate += LEARNING_RATE * (outcome - state.failure_rate)

    def _avoid(self, state: InstanceState, pause: datetime.timedelta) -> None:
        state.avoided_until = self.clock.now() + pause

    def _is_avoided(
        self, entry: inventory.Instance, now: datetime.datetime
    ) -> bool:
        until = self._get(entry).avoided_until
        return until is not None and now < until

    def _drop_unread(self, placement: Placement, state: InstanceState) -> None:
        state.unread_ms -= placement.unread_ms
        placement.unread_ms = 0.0

    def _get(self, entry: inventory.Instance) -> InstanceState:
        return self.states.setdefault(entry.id, InstanceState())


def _name_copy(generation: forwarding.Generation) -> str:
    return f"{generation.model}/{generation.adapter}"
