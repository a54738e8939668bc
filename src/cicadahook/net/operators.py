"""The operators' HTTP API of a control."""

import dataclasses
from typing import Any, Final

from aiohttp import web
import pydantic

from cicadahook.core import edits
from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib
from cicadahook.net import http as http_lib
from cicadahook.net import links
from cicadahook.net import tables

OPERATOR: Final = "operator"

_ROWS: Final = pydantic.TypeAdapter(tuple[table_lib.Row, ...])
_VIEW: Final = pydantic.TypeAdapter(view_lib.View)


@dataclasses.dataclass
class OperatorsApi:
    """Shows the state and edits the table."""

    store: tables.TableStore
    links: links.LinkServer

    def install(self, app: web.Application) -> None:
        """Add the routes to `app`."""
        app.router.add_get("/table", self.show_table)
        app.router.add_put("/table/rows", self.set_rows)
        app.router.add_get("/status", self.show_status)

    async def show_table(self, request: web.Request) -> web.Response:
        """Answer the table in force on this node."""
        del request
        table = self.links.views.value.table
        rows = _ROWS.dump_python(table.rows, mode="json")
        return web.json_response({"generation": table.generation, "rows": rows})

    async def show_status(self, request: web.Request) -> web.Response:
        """Answer the newest view."""
        del request
        return web.json_response(
            _VIEW.dump_python(self.links.views.value, mode="json")
        )

    async def set_rows(self, request: web.Request) -> web.Response:
        """Add or replace rows, all or none."""
        body = await http_lib.read_object(request)
        rows = _parse_rows(body.get("rows"))
        try:
            changes = edits.create_changes(self.store.sync.table, rows)
            table = await self.store.edit(changes, OPERATOR)
        except errors.RowError as error:
            raise errors.RefusalError("bad_row", str(error), 400) from error
        except errors.EditConflictError as error:
            raise errors.RefusalError(
                "edit_conflict", str(error), 409
            ) from error
        except errors.KeyValueError as error:
            raise errors.RefusalError(
                "keyvalue_unavailable",
                f"the edit may not have been accepted: {error}",
                503,
                errors.Outcome.UNKNOWN,
            ) from error
        return web.json_response({"generation": table.generation})


def _parse_rows(value: Any) -> tuple[table_lib.Row, ...]:
    """Return the rows of a request's body."""
    try:
        return _ROWS.validate_python(value)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise errors.RefusalError(
            "bad_row", f"rows.{place}: {first['msg']}", 400
        ) from error
