"""Source trees of earlier builds, for tests of builds side by side."""

import io
import pathlib
import subprocess
import tarfile

ROOT = pathlib.Path(__file__).parents[1]
# The last three landings, the newest first.
LANDINGS = ("926f86d", "a0e09e6", "dbdc9ff")


def check_out(commit: str, directory: pathlib.Path) -> bool:
    """Writes the files of a commit; returns whether the history has it."""
    directory.mkdir()
    archive = subprocess.run(
        ["git", "archive", commit, "berylweir", "pyproject.toml"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode != 0:
        return False
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(directory, filter="data")
    return True
