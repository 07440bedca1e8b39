"""The task that reloads the tokens file when it changes."""

import asyncio
import contextlib
import logging
import pathlib

import result

from berylweir.api.access import decisions
from berylweir.api.access import models
from berylweir.observability import counters
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_POLL_INTERVAL_S = 1.0


class TokensTask:
    """Holds the tokens in force and reloads the tokens file when it changes.

    If the file can't be read or has faults, the previous tokens stay in force.
    """

    def __init__(self, path: str, metrics: counters.Counters) -> None:
        """Creates the task.

        Args:
            path: Tokens file; if empty, there are no tokens.
            metrics: Counters of the process.
        """
        self._path = path
        self._metrics = metrics
        self._tokens: tuple[models.Token, ...] = ()
        self._last_text: str | None = None

    @property
    def tokens(self) -> tuple[models.Token, ...]:
        """The tokens in force."""
        return self._tokens

    async def run(self, context: supervision.ChildContext) -> None:
        """Checks the file every `_POLL_INTERVAL_S` seconds until stopped."""
        self._reload()
        context.report_ready()
        while not context.stop_event.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_POLL_INTERVAL_S):
                    await context.stop_event.wait()
            self._reload()

    def _reload(self) -> None:
        if not self._path:
            return
        try:
            text = pathlib.Path(self._path).read_text(encoding="utf-8")
        except OSError as error:
            self._metrics.count("api.tokens.unreadable")
            if self._last_text is not None:
                _LOGGER.error(
                    "can't read the tokens file; previous tokens stay in force",
                    extra={"error": str(error)},
                )
            self._last_text = None
            return
        if text == self._last_text:
            return
        self._last_text = text
        match decisions.parse_tokens(text):
            case result.Ok(tokens):
                self._tokens = tokens
                _LOGGER.info(
                    "loaded the tokens file", extra={"tokens": len(tokens)}
                )
            case result.Err(faults):
                self._metrics.count("api.tokens.invalid")
                for fault in faults:
                    _LOGGER.error(
                        "tokens file is invalid; previous tokens stay in force",
                        extra={"fault": str(fault)},
                    )
