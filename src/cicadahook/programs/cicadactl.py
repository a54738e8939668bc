"""cicadactl: the operators' command-line client.

Exit codes: 0 done; 1 refused or failed, or not in force on a live node in
time; 2 wrong usage; 3 no control answered.
"""

from collections.abc import Sequence
import os
import sys
from typing import Final

import fire

from cicadahook.core import errors
from cicadahook.programs import control_client
from cicadahook.programs import node_commands
from cicadahook.programs import placement_commands
from cicadahook.programs import table_commands

DEFAULT_CONTROL: Final = "127.0.0.1:8411"
CONTROL_VARIABLE: Final = "CICADA_CONTROL"
TOKEN_VARIABLE: Final = "CICADA_TOKEN"
FAILED_EXIT_CODE: Final = 1
NO_CONTROL_EXIT_CODE: Final = 3


class Commands:
    """Operates cicadahook through one of its controls.

    Exit codes: 0 done; 1 refused or failed, or not in force on a live node
    in time; 2 wrong usage; 3 no control answered. The environment variable
    CICADA_TOKEN holds the operators' token, if the controls ask for one.

    Args:
        control: host:port of the controls to try in turn, separated by
            commas; default CICADA_CONTROL or 127.0.0.1:8411.
    """

    def __init__(self, control: str | Sequence[str] = "") -> None:
        listed = control or os.environ.get(CONTROL_VARIABLE, DEFAULT_CONTROL)
        parts = listed.split(",") if isinstance(listed, str) else listed
        client = control_client.ControlClient(
            tuple(part.strip() for part in parts),
            os.environ.get(TOKEN_VARIABLE, ""),
        )
        self._nodes = node_commands.NodeCommands(client)
        self._placement = placement_commands.PlacementCommands(client)
        self.table = table_commands.TableCommands(client)

    def status(self, json: bool = False) -> None:
        """Print upstreams, their load, and where each row is served."""
        self._nodes.print_status(json)

    def members(self, json: bool = False) -> None:
        """Print the entry VMs and the table generation of each."""
        self._nodes.print_members(json)

    def why(self, model: str, json: bool = False) -> None:
        """Print where the row MODEL lives, why, and what is being done."""
        self._placement.print_why(str(model), json)

    def moves(self, json: bool = False) -> None:
        """Print the newest loads and unloads with their cause."""
        self._placement.print_moves(json)

    def drain(
        self, name: str, wait: float = table_commands.WAIT_SECONDS
    ) -> None:
        """Give no new work to the upstream or entry VM NAME from now on.

        An upstream goes on with a row that has no other copy until one is
        loaded elsewhere.
        """
        self._nodes.set_drained(str(name), True, wait)

    def undrain(
        self, name: str, wait: float = table_commands.WAIT_SECONDS
    ) -> None:
        """Give new work to the upstream or entry VM NAME again."""
        self._nodes.set_drained(str(name), False, wait)


def main() -> None:
    """Run cicadactl."""
    try:
        fire.Fire(Commands, name="cicadactl")
    except control_client.NoControlError as error:
        print(error, file=sys.stderr)
        sys.exit(NO_CONTROL_EXIT_CODE)
    except errors.CicadaError as error:
        print(error, file=sys.stderr)
        sys.exit(FAILED_EXIT_CODE)
