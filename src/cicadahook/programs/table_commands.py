"""Commands of cicadactl that print and edit the table."""

from collections.abc import Iterable
import getpass
import json as json_lib
import pathlib
import sys
import textwrap
import time
from typing import Any, Final

import pydantic
import tabulate

from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.core import table_csv
from cicadahook.core import table_edits
from cicadahook.programs import control_client

WAIT_SECONDS: Final = 6.0
POLL_SECONDS: Final = 0.2
TIME_WIDTH: Final = len("2026-01-01T00:00:00")
ROWS_WIDTH: Final = 60
LIVE_STATES: Final = frozenset({"alive", "suspect"})

_ROWS: Final = pydantic.TypeAdapter(tuple[table_lib.Row, ...])
_EDITS: Final = pydantic.TypeAdapter(tuple[table_edits.RowEdit, ...])


class CsvFileError(errors.CicadaError):
    """A CSV file can't be read or written."""


class NotInForceError(errors.CicadaError):
    """An accepted table is not in force on all live nodes."""


def fetch_table(client: control_client.ControlClient) -> table_lib.Table:
    """Return the table in force on the first control that answers."""
    answer = client.call("GET", "/table")
    rows = _ROWS.validate_python(answer["rows"])
    return table_lib.Table(answer["generation"], rows)


def send_edits(
    client: control_client.ControlClient,
    changes: Iterable[table_edits.RowEdit],
    wait: float = WAIT_SECONDS,
) -> None:
    """Send `changes`, and wait until they are in force on each live node.

    Raises:
        control_client.CallError: the edit was refused.
        NotInForceError: the edit was accepted, but is not in force on some
            live nodes after `wait` seconds.
    """
    body = {
        "edits": _EDITS.dump_python(tuple(changes), mode="json"),
        "operator": getpass.getuser(),
    }
    generation = client.call("POST", "/table/edits", body)["generation"]
    print(f"Accepted as generation {generation}.")
    deadline = time.monotonic() + wait
    lagging = find_lagging(client, generation)
    while lagging and time.monotonic() < deadline:
        time.sleep(POLL_SECONDS)
        lagging = find_lagging(client, generation)
    if lagging:
        raise NotInForceError(
            f"generation {generation} is accepted, but after {wait:g} s not"
            f" in force on: {', '.join(lagging)}"
        )
    print("In force on every live node.")


def find_lagging(
    client: control_client.ControlClient, generation: int
) -> list[str]:
    """Return the live entries and controls without `generation` in force."""
    members = client.call("GET", "/status")["members"]
    live = [member for member in members if member["state"] in LIVE_STATES]
    answers = client.fetch_each(
        tuple(member["control"] for member in live), "/in-force"
    )
    shown = {
        control: answer["generation"] for control, answer in answers.items()
    }
    for answer in answers.values():
        for item in answer["entries"]:
            shown[item["entry"]] = max(
                item["generation"], shown.get(item["entry"], 0)
            )
    return [
        f"{member['name']} {role} ({member[role]})"
        for member in live
        for role in ("control", "entry")
        if shown.get(member[role], 0) < generation
    ]


class TableCommands:
    """Shows and edits the table."""

    def __init__(self, caller: control_client.ControlClient) -> None:
        # The help of `cicadactl table` lists this attribute by its name and by
        # the first line of its class's docstring, so the name stays.
        self.caller = caller

    def show(self, name: str = "", json: bool = False) -> None:
        """Print all rows, or the row NAME with all its columns."""
        table = fetch_table(self.caller)
        rows = [row for row in table.rows if not name or row.name == str(name)]
        if name and not rows:
            raise errors.RowError(str(name), "name", "there is no such row")
        if json:
            shown = _ROWS.dump_python(tuple(rows), mode="json")
            content = {"generation": table.generation, "rows": shown}
            print(json_lib.dumps(content, indent=2))
            return
        columns = table_csv.COLUMNS if name else _find_used_columns(rows)
        cells = [
            [table_csv.format_cell(getattr(row, column)) for column in columns]
            for row in rows
        ]
        if name:
            cells = [list(pair) for pair in zip(columns, cells[0], strict=True)]
            columns = ("column", "value")
        print(tabulate.tabulate(cells, headers=columns, disable_numparse=True))
        print(f"generation {table.generation}")

    def set(
        self, name: str, wait: float = WAIT_SECONDS, **columns: Any
    ) -> None:
        """Set columns of the row NAME; the others keep their values.

        Args:
            name: name of the row; it is added if there is none.
            wait: seconds to wait until each live node has it in force.
            **columns: new values, as in --weight 2 or --max_in_flight 16.
        """
        texts = {column: _to_text(value) for column, value in columns.items()}
        patch = table_csv.create_patch(str(name), texts, f"row {name}")
        base = fetch_table(self.caller).find(patch.name)
        change = table_edits.RowEdit(patch.name, patch.apply(base), base)
        send_edits(self.caller, [change], wait)

    def unset(self, name: str, wait: float = WAIT_SECONDS) -> None:
        """Remove the row NAME."""
        base = fetch_table(self.caller).find(str(name))
        if base is None:
            raise errors.RowError(str(name), "name", "there is no such row")
        change = table_edits.RowEdit(base.name, None, base)
        send_edits(self.caller, [change], wait)

    def history(self, json: bool = False) -> None:
        """Print the recent accepted edits, the newest first."""
        answer = self.caller.call("GET", "/table/history")
        if json:
            print(json_lib.dumps(answer, indent=2))
            return
        cells = [
            [
                version["generation"],
                version["time"][:TIME_WIDTH],
                version["operator"],
                textwrap.shorten(", ".join(version["rows"]), ROWS_WIDTH),
            ]
            for version in answer["versions"]
        ]
        headers = ("generation", "time (UTC)", "operator", "rows")
        print(tabulate.tabulate(cells, headers=headers))

    def export(self, file: str = "-") -> None:
        """Write all rows as CSV to FILE, or to standard output."""
        content = table_csv.format_csv(fetch_table(self.caller).rows)
        if file == "-":
            sys.stdout.write(content)
            return
        try:
            pathlib.Path(file).write_text(content, encoding="utf-8")
        except OSError as error:
            raise CsvFileError(f"{file}: {error.strerror}") from error

    def _import(
        self, file: str, replace: bool = False, wait: float = WAIT_SECONDS
    ) -> None:
        """Set the rows and columns of the CSV FILE, all or none.

        Args:
            file: path of the file; - reads standard input.
            replace: also remove the rows that are not in the file.
            wait: seconds to wait until each live node has it in force.
        """
        table = fetch_table(self.caller)
        patches = tuple(table_csv.parse_csv(_read_file(str(file))))
        changes = list(_create_edits(table, patches))
        if replace:
            named = {patch.name for patch in patches}
            changes += [
                table_edits.RowEdit(row.name, None, row)
                for row in table.rows
                if row.name not in named
            ]
        if not changes:
            print("Nothing to change.")
            return
        send_edits(self.caller, changes, wait)


def _create_edits(
    table: table_lib.Table, patches: Iterable[table_csv.RowPatch]
) -> Iterable[table_edits.RowEdit]:
    """Yield the edits that apply `patches` to `table`.

    Raises:
        table_csv.CellError: two patches name the same row.
    """
    seen: set[str] = set()
    for patch in patches:
        if patch.name in seen:
            raise table_csv.CellError(
                patch.location, "name", "appears more than once"
            )
        seen.add(patch.name)
        base = table.find(patch.name)
        row = patch.apply(base)
        if row != base:
            yield table_edits.RowEdit(patch.name, row, base)


def _find_used_columns(rows: list[table_lib.Row]) -> tuple[str, ...]:
    """Return name, kind and the columns in which a row is not the default."""
    always = ("name", "kind")
    used = (
        column
        for column in table_csv.COLUMNS
        if column not in always
        and any(
            getattr(row, column) != getattr(table_csv.DEFAULTS, column)
            for row in rows
        )
    )
    return (*always, *used)


def _to_text(value: Any) -> str:
    """Return the value of a flag, as parsed by fire, in the form of a cell."""
    if isinstance(value, list | tuple):
        return table_csv.format_cell(tuple(str(item) for item in value))
    return table_csv.format_cell(value)


def _read_file(name: str) -> str:
    try:
        if name == "-":
            return sys.stdin.read()
        return pathlib.Path(name).read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        raise CsvFileError(f"{name}: {error}") from error


# `import` is a keyword, so the method cannot be defined under that name.
# pylint: disable-next=protected-access
setattr(TableCommands, "import", TableCommands._import)
