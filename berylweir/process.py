"""Common start of the programs: signals and the root supervisor."""

import asyncio
from collections.abc import Callable
import logging
import signal
import types

import uvloop

from berylweir import build_id
from berylweir.observability import logs
from berylweir.supervision import supervisor

_LOGGER = logging.getLogger(__name__)
# Exit status if the settings are invalid.
EXIT_INVALID_SETTINGS = 2
# Exit status after a second SIGINT: 128 plus its number, as shells report it.
EXIT_INTERRUPTED = 130


def run_tree(
    root: supervisor.Supervisor,
    log_level: str,
    log_handler: logging.Handler | None = None,
    on_reload: Callable[[], None] | None = None,
) -> None:
    """Runs a supervisor tree until SIGTERM, SIGINT or SIGHUP.

    Further signals don't shorten the shutdown, except for a second SIGINT, as
    Ctrl-C sends it in a terminal: it cancels the tree without waiting for the
    shutdown.

    Args:
        root: Root of the tree.
        log_level: Lowest level of the log messages that are written.
        log_handler: Handler of the log messages; None for standard error.
        on_reload: Called on SIGHUP, which then doesn't stop the tree.

    Raises:
        SystemExit: If a second SIGINT has cancelled the tree.
    """
    logs.configure(log_level, log_handler)
    if not uvloop.run(_run_until_signal(root, on_reload)):
        raise SystemExit(EXIT_INTERRUPTED)


async def _run_until_signal(
    root: supervisor.Supervisor, on_reload: Callable[[], None] | None
) -> bool:
    """Returns whether the tree has stopped without being cancelled."""
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    main_task = asyncio.current_task()

    has_interrupt = is_cancelled = False

    def on_terminate() -> None:
        _LOGGER.info("stopping")
        stop_event.set()

    def on_interrupt() -> None:
        nonlocal has_interrupt, is_cancelled
        if has_interrupt and main_task is not None:
            is_cancelled = True
            main_task.cancel()
        has_interrupt = True
        on_terminate()

    def on_hangup() -> None:
        if on_reload is None:
            on_terminate()
            return
        _LOGGER.info("reloading")
        on_reload()

    # uvloop's own signal handlers can be called twice for one signal if another
    # one arrives with it.
    handlers = {
        signal.SIGTERM: on_terminate,
        signal.SIGINT: on_interrupt,
        signal.SIGHUP: on_hangup,
    }
    for number, handler in handlers.items():
        signal.signal(number, _forward_to(loop, handler))
    _LOGGER.info("started", extra={"build": build_id.build_id()})
    try:
        await supervisor.run_root(root, stop_event)
    except asyncio.CancelledError:
        if not is_cancelled:
            raise
        _LOGGER.warning("stopped without waiting for the shutdown")
        return False
    finally:
        # The event loop ends now, and the default of a signal would end the
        # process with a status that supervisors take for a crash.
        for number in handlers:
            signal.signal(number, signal.SIG_IGN)
        _LOGGER.info("stopped")
    return True


def _forward_to(
    loop: asyncio.AbstractEventLoop, handler: Callable[[], None]
) -> Callable[[int, types.FrameType | None], None]:
    """Returns a signal handler that calls `handler` in the event loop."""

    def forward(_number: int, _frame: types.FrameType | None) -> None:
        loop.call_soon_threadsafe(handler)

    return forward
