"""Logs and counts what backend servers say of themselves."""

import logging
import typing

from berylweir.gateway import models
from berylweir.gateway.dispatch import models as dispatch
from berylweir.observability import counters

_LOGGER = logging.getLogger(__name__)
# Relative change of a limit below which it isn't logged again.
_MIN_LOGGED_CHANGE = 0.1
# Time between two log lines on invalid statements of one server, in seconds.
_INVALID_LOG_INTERVAL_S = 60.0


class StatementLog:
    """Logs each change in what servers state, and counts their statements."""

    def __init__(self, metrics: counters.Counters) -> None:
        """Creates a log without any statements.

        Args:
            metrics: Counters.
        """
        self._metrics = metrics
        self._logged_rates: dict[models.ServerInstance, float] = {}
        self._paused_until_s: dict[models.ServerInstance, float] = {}
        self._invalid_logged_s: dict[models.ServerInstance, float] = {}
        self._leaving: set[models.ServerInstance] = set()

    def retain(self, servers: set[models.ServerInstance]) -> None:
        """Forgets all server instances except the given ones."""
        for logged in (
            self._logged_rates,
            self._paused_until_s,
            self._invalid_logged_s,
        ):
            for removed in logged.keys() - servers:
                del logged[removed]
        self._leaving &= servers
        self._update_gauges()

    def record(
        self,
        state: dispatch.ServerState,
        statements: models.ServerStatements,
        now_s: float,
    ) -> None:
        """Logs what changed with a response.

        Args:
            state: The server, with the statements applied.
            statements: What it said of itself in the response.
            now_s: Time on the loop's clock, in seconds.
        """
        self._record_rate_limit(state, statements.rate_limit, now_s)
        if statements.pause is not None:
            self._record_pause(state, statements.pause, now_s)
        instance = state.server.instance
        if statements.is_leaving and instance not in self._leaving:
            self._leaving.add(instance)
            self._update_gauges()
            _LOGGER.info(
                "server leaving",
                extra={
                    "server": instance.server,
                    "born_ms": instance.born_ms,
                    "is_draining": state.server.is_draining,
                },
            )

    def _record_rate_limit(
        self,
        state: dispatch.ServerState,
        statement: models.RateLimitStatement,
        now_s: float,
    ) -> None:
        instance = state.server.instance
        match statement:
            case models.RateLimitInvalid(value):
                self._metrics.count("gateway.server_limits_invalid")
                self._log_invalid(instance, "limit", value, now_s)
            case (
                models.RateLimited()
                | models.NotRateLimited()
                | models.RateLimitUnstated()
            ):
                pass
            case _:
                typing.assert_never(statement)
        logged_rate = self._logged_rates.get(instance)
        rate = state.limit
        if rate is None:
            if logged_rate is not None:
                del self._logged_rates[instance]
                self._update_gauges()
                _LOGGER.info(
                    "server unlimited",
                    extra={"server": instance.server, "before": logged_rate},
                )
        elif (
            logged_rate is None
            or abs(rate - logged_rate) > _MIN_LOGGED_CHANGE * logged_rate
        ):
            self._logged_rates[instance] = rate
            self._update_gauges()
            _LOGGER.info(
                "server limited",
                extra={
                    "server": instance.server,
                    "per_s": rate,
                    "before": logged_rate,
                },
            )

    def _record_pause(
        self,
        state: dispatch.ServerState,
        statement: models.PauseStatement,
        now_s: float,
    ) -> None:
        instance = state.server.instance
        match statement:
            case models.Pause(duration_s):
                self._record_kept_pause(state, duration_s, now_s)
            case models.PauseShortened(duration_s, value):
                self._record_invalid_pause(instance, value, now_s)
                self._record_kept_pause(state, duration_s, now_s)
            case models.PauseInvalid(value):
                self._record_invalid_pause(instance, value, now_s)
            case _:
                typing.assert_never(statement)

    def _record_kept_pause(
        self, state: dispatch.ServerState, duration_s: float, now_s: float
    ) -> None:
        instance = state.server.instance
        self._metrics.count("gateway.server_pauses")
        was_paused = self._paused_until_s.get(instance, float("-inf")) > now_s
        self._paused_until_s[instance] = state.paused_until_s
        if not was_paused:
            _LOGGER.info(
                "server paused",
                extra={"server": instance.server, "duration_s": duration_s},
            )

    def _record_invalid_pause(
        self, instance: models.ServerInstance, value: str, now_s: float
    ) -> None:
        self._metrics.count("gateway.server_pauses_invalid")
        self._log_invalid(instance, "pause", value, now_s)

    def _log_invalid(
        self,
        instance: models.ServerInstance,
        statement: str,
        value: str,
        now_s: float,
    ) -> None:
        logged_s = self._invalid_logged_s.get(instance, float("-inf"))
        if now_s - logged_s < _INVALID_LOG_INTERVAL_S:
            return
        self._invalid_logged_s[instance] = now_s
        _LOGGER.warning(
            "invalid statement of a server",
            extra={
                "server": instance.server,
                "statement": statement,
                "value": value,
            },
        )

    def _update_gauges(self) -> None:
        self._metrics.gauge("gateway.servers_limited", len(self._logged_rates))
        self._metrics.gauge("gateway.servers_leaving", len(self._leaving))
