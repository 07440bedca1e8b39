"""Runs a case and turns its result into an exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import signal
import tempfile
import traceback

import gateways
import record

_KEPT = 0
_BROKEN = 1
_CANNOT_RUN = 2
_TIMEOUT_S = 105.0

RunCase = Callable[[record.Record, pathlib.Path], Awaitable[bool]]


def main(folder: pathlib.Path, run: RunCase) -> int:
    """Returns the exit status of a case.

    Args:
        folder: Folder of the case, which gets `record.txt`.
        run: Gets the record and a temporary folder; returns whether the rule
            held.
    """
    log = record.Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as directory:
            is_kept = asyncio.run(_run(run, log, pathlib.Path(directory)))
    except gateways.CannotRunError as error:
        log.write("cannot-run", reason=error)
        return _CANNOT_RUN
    except (Exception, asyncio.CancelledError):
        log.write("cannot-run", reason=traceback.format_exc())
        return _CANNOT_RUN
    finally:
        log.close()
    return _KEPT if is_kept else _BROKEN


async def _run(
    run: RunCase, log: record.Record, directory: pathlib.Path
) -> bool:
    task = asyncio.current_task()
    assert task is not None
    # The processes of the case end with the task.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(_TIMEOUT_S):
        is_kept = await run(log, directory)
    log.write("result", rule="held" if is_kept else "broken")
    return is_kept
