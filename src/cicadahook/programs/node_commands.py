"""Commands of cicadactl that print and drain entry VMs and upstreams."""

import dataclasses
import json as json_lib
from typing import Any, Final

import tabulate

from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.core import table_edits
from cicadahook.programs import control_client
from cicadahook.programs import table_commands

MEMBER_COLUMNS: Final = ("name", "state", "zone", "entry", "control")
UPSTREAM_COLUMNS: Final = (
    "address",
    "state",
    "kind",
    "service",
    "zone",
    "in_flight",
    "role",
)


class UnknownNameError(errors.CicadaError):
    """No upstream or entry VM has the given name."""


class NodeCommands:
    """Prints members, upstreams and copies; drains members and upstreams."""

    def __init__(self, caller: control_client.ControlClient) -> None:
        self.caller = caller

    def print_status(self, json: bool) -> None:
        """Print upstreams and where each row is served."""
        status = self.caller.call("GET", "/status")
        if json:
            print(json_lib.dumps(status, indent=2))
            return
        _print_records(status["upstreams"], UPSTREAM_COLUMNS)
        print()
        cells = [
            [name, ", ".join(places) or "NO COPY"]
            for name, places in _find_copies(status).items()
        ]
        print(tabulate.tabulate(cells, headers=("row", "copies")))
        print(
            f"\ntable generation {status['table']['generation']},"
            f" as {status['control']} sees it"
        )

    def print_members(self, json: bool) -> None:
        """Print the entry VMs and the table generation of each."""
        members = self.caller.call("GET", "/status")["members"]
        answers = self.caller.fetch_each(
            tuple(member["control"] for member in members), "/in-force"
        )
        for member in members:
            answer = answers.get(member["control"], {})
            member["generation"] = answer.get("generation")
        if json:
            print(json_lib.dumps({"members": members}, indent=2))
            return
        _print_records(members, (*MEMBER_COLUMNS, "generation"))

    def set_drained(self, name: str, is_drained: bool, wait: float) -> None:
        """Set or clear the drain mark of an upstream or entry VM.

        Raises:
            UnknownNameError: no upstream or entry VM has this name.
        """
        status = self.caller.call("GET", "/status")
        known = [upstream["address"] for upstream in status["upstreams"]]
        known += [member["name"] for member in status["members"]]
        base = table_commands.fetch_table(self.caller).find(name)
        if base is None and name not in known:
            raise UnknownNameError(
                f"{name!r} is no upstream or entry VM; known are"
                f" {', '.join(known)}"
            )
        row = base or table_lib.Row(name, table_lib.RowKind.UPSTREAM)
        row = dataclasses.replace(row, drained=is_drained)
        if row == base:
            print("Nothing to change.")
            return
        table_commands.send_edits(
            self.caller, [table_edits.RowEdit(name, row, base)], wait
        )


def _find_copies(status: dict[str, Any]) -> dict[str, list[str]]:
    """Return the upstreams on which each row is served or being loaded."""
    places: dict[str, list[str]] = {
        row["name"]: []
        for row in status["table"]["rows"]
        if row["kind"] != table_lib.RowKind.UPSTREAM
    }
    for copy in status["copies"]:
        is_serving = copy["state"] == "serving"
        suffix = "" if is_serving else f" ({copy['state']})"
        places.setdefault(copy["row"], []).append(copy["upstream"] + suffix)
    for upstream in status["upstreams"]:
        if upstream["service"]:
            places.setdefault(upstream["service"], []).append(
                upstream["address"]
            )
    return places


def _print_records(
    records: list[dict[str, Any]], columns: tuple[str, ...]
) -> None:
    cells = [[record[column] for column in columns] for record in records]
    print(tabulate.tabulate(cells, headers=columns, missingval="no answer"))
