"""Tests the whole system: entries, controls, engines and services."""

import json

import openai
import pytest

from cicadahook.programs import local
from cicadahook.standins import generated_text


def entry_url(system: local.LocalSystem, index: int = 0) -> str:
    """Return the URL of an entry."""
    port = system.base_port + local.ENTRY_OFFSET + index
    return f"http://{local.HOST}:{port}"


@pytest.mark.parametrize("model", ["inspector", "inspector-beams"])
@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.asyncio(loop_scope="module")
async def test_openai_client_gets_whole_answer(
    shared_system: local.LocalSystem, model: str, is_stream: bool
) -> None:
    client = openai.AsyncOpenAI(
        base_url=f"{entry_url(shared_system)}/v1", api_key="none"
    )
    wanted = generated_text.whole_answer(model, "user: how long is a beam?", 12)
    messages = [{"role": "user", "content": "how long is a beam?"}]
    answer = await client.chat.completions.create(
        model=model,
        messages=messages,  # type: ignore[arg-type]
        max_tokens=12,
        stream=is_stream,
    )
    if is_stream:
        parts = [
            chunk.choices[0].delta.content or ""
            async for chunk in answer  # type: ignore[union-attr]
        ]
        assert "".join(parts) == wanted
    else:
        assert answer.choices[0].message.content == wanted  # type: ignore
    await client.close()


async def test_booking_runs_once(system: local.LocalSystem) -> None:
    url = f"{entry_url(system)}/services/portal/bookings"
    async with system.session.get(f"{entry_url(system)}/v1/locate") as located:
        prefix = (await located.json())["key_prefix"]
    for _ in range(2):
        async with system.session.post(
            url,
            json={"name": "Talcahuano"},
            headers={"Idempotency-Key": f"{prefix}1"},
        ) as response:
            assert response.status == 201
            assert (await response.json())["booking"] == 1
    assert system.service.runs["Talcahuano"] == 1


@pytest.mark.parametrize(
    ("body", "headers", "status", "named"),
    [
        ('{"model": "nobody", "messages": [{}]}', {}, 404, "nobody"),
        ("{", {}, 400, "body"),
        ("[]", {}, 400, "body"),
        ('{"model": 3}', {}, 400, "model"),
        ('{"model": "inspector"}', {}, 400, "messages"),
        (
            '{"model": "inspector", "messages": [{}], "max_tokens": -1}',
            {},
            400,
            "max_tokens",
        ),
        (
            '{"model": "inspector", "messages": [{}]}',
            {"X-Deadline-Ms": "soon"},
            400,
            "X-Deadline-Ms",
        ),
        (
            '{"model": "inspector", "messages": [{}]}',
            {"X-Priority": "first"},
            400,
            "X-Priority",
        ),
        (json.dumps({"model": "x" * 5_000_000}), {}, 413, "body"),
    ],
)
@pytest.mark.asyncio(loop_scope="module")
async def test_bad_input_is_refused_by_name(
    shared_system: local.LocalSystem,
    body: str,
    headers: dict[str, str],
    status: int,
    named: str,
) -> None:
    url = f"{entry_url(shared_system)}/v1/chat/completions"
    async with shared_system.session.post(
        url, data=body, headers=headers
    ) as response:
        answer = await response.json()
        assert response.status == status
    assert named in answer["error"]["message"]
    assert answer["outcome"] == "not_run"
    async with shared_system.session.get(
        f"{entry_url(shared_system)}/readyz"
    ) as ready:
        assert ready.status == 200


@pytest.mark.parametrize("body", ["[" * 100_000, "{", "7", "\ud800"])
@pytest.mark.asyncio(loop_scope="module")
async def test_refuses_bodies_that_are_no_json_object(
    shared_system: local.LocalSystem, body: str
) -> None:
    url = f"{entry_url(shared_system)}/v1/chat/completions"
    data = body.encode("utf-8", "surrogatepass")
    async with shared_system.session.post(url, data=data) as response:
        assert response.status == 400
