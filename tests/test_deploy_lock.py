"""Checks the packages with which a node is deployed."""

import pathlib
import subprocess
import sys
from typing import Final

LOCK: Final = pathlib.Path(__file__).parents[1] / "deploy/requirements.lock"
LIST_PACKAGES: Final = """
import importlib.metadata
import sys
import cicadahook.programs.node_daemon
files = {module.__file__ for module in sys.modules.values()
         if getattr(module, "__file__", None)}
for package in importlib.metadata.distributions():
    if files & {str(file.locate()) for file in package.files or ()}:
        print(package.name)
"""


def test_a_node_imports_no_package_that_is_not_deployed() -> None:
    listed = subprocess.run(
        [sys.executable, "-c", LIST_PACKAGES],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    deployed = {
        line.partition("==")[0].lower().replace("_", "-")
        for line in LOCK.read_text().splitlines()
    }
    imported = {name.lower().replace("_", "-") for name in listed}
    # A virtual environment may load its setuptools at the start.
    assert imported - deployed <= {"cicadahook", "setuptools"}
