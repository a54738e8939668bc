"""cicadactl: the operators' command-line client."""

import json
import os
import sys
from typing import Any, Final

import fire
import tabulate

from cicadahook.core import errors
from cicadahook.programs import calls

DEFAULT_CONTROL: Final = "127.0.0.1:8411"
CONTROL_VARIABLE: Final = "CICADA_CONTROL"
FAILED_EXIT_CODE: Final = 1
TABLE_COLUMNS: Final = (
    "name",
    "kind",
    "base",
    "version",
    "memory_bytes",
    "weight",
    "priority",
    "min_copies",
)


class TableCommands:
    """Shows and edits the table."""

    def __init__(self, control: str) -> None:
        self.control = control

    def show(self, as_json: bool = False) -> None:
        """Print all rows."""
        answer = calls.call(self.control, "GET", "/table")
        if as_json:
            print(json.dumps(answer, indent=2))
            return
        cells = [
            [row[column] for column in TABLE_COLUMNS] for row in answer["rows"]
        ]
        print(tabulate.tabulate(cells, headers=TABLE_COLUMNS))
        print(f"generation {answer['generation']}")

    def set(self, name: str, kind: str = "model", **columns: Any) -> None:
        """Add or replace the row NAME; give columns as flags."""
        row = {"name": name, "kind": kind, **columns}
        answer = calls.call(self.control, "PUT", "/table/rows", {"rows": [row]})
        print(f"accepted as generation {answer['generation']}")


class Commands:
    """Operates cicadahook through one of its controls.

    Args:
        control: host:port of a control; default CICADA_CONTROL or
            127.0.0.1:8411.
    """

    def __init__(self, control: str = "") -> None:
        self.control = control or os.environ.get(
            CONTROL_VARIABLE, DEFAULT_CONTROL
        )
        self.table = TableCommands(self.control)

    def status(self) -> None:
        """Print the state that the control sees, as JSON."""
        print(json.dumps(calls.call(self.control, "GET", "/status"), indent=2))


def main() -> None:
    """Run cicadactl."""
    try:
        fire.Fire(Commands, name="cicadactl")
    except errors.CicadaError as error:
        print(error, file=sys.stderr)
        sys.exit(FAILED_EXIT_CODE)
