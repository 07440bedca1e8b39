"""The `berylweir-keeper` program."""

import pathlib

import defopt

from berylweir import conf
from berylweir import process
from berylweir.keeper import supervisor
from berylweir.observability import counters


def keeper(settings: pathlib.Path, *, check: bool = False) -> None:
    """Runs the keeper: partition leases, grants and configuration of a VM.

    Args:
        settings: INI file with the settings.
        check: Only check the settings, and exit with status 2 if they are
            invalid.
    """
    loaded_settings = conf.load_or_exit(settings)
    if check:
        print("settings are valid")
        return
    process.run_tree(
        supervisor.build(loaded_settings, counters.Counters()),
        loaded_settings.observability.log_level,
    )


def main() -> None:
    """Parses the command line and runs the program."""
    defopt.run(keeper)
