"""Coordinates trials of suspect requests among the entries.

A suspect is a request that was running when an upstream crashed. It may run
again only as a trial, one at a time over all entries.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable
import contextlib
import dataclasses
import datetime
import random
from typing import Final

import aiohttp
from aiohttp import web
import pydantic

from cicadahook.core import clock as clock_lib
from cicadahook.core import crash_records
from cicadahook.core import crash_suspects
from cicadahook.core import errors
from cicadahook.core import quarantine as quarantine_lib
from cicadahook.core import request as request_lib
from cicadahook.core import table
from cicadahook.core import view
from cicadahook.net import dispatch
from cicadahook.net import entry_peers
from cicadahook.net import logs

SUSPECTS_PATH: Final = "/internal/suspects"
CALL_TIMEOUT: Final = datetime.timedelta(seconds=0.5)
MAX_NOTIFIED_PEERS: Final = 16
MAX_HOLD: Final = datetime.timedelta(minutes=2)
TRIAL_POLL_INTERVAL: Final = datetime.timedelta(milliseconds=60)
RETRY_AFTER: Final = datetime.timedelta(seconds=1)
# A trial takes about this long to be served.
SUSPECTED_RETRY_AFTER: Final = datetime.timedelta(seconds=1.5)
# Distinguishes parts that requests share from whole requests in a view.
TRAIT_PREFIX: Final = "part:"

logger: Final = logs.create_logger("suspects")


@dataclasses.dataclass(frozen=True)
class Notice:
    """Notice of a suspect that an entry sends to the others.

    Attributes:
        holder: `host:port` of the sending entry.
        suspect: the request and the known deaths.
        upstream: address of the upstream of its trial; empty if there is none.
        hold_seconds: duration of the hold that is requested for the trial, in
            seconds; 0 releases it.
        is_cleared: whether a trial of the suspect was served.
        statements: what the sender knows of traits of this request.
    """

    holder: str
    suspect: view.Suspect
    upstream: str = ""
    hold_seconds: float = 0.0
    is_cleared: bool = False
    statements: tuple[crash_records.SuspectStatement, ...] = ()

    @property
    def trial(self) -> quarantine_lib.Trial:
        """The trial that the notice concerns."""
        return quarantine_lib.Trial(self.suspect.fingerprint, self.upstream)


_NOTICE: Final = pydantic.TypeAdapter(Notice)


class SuspectTrials:
    """Runs trials of suspects, one per suspect and one per upstream.

    Other entries are notified of a death before the caller gets an answer.
    If the caller resends the request to another entry, that entry already knows
    it as a suspect. So it is with other requests that share a suspect part.

    Attributes:
        quarantine: suspects by their whole content, and the trials.
        traits: suspects by what they share with other requests.
    """

    def __init__(
        self,
        quarantine: quarantine_lib.Quarantine,
        clock: clock_lib.Clock,
        dispatcher: dispatch.Dispatcher,
        session: aiohttp.ClientSession,
        cluster_key: str,
        generator: random.Random,
    ) -> None:
        self.quarantine = quarantine
        self.traits = crash_suspects.CrashSuspects(clock)
        self.clock = clock
        self.dispatcher = dispatcher
        self.session = session
        self.cluster_key = cluster_key
        self.address = ""
        self.random = generator

    def install(self, app: web.Application) -> None:
        """Add the route that other entries call to `app`."""
        app.router.add_post(SUSPECTS_PATH, self.handle_notice)

    async def handle_notice(self, request: web.Request) -> web.Response:
        """Record another entry's notice; grant its hold if none conflicts."""
        body = await entry_peers.read_signed(request, self.cluster_key)
        try:
            notice = _NOTICE.validate_json(body)
        except pydantic.ValidationError as error:
            raise errors.RefusalError(
                "bad_json", f"body: {error}", 400
            ) from error
        self.quarantine.merge((notice.suspect,))
        self.traits.merge(notice.statements)
        if notice.is_cleared:
            self.quarantine.clear(notice.suspect.fingerprint)
        is_granted = True
        if notice.hold_seconds:
            is_granted = self.quarantine.grant_hold(
                notice.trial,
                notice.holder,
                datetime.timedelta(seconds=notice.hold_seconds),
            )
        elif notice.upstream:
            self.quarantine.release_hold(notice.trial, notice.holder)
        return web.json_response(
            {"granted": is_granted}, status=200 if is_granted else 409
        )

    async def record_death(
        self,
        request: request_lib.Request,
        upstream: view.Upstream,
        began: datetime.datetime,
    ) -> None:
        """Record that `upstream` died running `request`; notify all entries.

        Args:
            request: the request.
            upstream: the upstream that died.
            began: when the attempt began.
        """
        death = f"{upstream.address}/{upstream.incarnation}"
        self.traits.record_death(request.traits, death, began)
        if self.quarantine.record_death(request.fingerprint, death, began):
            logger.warning(
                "Upstream %s died running request %s.", death, request.id
            )
            await self._notify_peers(request.fingerprint, traits=request.traits)

    @contextlib.asynccontextmanager
    async def run_trial(
        self, request: request_lib.Request, row: table.Row
    ) -> AsyncIterator[frozenset[str]]:
        """Hold an upstream for a trial of `request`, if it is a suspect.

        Yields:
            The addresses of the upstreams that must not run it now: none for
            an ordinary request, all but the upstream of the trial for a
            suspect.

        Raises:
            errors.RefusalError: the request must not run at all.
        """
        trial = await self._begin_trial(request, row)
        if trial is None:
            yield frozenset()
            return
        try:
            addresses = self.dispatcher.view.upstream_by_address.keys()
            yield frozenset(addresses - {trial.upstream})
        finally:
            self.quarantine.end_trial(trial)
            await asyncio.shield(
                self._notify_peers(trial.fingerprint, trial.upstream)
            )

    async def _begin_trial(
        self, request: request_lib.Request, row: table.Row
    ) -> quarantine_lib.Trial | None:
        """Wait until the trial of a suspect may begin.

        Returns:
            The trial, or None if the request is not, or no longer, a suspect.
        """
        suspect = self._find_suspect(request)
        while suspect:
            trial = self._choose_trial(suspect, row)
            if self.quarantine.begin_trial(trial):
                left = request.deadline - self.clock.now()
                if await self._request_hold(trial, min(left, MAX_HOLD)):
                    return trial
            await self._wait_for_turn(request)
            suspect = self._find_suspect(request)
        return None

    def _find_suspect(self, request: request_lib.Request) -> str:
        """Return what is to be tried with a request; empty for nothing.

        Raises:
            errors.RefusalError: the request must not run now, or ever.
        """
        status = self.quarantine.check(request.fingerprint)
        verdict = self.traits.check(request.traits)
        if verdict is crash_suspects.Verdict.QUARANTINED:
            raise errors.RefusalError(
                "quarantined",
                "upstreams died while they ran requests that share a part",
                422,
            )
        if verdict is crash_suspects.Verdict.SUSPECTED:
            raise errors.RefusalError(
                "suspected",
                "upstreams died while they ran requests that share a part;"
                " it is being tried",
                503,
                retry_after=SUSPECTED_RETRY_AFTER
                * self.random.uniform(0.7, 1.3),
            )
        if verdict is crash_suspects.Verdict.TRIAL:
            return next(filter(self.traits.is_suspect, request.traits))
        if status is quarantine_lib.SuspectStatus.TRIAL:
            return request.fingerprint
        return ""

    async def _request_hold(
        self, trial: quarantine_lib.Trial, hold: datetime.timedelta
    ) -> bool:
        """Request a hold from all entries; release it if one objects."""
        is_granted = False
        try:
            is_granted = await self._notify_peers(
                trial.fingerprint, trial.upstream, hold
            )
        finally:
            if not is_granted:
                self.quarantine.end_trial(trial)
                await asyncio.shield(
                    self._notify_peers(trial.fingerprint, trial.upstream)
                )
        return is_granted

    async def _wait_for_turn(self, request: request_lib.Request) -> None:
        """Wait before the next request for a hold.

        Raises:
            errors.RefusalError: the deadline has passed.
        """
        if self.clock.now() >= request.deadline:
            raise errors.RefusalError(
                "deadline_passed",
                "the deadline passed before this suspect could be tried",
                504,
            )
        delay = TRIAL_POLL_INTERVAL * (0.5 + self.random.random())
        await asyncio.sleep(delay.total_seconds())

    def _choose_trial(
        self, suspect: str, row: table.Row
    ) -> quarantine_lib.Trial:
        """Return a trial at a random upstream without a recent death.

        Raises:
            errors.RefusalError: there is no such upstream.
        """
        candidates = sorted(
            upstream.address
            for upstream in self.dispatcher.view.upstreams_for(row)
            if not self.quarantine.is_dead(upstream)
        )
        if not candidates:
            raise self.create_no_copy_refusal(row)
        return quarantine_lib.Trial(suspect, self.random.choice(candidates))

    def create_no_copy_refusal(self, row: table.Row) -> errors.RefusalError:
        """Return the refusal of a request whose upstreams have all died."""
        return errors.RefusalError(
            "no_copy",
            f"no upstream is left to try {row.name!r} at",
            503,
            retry_after=RETRY_AFTER * self.random.uniform(0.7, 1.3),
        )

    async def record_served(
        self, request: request_lib.Request, began: datetime.datetime
    ) -> None:
        """Record that a request was served; notify all entries if it matters.

        Args:
            request: the request.
            began: when its last attempt began.
        """
        cleared = self.traits.record_sound(request.traits, began)
        is_suspect = bool(self.quarantine.list_deaths(request.fingerprint))
        if not cleared and not is_suspect:
            return
        suspect = self.quarantine.suspects.get(
            request.fingerprint,
            view.Suspect(request.fingerprint, (), self.clock.now()),
        )
        self.quarantine.clear(request.fingerprint)
        await self._broadcast(
            Notice(
                self.address,
                suspect,
                is_cleared=True,
                statements=self.traits.describe(cleared),
            )
        )

    def list_suspects(self) -> tuple[view.Suspect, ...]:
        """Return all suspects, to be sent to other entries by the controls."""
        return (
            *self.quarantine.list_suspects(),
            *(
                view.Suspect(trait, deaths, newest)
                for trait, deaths, newest in self.traits.list_open()
            ),
        )

    def merge(self, suspects: Iterable[view.Suspect]) -> None:
        """Add the suspects of other entries."""
        listed = tuple(suspects)
        self.quarantine.merge(
            suspect
            for suspect in listed
            if not suspect.fingerprint.startswith(TRAIT_PREFIX)
        )
        now = self.clock.now()
        self.traits.merge(
            crash_records.SuspectStatement(
                suspect.fingerprint,
                suspect.deaths,
                age_ms=max(
                    0,
                    int((now - suspect.last_seen) / crash_suspects.MILLISECOND),
                ),
            )
            for suspect in listed
            if suspect.fingerprint.startswith(TRAIT_PREFIX)
        )

    async def _notify_peers(
        self,
        fingerprint: str,
        upstream: str = "",
        hold: datetime.timedelta = datetime.timedelta(),
        traits: tuple[str, ...] = (),
    ) -> bool:
        """Send a notice of a suspect to the other entries.

        Args:
            fingerprint: fingerprint of the suspect.
            upstream: address of the upstream of its trial, if any.
            hold: duration of the hold requested; zero releases it.
            traits: traits to tell of.

        Returns:
            False if an entry objected to the hold.
        """
        suspect = self.quarantine.suspects.get(fingerprint)
        if suspect is None:
            suspect = view.Suspect(fingerprint, (), self.clock.now())
        return await self._broadcast(
            Notice(
                self.address,
                suspect,
                upstream,
                max(0.0, hold.total_seconds()),
                statements=self.traits.describe(traits),
            )
        )

    async def _broadcast(self, notice: Notice) -> bool:
        """Send a notice to other entries; return False if one objects."""
        body = _NOTICE.dump_json(notice)
        others = [
            member.entry
            for member in self.dispatcher.view.members
            if member.entry != self.address
            and member.state is not view.MemberState.DEAD
        ]
        results = await asyncio.gather(
            *(
                self._send(address, body)
                for address in others[:MAX_NOTIFIED_PEERS]
            )
        )
        return all(results)

    async def _send(self, address: str, body: bytes) -> bool:
        """Send a notice to an entry; return False if it objects.

        An entry that cannot be reached does not object.
        """
        try:
            async with self.session.post(
                f"http://{address}{SUSPECTS_PATH}",
                data=body,
                headers={
                    entry_peers.SIGNATURE_HEADER: entry_peers.sign(
                        self.cluster_key, body
                    )
                },
                timeout=aiohttp.ClientTimeout(CALL_TIMEOUT.total_seconds()),
            ) as response:
                return response.status != 409
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.warning(
                "Entry %s could not be notified of a suspect: %r.",
                address,
                error,
            )
            return True
