"""The operators' HTTP API of a control: reads the state, edits the table."""

import hmac
from typing import Any, Final

from aiohttp import web
import pydantic

from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.core import table_edits
from cicadahook.core import table_pages
from cicadahook.core import view as view_lib
from cicadahook.net import control_links
from cicadahook.net import entry_metrics
from cicadahook.net import http_server
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import table_store

TOKEN_SCHEME: Final = "Bearer "
UNNAMED_OPERATOR: Final = "operator"

logger: Final = logs.create_logger("operators")

_ROWS: Final = pydantic.TypeAdapter(tuple[table_lib.Row, ...])
_EDITS: Final = pydantic.TypeAdapter(tuple[table_edits.RowEdit, ...])
_HISTORY: Final = pydantic.TypeAdapter(tuple[table_pages.Version, ...])
_VIEW: Final = pydantic.TypeAdapter(view_lib.View)


class OperatorsApi:
    """Serves the state and accepts edits of the table.

    Attributes:
        collector: reports of the linked entries.
        store: the table store that edits go to.
        links: links to the entries, with the newest view.
        token: token that changes must carry; empty to allow all.
    """

    def __init__(
        self,
        collector: entry_metrics.EntryMetricsCollector,
        store: table_store.TableStore,
        link_server: control_links.LinkServer,
        token: str,
    ) -> None:
        self.collector = collector
        self.store = store
        self.links = link_server
        self.token = token

    def install(self, app: web.Application) -> None:
        """Add the routes to `app`."""
        app.router.add_get("/table", self.show_table)
        app.router.add_put("/table/rows", self.set_rows)
        app.router.add_post("/table/edits", self.edit_rows)
        app.router.add_get("/table/history", self.show_history)
        app.router.add_get("/status", self.show_status)
        app.router.add_get("/in-force", self.show_in_force)

    async def show_table(self, request: web.Request) -> web.Response:
        """Respond with the table in force on this node."""
        del request
        table = self.links.views.value.table
        rows = _ROWS.dump_python(table.rows, mode="json")
        return web.json_response({"generation": table.generation, "rows": rows})

    async def show_history(self, request: web.Request) -> web.Response:
        """Respond with the recent accepted edits, the newest first."""
        del request
        versions = _HISTORY.dump_python(self.store.history(), mode="json")
        return web.json_response({"versions": versions})

    async def show_status(self, request: web.Request) -> web.Response:
        """Respond with the newest view."""
        del request
        return web.json_response(
            _VIEW.dump_python(self.links.views.value, mode="json")
        )

    async def show_in_force(self, request: web.Request) -> web.Response:
        """Respond with the table generations of this node and its entries."""
        del request
        return web.json_response(
            {
                "node": self.collector.node,
                "generation": self.links.views.value.table.generation,
                "entries": [
                    {
                        "entry": entry.entry,
                        "generation": entry.generation,
                        "age_seconds": entry.age_seconds,
                    }
                    for entry in self.collector.describe_entries()
                ],
            }
        )

    async def set_rows(self, request: web.Request) -> web.Response:
        """Add or replace whole rows, all or none, whatever their old values."""
        self._check_token(request)
        body = await http_server.read_object(request)
        rows = _parse(_ROWS, body, "rows")
        current = self.links.views.value.table
        return await self._edit(
            tuple(
                table_edits.RowEdit(row.name, row, current.find(row.name))
                for row in rows
            ),
            body,
        )

    async def edit_rows(self, request: web.Request) -> web.Response:
        """Change rows, all or none, if each still has its expected value."""
        self._check_token(request)
        body = await http_server.read_object(request)
        return await self._edit(_parse(_EDITS, body, "edits"), body)

    async def _edit(
        self, row_edits: tuple[table_edits.RowEdit, ...], body: dict[str, Any]
    ) -> web.Response:
        """Apply `row_edits` to the table and respond with its generation."""
        operator = str(body.get("operator") or UNNAMED_OPERATOR)
        try:
            table = await self.store.edit(
                table_edits.TableEdit(row_edits), operator
            )
        except errors.RowError as error:
            raise errors.RefusalError("bad_row", str(error), 400) from error
        except errors.EditConflictError as error:
            raise errors.RefusalError(
                "edit_conflict", str(error), 409
            ) from error
        except (
            errors.KeyValueConflictError,
            errors.KeyValueNotSentError,
        ) as error:
            raise errors.RefusalError("not_edited", str(error), 503) from error
        except errors.KeyValueError as error:
            raise errors.RefusalError(
                "keyvalue_unavailable",
                f"the edit may not have been accepted: {error}",
                503,
                errors.Outcome.UNKNOWN,
            ) from error
        logger.info("Table %d accepted for %s.", table.generation, operator)
        return web.json_response({"generation": table.generation})

    def _check_token(self, request: web.Request) -> None:
        """Refuse a change without the operators' token.

        Raises:
            errors.RefusalError: the token is missing or wrong.
        """
        if not self.token:
            return
        sent = request.headers.get("Authorization", "")
        expected = TOKEN_SCHEME + self.token
        if not hmac.compare_digest(sent.encode(), expected.encode()):
            metrics.count_refusal("bad_token", self.collector.node)
            raise errors.RefusalError(
                "bad_token",
                "header Authorization: must carry the operators' token",
                401,
            )


def _parse(adapter: Any, body: dict[str, Any], field: str) -> Any:
    """Return a field of a request's body, validated by `adapter`."""
    try:
        return adapter.validate_python(body.get(field))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in (field, *first["loc"]))
        raise errors.RefusalError(
            "bad_row", f"{place}: {first['msg']}", 400
        ) from error
