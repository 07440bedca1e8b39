"""The task that follows the tokens file."""

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
    """Reads the tokens file again when it changes.

    A file with faults leaves the tokens of the last good one in force.
    """

    def __init__(self, path: str, metrics: counters.Counters) -> None:
        """Creates the task; an empty `path` means that there are no tokens."""
        self._path = path
        self._metrics = metrics
        self._tokens: tuple[models.Token, ...] = ()
        self._last_text: str | None = None

    @property
    def tokens(self) -> tuple[models.Token, ...]:
        """The tokens in force."""
        return self._tokens

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop."""
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
                    "tokens file unreadable", extra={"error": str(error)}
                )
            self._last_text = None
            return
        if text == self._last_text:
            return
        self._last_text = text
        match decisions.parse_tokens(text):
            case result.Ok(tokens):
                self._tokens = tokens
                _LOGGER.info("tokens read", extra={"tokens": len(tokens)})
            case result.Err(faults):
                self._metrics.count("api.tokens.invalid")
                for fault in faults:
                    _LOGGER.error("tokens file", extra={"fault": str(fault)})
