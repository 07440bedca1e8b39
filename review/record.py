"""The record of a run: what was sent, answered and run."""

import os
import pathlib
import time


class Record:
    """Writes lines with the time since the start of the run."""

    def __init__(self, path: pathlib.Path) -> None:
        """Creates an empty record.

        Args:
            path: File to write.
        """
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def elapsed_s(self) -> float:
        """Returns the time since the start of the run, in seconds."""
        return time.monotonic() - self._started_s

    def write(self, event: str, **fields: object) -> None:
        """Writes one line.

        Args:
            event: What happened.
            **fields: Details, in the order of the line.
        """
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.elapsed_s():8.3f} {event} {details}\n")

    def close(self) -> None:
        """Writes all lines to the file."""
        self._file.close()


def has_trouble() -> bool:
    """Returns whether the run is to have its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
