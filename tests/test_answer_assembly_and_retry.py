"""Answers are complete and in order; retries stay within their budget."""

import datetime
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cicadahook.core import answer_assembly
from cicadahook.core import clock as clock_lib
from cicadahook.core import retry

TOKENS = tuple(f"token{number} " for number in range(5))
LEFT = datetime.timedelta(seconds=30)


def create_chunks(
    name: str, start: int, has_positions: bool
) -> list[answer_assembly.Chunk]:
    """Return the chunks of an attempt that starts at a token."""
    chunks = [
        answer_assembly.Chunk(name, token, position if has_positions else None)
        for position, token in enumerate(TOKENS)
    ]
    last = answer_assembly.Chunk(
        name, "", len(TOKENS) if has_positions else None, is_last=True
    )
    return [*chunks[start:], last]


@settings(max_examples=100, derandomize=True, deadline=None)
@given(data=st.data())
def test_no_token_is_lost_or_repeated(data: st.DataObject) -> None:
    assembly = answer_assembly.AnswerAssembly()
    relayed: list[str] = []
    others = [answer_assembly.Chunk("another", "foreign", 0)]
    for number in range(50):
        name = f"a{number}"
        is_resumed = data.draw(st.booleans())
        start = assembly.resume_from if is_resumed else 0
        chunks = create_chunks(
            name, start, is_resumed or data.draw(st.booleans())
        )
        assembly.begin(name)
        is_cut = False
        length = data.draw(st.integers(0, len(chunks)))
        for chunk in chunks[:length]:
            if data.draw(st.integers(0, 9)) == 0:
                chunk = data.draw(st.sampled_from(others))
            status = assembly.accept(chunk)
            if status in answer_assembly.FATAL_STATUSES:
                is_cut = True
                break
            if status is answer_assembly.ChunkStatus.RELAY and chunk.text:
                relayed.append(chunk.text)
        if not is_cut and length == len(chunks):
            assembly.end()
        others += chunks
        assert tuple(relayed) == TOKENS[: len(relayed)]
        if assembly.is_whole:
            assert tuple(relayed) == TOKENS
            return


@pytest.mark.parametrize(
    ("chunk", "status"),
    [
        (
            answer_assembly.Chunk("old", TOKENS[0], 0),
            answer_assembly.ChunkStatus.CROSSED,
        ),
        (
            answer_assembly.Chunk("new", TOKENS[0], 0),
            answer_assembly.ChunkStatus.REPEATED,
        ),
        (
            answer_assembly.Chunk("new", TOKENS[1], 0),
            answer_assembly.ChunkStatus.DIVERGED,
        ),
        (
            answer_assembly.Chunk("new", TOKENS[2], 2),
            answer_assembly.ChunkStatus.GAP,
        ),
        (
            answer_assembly.Chunk("new", "", 1),
            answer_assembly.ChunkStatus.REPEATED,
        ),
        (
            answer_assembly.Chunk("new", "", 0, True),
            answer_assembly.ChunkStatus.DIVERGED,
        ),
        (
            answer_assembly.Chunk("new", TOKENS[1], 1),
            answer_assembly.ChunkStatus.RELAY,
        ),
    ],
)
def test_chunk_is_judged_by_attempt_and_position(
    chunk: answer_assembly.Chunk, status: answer_assembly.ChunkStatus
) -> None:
    assembly = answer_assembly.AnswerAssembly()
    assembly.begin("old")
    assembly.accept(answer_assembly.Chunk("old", TOKENS[0], 0))
    assembly.begin("new")
    assert assembly.accept(chunk) is status


def test_end_marker_alone_is_not_a_whole_answer() -> None:
    assembly = answer_assembly.AnswerAssembly()
    assembly.begin("a")
    assembly.end()
    assert not assembly.is_whole


def test_last_chunk_alone_is_not_a_whole_answer() -> None:
    assembly = answer_assembly.AnswerAssembly()
    assembly.begin("a")
    for chunk in create_chunks("a", 0, True):
        assert assembly.accept(chunk) is answer_assembly.ChunkStatus.RELAY
    assert not assembly.is_whole
    assembly.begin("b")
    last = create_chunks("b", assembly.resume_from, True)
    assert [assembly.accept(chunk) for chunk in last] == [
        answer_assembly.ChunkStatus.REPEATED
    ]
    assembly.end()
    assert assembly.is_whole


def create_policy(
    clock: clock_lib.Clock, mode: retry.RetryMode = retry.RetryMode()
) -> retry.RetryPolicy:
    """Return a policy with a fixed seed."""
    return retry.RetryPolicy(mode, clock, random.Random(7))


def test_attempts_stay_few_while_half_of_the_upstreams_fail(
    clock: clock_lib.ManualClock,
) -> None:
    policy = create_policy(clock)
    generator = random.Random(11)
    attempts = 0
    requests = 2000
    for _ in range(requests):
        policy.record_request()
        number = 0
        while True:
            number += 1
            attempts += 1
            if generator.random() < 0.5:
                break
            failure = retry.Failure(retry.Reason.CUT, "u", True, number, LEFT)
            if isinstance(policy.decide(failure), retry.GiveUp):
                break
    assert attempts / requests <= 1.2


@pytest.mark.parametrize(
    ("reason", "is_idempotent", "attempts", "left", "expected"),
    [
        (retry.Reason.CUT, False, 1, LEFT, retry.GiveUp.NOT_REPEATABLE),
        (retry.Reason.SILENT, False, 1, LEFT, retry.GiveUp.NOT_REPEATABLE),
        (retry.Reason.DIVERGED, True, 1, LEFT, retry.GiveUp.DIVERGED),
        (retry.Reason.CUT, True, 4, LEFT, retry.GiveUp.ATTEMPTS),
        (
            retry.Reason.CUT,
            True,
            1,
            datetime.timedelta(),
            retry.GiveUp.DEADLINE,
        ),
    ],
)
def test_no_retry_is_made(
    clock: clock_lib.ManualClock,
    reason: retry.Reason,
    is_idempotent: bool,
    attempts: int,
    left: datetime.timedelta,
    expected: retry.GiveUp,
) -> None:
    failure = retry.Failure(reason, "u", is_idempotent, attempts, left)
    assert create_policy(clock).decide(failure) is expected


def test_upstream_that_cuts_each_stream_is_avoided(
    clock: clock_lib.ManualClock,
) -> None:
    policy = create_policy(clock)
    for _ in range(policy.mode.eject_after):
        assert not policy.list_ejected()
        policy.record_failure("u", retry.Reason.CUT)
    assert policy.list_ejected() == {"u"}


def test_failing_upstream_is_avoided_for_longer_each_time(
    clock: clock_lib.ManualClock,
) -> None:
    policy = create_policy(clock)
    policy.record_failure("u", retry.Reason.CUT)
    assert not policy.list_ejected()
    policy.record_failure("u", retry.Reason.UNREACHABLE)
    assert policy.list_ejected() == {"u"}
    clock.advance(policy.mode.eject)
    assert not policy.list_ejected()
    policy.record_failure("u", retry.Reason.UNREACHABLE)
    clock.advance(policy.mode.eject)
    assert policy.list_ejected() == {"u"}
    policy.record_success("u")
    assert not policy.list_ejected()
