"""Chat and text completions: from the caller's request to its answer."""

import dataclasses

from aiohttp import web

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.net import answers
from cicadahook.net import dispatch
from cicadahook.net import headers
from cicadahook.net import http as http_lib
from cicadahook.net import relay as relay_lib


class CompletionsApi:
    """Serves the OpenAI completions of all models and adapters."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        dispatcher: dispatch.Dispatcher,
        relay: relay_lib.Relay,
    ) -> None:
        self.clock = clock
        self.dispatcher = dispatcher
        self.relay = relay

    def install(self, app: web.Application) -> None:
        """Add the routes to `app`."""
        app.router.add_post("/v1/chat/completions", self.complete_chat)
        app.router.add_post("/v1/completions", self.complete_text)

    async def complete_chat(self, http: web.Request) -> web.StreamResponse:
        """Answer a chat completion."""
        return await self._complete(http, answers.Form(is_chat=True))

    async def complete_text(self, http: web.Request) -> web.StreamResponse:
        """Answer a text completion."""
        return await self._complete(http, answers.Form(is_chat=False))

    async def _complete(
        self, http: web.Request, form: answers.Form
    ) -> web.StreamResponse:
        """Check, route and answer a completion."""
        request = headers.read_request(http, "", self.clock)
        await headers.read_body(http, request, self.clock)
        body = await http_lib.read_object(http)
        row = self._find_row(headers.read_model(body))
        request = headers.with_content(
            dataclasses.replace(request, row=row.name), body, form.is_chat
        )
        self.dispatcher.note_arrival(row)
        chunks = self.relay.stream(request, row, body, form)
        if body.get("stream"):
            return await answers.send_stream(http, request, chunks)
        return await answers.send_whole(request, form, chunks)

    def _find_row(self, name: str) -> table_lib.Row:
        """Return the model or adapter called `name`."""
        row = self.dispatcher.view.table.find(name)
        if row is None or not row.is_placed:
            raise errors.RefusalError(
                "unknown_model", f"model {name!r} is not in the table", 404
            )
        return row
