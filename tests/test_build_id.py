"""Tests of the id of the running build."""

import subprocess
import sys

from berylweir import build_id


class TestBuildId:
    """Id that the sources of the package give."""

    def test_processes_of_one_build_have_different_ids(self):
        """Guards against a fleet that seems to run many builds."""
        other = subprocess.run(
            [
                sys.executable,
                "-c",
                "from berylweir import build_id; print(build_id.build_id())",
            ],
            capture_output=True,
            text=True,
            check=True,
        )
        assert other.stdout.strip() == build_id.build_id()
        assert len(build_id.build_id()) == 12
