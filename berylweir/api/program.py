"""The `berylweir-api` program."""

import pathlib

import defopt

from berylweir import conf
from berylweir import process
from berylweir.api import supervisor
from berylweir.observability import counters


def api(settings: pathlib.Path, *, check: bool = False) -> None:
    """Serves the administration API on this entry VM.

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
    """Runs `berylweir-api` with the arguments of the process."""
    defopt.run(api)
