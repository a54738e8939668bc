"""Entry point of cicada-node: one node of the cooperative platform.

Signals are handled before the program is imported, which takes a second on a
slow VM.
"""

import importlib
from typing import Final

from cicadahook.programs import early_signals

PROGRAM: Final = "cicadahook.programs.node_daemon"


def main() -> None:
    """Run the node until a stop signal."""
    signals = early_signals.EarlySignals()
    signals.install()
    importlib.import_module(PROGRAM).main(signals)


if __name__ == "__main__":
    main()
