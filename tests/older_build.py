"""Sources of earlier commits, whose nodes run beside those of this one."""

import io
import pathlib
import subprocess
import tarfile
from typing import Final

ROOT: Final = pathlib.Path(__file__).parents[1]


def extract(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Write the package of a commit into a folder; return its import path.

    Raises:
        RuntimeError: this checkout does not hold the commit.
    """
    found = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit, "src"],
        capture_output=True,
        check=False,
    )
    if found.returncode:
        raise RuntimeError(
            f"the history of this checkout lacks {commit}, without which"
            f" builds cannot be compared: {found.stderr.decode()}"
        )
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder / "src"
