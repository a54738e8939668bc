"""Calls between entries: forwarded requests and handed-over records.

An entry that stops hands its records of non-idempotent calls over to
successors, which are other entries. Messages between entries are signed with
the cluster key.
"""

import asyncio
from collections.abc import Iterator
import dataclasses
import datetime
import hashlib
import hmac
import itertools
from typing import Final

import aiohttp
from aiohttp import web
import pydantic

from cicadahook.core import errors
from cicadahook.core import idempotency
from cicadahook.core import idempotency_keys
from cicadahook.core import keyed_calls
from cicadahook.core import view
from cicadahook.net import answer_protocol
from cicadahook.net import logs
from cicadahook.net import request_parsing

FORWARDED_HEADER: Final = "X-Cicada-Forwarded"
SIGNATURE_HEADER: Final = "X-Cicada-Signature"
RECORDS_PATH: Final = "/internal/records"
MISDIRECTED_STATUS: Final = 421
SUCCESSOR_COUNT: Final = 2
MAX_SEARCHED_SUCCESSORS: Final = 4
CALL_TIMEOUT: Final = datetime.timedelta(seconds=5)
CONNECT_TIMEOUT: Final = datetime.timedelta(seconds=1)
FORWARD_ATTEMPTS: Final = 2
EXCLUDED_STATES: Final = frozenset({view.MemberState.DEAD})

logger: Final = logs.create_logger("peers")

_HAND_OVER: Final = pydantic.TypeAdapter(keyed_calls.HandOver)


@dataclasses.dataclass(frozen=True)
class ForwardedCall:
    """A caller's call that is forwarded to the owner of its key.

    Attributes:
        method: HTTP method.
        path: path and query.
        body: the body.
        content_type: media type of the body.
        key: idempotency key.
        id: request id.
        left: time left until the deadline.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    key: str
    id: str
    left: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class ForwardedAnswer:
    """Another entry's answer."""

    status: int
    content_type: str
    body: bytes
    retry_after: str

    def respond(self, request_id: str) -> web.Response:
        """Return the answer as a response to the caller."""
        response_headers = {request_parsing.REQUEST_HEADER: request_id}
        if self.retry_after:
            response_headers["Retry-After"] = self.retry_after
        return web.Response(
            body=self.body,
            status=self.status,
            content_type=self.content_type,
            headers=response_headers,
        )


class PeerClient:
    """Client for other entries, with a new connection for each call.

    A connection whose peer no longer answers is thus never reused.
    """

    def __init__(
        self, session: aiohttp.ClientSession, cluster_key: str
    ) -> None:
        self.session = session
        self.cluster_key = cluster_key

    async def forward(
        self,
        call: ForwardedCall,
        owner: idempotency_keys.Owner,
        members: tuple[view.Member, ...],
    ) -> ForwardedAnswer:
        """Return the answer of the owner or of a successor of its records.

        Raises:
            errors.RefusalError: none of them answered for the key in time.
        """
        try:
            async with asyncio.timeout(call.left.total_seconds()):
                return await self._search(call, owner, members)
        except TimeoutError as error:
            raise errors.RefusalError(
                "deadline_passed",
                "the entry of this key did not answer in time",
                504,
                errors.Outcome.UNKNOWN,
            ) from error

    async def _search(
        self,
        call: ForwardedCall,
        owner: idempotency_keys.Owner,
        members: tuple[view.Member, ...],
    ) -> ForwardedAnswer:
        """Forward a call to the owner, then to successors until one answers."""
        for member in _list_candidates(owner, members):
            for _ in range(FORWARD_ATTEMPTS):
                # A second attempt is safe, since the owner runs a key once.
                try:
                    answer = await self._send(call, member.entry)
                except (aiohttp.ClientError, TimeoutError) as error:
                    logger.warning(
                        "Call could not be forwarded to entry %s: %r.",
                        member.entry,
                        error,
                    )
                    continue
                if answer.status != MISDIRECTED_STATUS:
                    return answer
                break
        raise errors.RefusalError(
            "owner_gone",
            "the entry of this key is gone, so it is not known whether the"
            " call ran",
            502,
            errors.Outcome.UNKNOWN,
        )

    async def _send(self, call: ForwardedCall, address: str) -> ForwardedAnswer:
        async with self.session.request(
            call.method,
            f"http://{address}{call.path}",
            data=call.body,
            headers={
                "Content-Type": call.content_type,
                "Connection": "close",
                request_parsing.KEY_HEADER: call.key,
                request_parsing.REQUEST_HEADER: call.id,
                request_parsing.DEADLINE_HEADER: str(
                    max(1, call.left // datetime.timedelta(milliseconds=1))
                ),
                FORWARDED_HEADER: "1",
            },
            timeout=aiohttp.ClientTimeout(
                total=call.left.total_seconds() / FORWARD_ATTEMPTS,
                connect=CONNECT_TIMEOUT.total_seconds(),
            ),
            allow_redirects=False,
        ) as response:
            body = await answer_protocol.read_stated(response)
            return ForwardedAnswer(
                response.status,
                response.content_type,
                body,
                response.headers.get("Retry-After", ""),
            )

    async def hand_over(
        self,
        parts: tuple[keyed_calls.HandOver, ...],
        members: tuple[view.Member, ...],
    ) -> int:
        """Hand records over to successors.

        Args:
            parts: the records; those of one owner are adjacent.
            members: all members; successors are chosen among them.

        Returns:
            How many successors accepted all records of the first owner.
        """
        accepted: list[int] = []
        for owner, group in itertools.groupby(parts, _read_owner):
            successors = idempotency_keys.rank_successors(owner, members)[
                :MAX_SEARCHED_SUCCESSORS
            ]
            accepted.append(
                await self._send_to_successors(successors, tuple(group))
            )
        return accepted[0]

    async def _send_to_successors(
        self,
        successors: list[view.Member],
        parts: tuple[keyed_calls.HandOver, ...],
    ) -> int:
        """Send an owner's records to successors; return how many have all."""
        bodies = [_HAND_OVER.dump_json(part) for part in parts]
        accepted = 0
        for successor in successors:
            if accepted == SUCCESSOR_COUNT:
                break
            if await self._send_records(successor.entry, bodies):
                accepted += 1
        return accepted

    async def _send_records(self, address: str, bodies: list[bytes]) -> bool:
        """Return whether the entry at `address` accepted all `bodies`."""
        for body in bodies:
            if not await self._post(address, body):
                return False
        return True

    async def _post(self, address: str, body: bytes) -> bool:
        signature = sign(self.cluster_key, body)
        try:
            async with self.session.post(
                f"http://{address}{RECORDS_PATH}",
                data=body,
                headers={
                    SIGNATURE_HEADER: signature,
                    "Connection": "close",
                },
                timeout=aiohttp.ClientTimeout(CALL_TIMEOUT.total_seconds()),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.warning(
                "Records could not be handed over to entry %s: %r.",
                address,
                error,
            )
            return False


def _read_owner(part: keyed_calls.HandOver) -> idempotency_keys.Owner:
    return part.owner


def _list_candidates(
    owner: idempotency_keys.Owner, members: tuple[view.Member, ...]
) -> Iterator[view.Member]:
    """Yield the members that may answer for `owner`: it, then successors."""
    for member in members:
        if member.name == owner.entry:
            yield member
    others = (
        member
        for member in members
        if member.name != owner.entry and member.state not in EXCLUDED_STATES
    )
    yield from idempotency_keys.rank_successors(owner, others)[
        :MAX_SEARCHED_SUCCESSORS
    ]


def sign(cluster_key: str, body: bytes) -> str:
    """Return the MAC of a message between entries."""
    return hmac.new(cluster_key.encode(), body, hashlib.sha256).hexdigest()


async def read_signed(request: web.Request, cluster_key: str) -> bytes:
    """Return the body of a message from another entry.

    Raises:
        errors.RefusalError: the MAC does not match the cluster key.
    """
    body = await request.read()
    given = request.headers.get(SIGNATURE_HEADER, "")
    if not hmac.compare_digest(given, sign(cluster_key, body)):
        raise errors.RefusalError(
            "bad_signature", f"header {SIGNATURE_HEADER}: does not match", 403
        )
    return body


def install(
    app: web.Application, ledger: idempotency.Ledger, cluster_key: str
) -> None:
    """Add the route to `app` on which the ledger receives records."""

    async def accept_records(request: web.Request) -> web.Response:
        """Accept the records of an entry that stops."""
        body = await read_signed(request, cluster_key)
        try:
            handed = _HAND_OVER.validate_json(body)
        except pydantic.ValidationError as error:
            raise errors.RefusalError(
                "bad_json", f"body: {error}", 400
            ) from error
        # A sealed ledger has handed over its own records, or is about to.
        is_kept = not ledger.is_sealed and ledger.inherit(handed)
        return web.json_response(
            {"taken": is_kept}, status=200 if is_kept else 507
        )

    app.router.add_post(RECORDS_PATH, accept_records)
