"""Serves chat and text completions at an entry in the OpenAI format."""

import asyncio
import dataclasses
import datetime
from typing import Final

from aiohttp import web

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import request as request_lib
from cicadahook.core import table
from cicadahook.net import dispatch
from cicadahook.net import http_server
from cicadahook.net import logs
from cicadahook.net import openai_answers
from cicadahook.net import relay as relay_lib
from cicadahook.net import request_parsing
from cicadahook.net import shutdown_limit

# Time after the deadline in which a caller must read the end of its stream. An
# attempt that fails at the deadline takes up to 3 s more, for a probe of the
# upstream and two notices to other entries.
UNREAD_LIMIT: Final = datetime.timedelta(seconds=4)

logger: Final = logs.create_logger("completions")


class CompletionsApi:
    """Serves completions of all models and adapters."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        dispatcher: dispatch.Dispatcher,
        relay: relay_lib.Relay,
        shutdown: shutdown_limit.ShutdownLimit,
    ) -> None:
        self.shutdown = shutdown
        self.clock = clock
        self.dispatcher = dispatcher
        self.relay = relay

    def install(self, app: web.Application) -> None:
        """Add the routes to `app`."""
        app.router.add_post("/v1/chat/completions", self.complete_chat)
        app.router.add_post("/v1/completions", self.complete_text)

    async def complete_chat(self, http: web.Request) -> web.StreamResponse:
        """Answer a chat completion."""
        return await self._complete(
            http, openai_answers.AnswerFormat(is_chat=True)
        )

    async def complete_text(self, http: web.Request) -> web.StreamResponse:
        """Answer a text completion."""
        return await self._complete(
            http, openai_answers.AnswerFormat(is_chat=False)
        )

    async def _complete(
        self, http: web.Request, answer_format: openai_answers.AnswerFormat
    ) -> web.StreamResponse:
        """Validate, route and answer a completion."""
        request = request_parsing.read_request(http, "", self.clock)
        async with self.shutdown.limit(request.id):
            await request_parsing.read_body(http, request, self.clock)
        body = await http_server.read_object(http)
        row = self._find_row(request_parsing.read_model(body))
        request = request_parsing.with_content(
            self.shutdown.cap_deadline(
                dataclasses.replace(request, row=row.name)
            ),
            body,
            answer_format.is_chat,
        )
        self.dispatcher.record_arrival(row)
        chunks = self.relay.stream(request, row, body, answer_format)
        if body.get("stream"):
            return await self._send_stream(http, request, chunks)
        async with self.shutdown.limit(request.id):
            return await openai_answers.send_whole(
                request, answer_format, chunks
            )

    async def _send_stream(
        self,
        http: web.Request,
        request: request_lib.Request,
        chunks: relay_lib.Chunks,
    ) -> web.StreamResponse:
        """Stream an answer; abort it if the caller does not read it in time.

        Raises:
            errors.RefusalError: the caller did not read the answer.
        """
        limit = request.deadline + UNREAD_LIMIT - self.clock.now()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await openai_answers.send_stream(
                    http, request, chunks, self.shutdown.limit(request.id)
                )
        except TimeoutError as error:
            logger.warning(
                "Request %s is cut off: its caller does not read.", request.id
            )
            if http.transport is not None:
                http.transport.abort()
            raise errors.RefusalError(
                "answer_not_read",
                "the caller did not read the answer before the deadline",
                504,
                errors.Outcome.UNKNOWN,
            ) from error

    def _find_row(self, name: str) -> table.Row:
        """Return the row of the model or adapter called `name`.

        Raises:
            errors.RefusalError: there is none.
        """
        row = self.dispatcher.view.table.find(name)
        if row is None or not row.is_placed:
            raise errors.RefusalError(
                "unknown_model", f"model {name!r} is not in the table", 404
            )
        return row
