"""Commands of cicadactl that explain placement."""

import json as json_lib
from typing import Any, Final
import urllib.parse

import tabulate

from cicadahook.programs import control_client

MOVE_COLUMNS: Final = (
    "at",
    "action",
    "row",
    "version",
    "upstream",
    "cause",
)
COPY_COLUMNS: Final = ("upstream", "version", "state", "order")


class PlacementCommands:
    """Prints where rows are placed, why, and the recent moves."""

    def __init__(self, caller: control_client.ControlClient) -> None:
        self.caller = caller

    def print_why(self, model: str, json: bool) -> None:
        """Print demand, copies and moves of MODEL, or why it has no place."""
        path = f"/placement/why/{urllib.parse.quote(model)}"
        answer = self._query_leader(path)
        if json:
            print(json_lib.dumps(answer, indent=2))
            return
        demand = answer["demand"]
        print(f"{answer['row']}: {demand['level']:.2f} requests a second")
        if answer["unplaced"]:
            print(f"has no place: {answer['unplaced']}")
        print(_format(answer["copies"], COPY_COLUMNS))
        print(_format(answer["moves"], MOVE_COLUMNS))
        _print_follower_warning(answer)

    def print_moves(self, json: bool) -> None:
        """Print the most recent moves with their cause."""
        answer = self._query_leader("/placement/moves")
        if json:
            print(json_lib.dumps(answer, indent=2))
            return
        print(_format(answer["moves"], MOVE_COLUMNS))
        _print_follower_warning(answer)

    def _query_leader(self, path: str) -> dict[str, Any]:
        """Return the answer of the leading control, else of any control."""
        members = self.caller.call("GET", "/status")["members"]
        controls = tuple(member["control"] for member in members)
        answers = self.caller.fetch_each(controls, path)
        for answer in answers.values():
            if answer["leads"]:
                return answer
        return self.caller.call("GET", path)


def _format(items: list[dict[str, Any]], columns: tuple[str, ...]) -> str:
    """Return a table of `items`."""
    cells = [[item[column] for column in columns] for item in items]
    return tabulate.tabulate(cells, headers=columns)


def _print_follower_warning(answer: dict[str, Any]) -> None:
    """Print a warning if the control that answered does not lead placement."""
    if not answer["leads"]:
        print("no control that answers leads placement at the moment")
