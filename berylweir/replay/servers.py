"""Simulated backend server with slots, grants and faults."""

import dataclasses
import typing

from berylweir.keyspace import decisions as keyspace
from berylweir.objects import schemas
from berylweir.replay import messages
from berylweir.replay import models
from berylweir.replay import simulation
from berylweir.router.admission import models as admission
from berylweir.standin import backend

# A server accepts up to twice its slots, at a proportionally lower speed,
# before it sheds. This way over_limit_seconds and the latency show a policy
# that exceeds the slots; a server that shed at its slots would hide that.
_SHED_LOAD_FACTOR = 2
# A cold server takes three times as long right after its start. The factor
# decreases linearly to 1 during the warm-up.
_COLD_START_FACTOR = 3.0
# Time between the start of a request that kills its server and the crash.
_CRASH_DELAY_S = 0.01


@dataclasses.dataclass(slots=True)
class _Running:
    """An executing request and the actor that gets its answer."""

    run: models.Run
    reply_to: str


class ServerActor:
    """Owns the running requests, the grants and the faults of one server."""

    def __init__(
        self,
        sim: simulation.Simulation,
        server: schemas.BackendServer,
        group: schemas.ServerGroup,
    ) -> None:
        """Creates a running and warm server.

        Args:
            sim: Simulation that delivers its messages.
            server: The backend server.
            group: Its server group.
        """
        self._sim = sim
        self._name = server.name
        self._group = group
        self._state = backend.BackendState(
            backend.BackendConfig(server.name, slots=group.slots),
            lambda: sim.now,
        )
        self._running: dict[int, _Running] = {}
        # Start of ownership and expiry of the last grant, by slice.
        self._open_spans: dict[int, tuple[float, float]] = {}
        self._is_up = True
        self._sheds_all = False
        self._slow_factor = 1.0
        self._cold_since_s = 0.0
        sim.register(server.name, server.availability_zone, self.receive)

    @property
    def is_up(self) -> bool:
        """Whether the server process is running."""
        return self._is_up

    def accepts(self, slice_index: int, token: int) -> bool:
        """Returns whether it accepts requests for the slice with the token."""
        return (
            self._is_up
            and not self._sheds_all
            and self._state.holds_grant(slice_index, token)
        )

    def receive(self, message: messages.ToServer) -> None:
        """Handles a message."""
        match message:
            case messages.ExecuteRequest():
                self._execute(message)
            case messages.CancelRequest(ticket_id=ticket_id):
                running = self._running.pop(ticket_id, None)
                if running is not None:
                    self._record_end(running, completed=False)
            case messages.ExecutionFinished(
                ticket_id=ticket_id, instance=instance
            ):
                if instance == self._state.instance:
                    self._complete(ticket_id)
            case messages.GrantOrProbe():
                self._answer_grant_or_probe(message)
            case messages.CrashServer():
                self._crash()
            case messages.StartServer(cold_s=cold_s):
                self._start(cold_s)
            case messages.SetSlowdown(factor=factor):
                self._slow_factor = factor
            case messages.ShedAll():
                self._sheds_all = True
            case _:
                typing.assert_never(message)

    def close(self) -> None:
        """Records the ownerships that are still open at the end of a replay."""
        for index in tuple(self._open_spans):
            self._close_span(index, float("inf"))

    def _execute(self, message: messages.ExecuteRequest) -> None:
        """Starts a request, or sheds it.

        A fenced request is shed if the server does not hold its token.
        """
        if not self._is_up:
            self._reply(message.ticket_id, message.reply_to, _CONNECT_FAILED)
            return
        self._sim.history.attempt_count += 1
        call = message.call
        is_fenced = message.token is not None and call.slice is not None
        if is_fenced and not self._state.holds_grant(
            call.slice or 0, message.token or 0
        ):
            self._reply(
                message.ticket_id, message.reply_to, admission.Ending.SHED
            )
            return
        slots = self._state.current_slots()
        if self._sheds_all or len(self._running) >= _SHED_LOAD_FACTOR * slots:
            self._reply(
                message.ticket_id, message.reply_to, admission.Ending.SHED
            )
            return
        run = models.Run(self._name, self._group.name, call, self._sim.now)
        self._sim.history.runs.append(run)
        self._running[message.ticket_id] = _Running(run, message.reply_to)
        self._record_load()
        if call.request.kills:
            self._sim.deliver_after(
                _CRASH_DELAY_S, self._name, messages.CrashServer()
            )
            self._sim.deliver_after(_CRASH_DELAY_S + 2.0, self._name, _RESTART)
            return
        contention_factor = max(1.0, len(self._running) / slots)
        self._sim.deliver_after(
            call.request.work_ms
            / 1000.0
            * self._slow_factor
            * self._cold_start_factor()
            * contention_factor,
            self._name,
            messages.ExecutionFinished(message.ticket_id, self._state.instance),
        )

    def _cold_start_factor(self) -> float:
        """Returns the multiplier of the execution time during the warm-up."""
        cold_s = self._state.config.cold_s
        age_s = self._sim.now - self._cold_since_s
        if age_s >= cold_s:
            return 1.0
        return 1.0 + (_COLD_START_FACTOR - 1.0) * (1.0 - age_s / cold_s)

    def _complete(self, ticket_id: int) -> None:
        running = self._running.pop(ticket_id, None)
        if running is not None:
            self._record_end(running, completed=True)
            self._reply(ticket_id, running.reply_to, admission.Ending.COMPLETED)

    def _record_end(self, running: _Running, *, completed: bool) -> None:
        running.run.ended_s = self._sim.now
        running.run.completed = completed
        self._record_load()

    def _reply(self, ticket_id: int, to: str, ending: admission.Ending) -> None:
        self._sim.send(
            self._name,
            to,
            messages.ExchangeEnded(ticket_id, self._name, ending),
        )

    def _record_load(self) -> None:
        self._sim.history.load_samples.append(
            models.LoadSample(
                self._name,
                self._sim.now,
                len(self._running),
                self._group.slots,
            )
        )

    def _crash(self) -> None:
        if not self._is_up:
            return
        self._is_up = False
        aborted, self._running = self._running, {}
        for ticket_id, running in aborted.items():
            self._record_end(running, completed=False)
            self._reply(ticket_id, running.reply_to, admission.Ending.CUT)
        for index in tuple(self._open_spans):
            self._close_span(index, self._sim.now)

    def _start(self, cold_s: float) -> None:
        if self._is_up:
            return
        self._is_up = True
        self._sheds_all = False
        self._cold_since_s = self._sim.now
        self._state.config = dataclasses.replace(
            self._state.config, cold_s=cold_s
        )
        self._state.restart()

    def _answer_grant_or_probe(self, message: messages.GrantOrProbe) -> None:
        if not self._is_up:
            return
        if message.request is None:
            status = self._state.status()
        else:
            status = self._state.grant(message.request)
            self._record_ownership(message.request.expires_at_s)
        self._sim.send(
            self._name,
            message.reply_to,
            messages.StatusReceived(
                self._name, message.request, status, message.sent_s
            ),
        )

    def _record_ownership(self, expires_at_s: float) -> None:
        """Extends the open spans of granted slices and closes all others.

        A slice whose grant had expired before starts a new span.
        """
        now = self._sim.now
        owned = self._state.owned_slices()
        for index in [i for i in self._open_spans if i not in owned]:
            self._close_span(index, now)
        for index in owned:
            span = self._open_spans.get(index)
            if span is not None and span[1] < now:
                self._close_span(index, now)
                span = None
            from_s = now if span is None else span[0]
            self._open_spans[index] = (from_s, expires_at_s)

    def _close_span(self, index: int, now: float) -> None:
        from_s, until_s = self._open_spans.pop(index)
        self._sim.history.ownerships.append(
            models.Ownership(
                self._name,
                self._group.name,
                index,
                from_s,
                min(until_s, now),
            )
        )


_CONNECT_FAILED = admission.Ending.CONNECT_FAILED
_RESTART = messages.StartServer(cold_s=1.0)


def slice_of(key: str, group: schemas.ServerGroup) -> int | None:
    """Returns the index of a key's slice, or None in an unkeyed group."""
    match group.routing:
        case schemas.Keyed(slices=slices):
            return keyspace.slice_of(key.encode(), slices)
        case schemas.Unkeyed():
            return None
