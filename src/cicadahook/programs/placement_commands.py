"""cicadactl commands that explain placement."""

import json
from typing import Any, Final
import urllib.parse

import tabulate

from cicadahook.programs import calls

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
    """Explains where rows live and lists moves."""

    def __init__(self, control: str) -> None:
        self.control = control

    def why(self, model: str, as_json: bool = False) -> None:
        """Print where MODEL lives, why, and what is being done about it."""
        path = f"/placement/why/{urllib.parse.quote(str(model))}"
        answer = calls.call(self.control, "GET", path)
        if as_json:
            print(json.dumps(answer, indent=2))
            return
        demand = answer["demand"]
        print(f"{answer['row']}: {demand['level']:.2f} requests a second")
        if answer["unplaced"]:
            print(f"has no place: {answer['unplaced']}")
        print(_format(answer["copies"], COPY_COLUMNS))
        print(_format(answer["moves"], MOVE_COLUMNS))
        _note_follower(answer)

    def moves(self, as_json: bool = False) -> None:
        """Print the newest moves with their cause."""
        answer = calls.call(self.control, "GET", "/placement/moves")
        if as_json:
            print(json.dumps(answer, indent=2))
            return
        print(_format(answer["moves"], MOVE_COLUMNS))
        _note_follower(answer)


def _format(items: list[dict[str, Any]], columns: tuple[str, ...]) -> str:
    """Return a table of `items`."""
    cells = [[item[column] for column in columns] for item in items]
    return tabulate.tabulate(cells, headers=columns)


def _note_follower(answer: dict[str, Any]) -> None:
    """Say so if the control that answered does not plan."""
    if not answer["leads"]:
        print("this control does not lead placement; ask the one that does")
