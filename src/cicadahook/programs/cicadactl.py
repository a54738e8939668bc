"""cicadactl: the operators' command-line client."""

import asyncio
from collections.abc import Mapping
import json
import os
import sys
from typing import Any, Final

import aiohttp
import fire
import tabulate

from cicadahook.core import errors

DEFAULT_CONTROL: Final = "127.0.0.1:8411"
CONTROL_VARIABLE: Final = "CICADA_CONTROL"
CALL_SECONDS: Final = 10.0
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


class CallError(errors.CicadaError):
    """A control refused a call or did not answer."""


class TableCommands:
    """Shows and edits the table."""

    def __init__(self, control: str) -> None:
        self.control = control

    def show(self, as_json: bool = False) -> None:
        """Print all rows."""
        answer = _call(self.control, "GET", "/table")
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
        answer = _call(self.control, "PUT", "/table/rows", {"rows": [row]})
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
        print(json.dumps(_call(self.control, "GET", "/status"), indent=2))


def _call(
    control: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the answer of a control."""
    return asyncio.run(_call_async(control, method, path, body))


async def _call_async(
    control: str, method: str, path: str, body: Mapping[str, Any] | None
) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                method, f"http://{control}{path}", json=body
            ) as response:
                answer: dict[str, Any] = await response.json()
                if response.status >= 400:
                    raise CallError(answer["error"]["message"])
                return answer
    except (aiohttp.ClientError, TimeoutError) as error:
        raise CallError(f"control {control} did not answer: {error}") from error


def main() -> None:
    """Run cicadactl."""
    try:
        fire.Fire(Commands, name="cicadactl")
    except errors.CicadaError as error:
        print(error, file=sys.stderr)
        sys.exit(FAILED_EXIT_CODE)
