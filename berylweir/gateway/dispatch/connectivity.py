"""Decides which servers can be reached, and has the others probed."""

from collections.abc import Iterable

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.dispatch import probes
from berylweir.gateway.dispatch import reachability
from berylweir.observability import counters


class Connectivity:
    """The dispatcher's view of the servers that this VM can reach.

    Probes are started only when a request meets a server that can't be
    reached, so an idle VM sends none.
    """

    def __init__(
        self, prober_inbox: probes.Inbox, metrics: counters.Counters
    ) -> None:
        """Creates a view without servers.

        Args:
            prober_inbox: Mailbox of the task that probes servers.
            metrics: Counters.
        """
        self._prober_inbox = prober_inbox
        self._metrics = metrics
        self._tracker = reachability.ReachabilityTracker()

    @property
    def is_isolated(self) -> bool:
        """Whether this VM can't open a connection to any server."""
        return self._tracker.is_isolated

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Availability zones that count as unreachable."""
        return self._tracker.unreachable_zones

    def allows_connection(self, server: models.BackendServer) -> bool:
        """Returns whether a request may open a connection to a server."""
        return self._tracker.allows_connection(server)

    def update_servers(self, servers: Iterable[models.BackendServer]) -> None:
        """Replaces the servers.

        Args:
            servers: All servers that may get requests: none that is draining
                or in an evacuated zone.
        """
        was_isolated = self.is_isolated
        self._tracker.retain(servers)
        self._count_isolation(was_isolated)

    def select_reachable(
        self,
        states: Iterable[dispatch.ServerState],
        requirements: messages.ServerRequirements,
        now_s: float,
    ) -> list[dispatch.ServerState]:
        """Returns the servers to which a request can be sent now.

        A server to which no connection can be opened is among them only if it
        has an idle connection that the request can use. Probes of these
        servers are started when they are due.

        Args:
            states: Servers that may get the request.
            requirements: What the request needs.
            now_s: Time on the loop's clock, in seconds.
        """
        reachable: list[dispatch.ServerState] = []
        blocked: list[dispatch.ServerState] = []
        for state in states:
            if self._tracker.allows_connection(state.server):
                reachable.append(state)
                continue
            blocked.append(state)
            if self._tracker.trusts_idle_connections(
                state.server
            ) and state.pool.has_usable(
                now_s,
                is_idempotent=requirements.is_idempotent,
                request_id=requirements.request_id,
            ):
                reachable.append(state)
        if blocked:
            self._start_probes(blocked, now_s)
        return reachable

    def probe_if_isolated(
        self, states: Iterable[dispatch.ServerState], now_s: float
    ) -> None:
        """Probes servers if this VM can't open a connection to any.

        An isolated VM may get no requests that would find out when the
        isolation ends.

        Args:
            states: All servers.
            now_s: Time on the loop's clock, in seconds.
        """
        if self.is_isolated:
            self._start_probes(states, now_s)

    def record_overdue(
        self, state: dispatch.ServerState, placed_s: float, now_s: float
    ) -> None:
        """Probes a server that doesn't respond on an earlier connection.

        Args:
            state: The server.
            placed_s: When it was chosen for the request, on the loop's clock,
                in seconds.
            now_s: Time on the loop's clock, in seconds.
        """
        if _may_probe(state, now_s) and self._tracker.record_overdue(
            state.server, placed_s, now_s
        ):
            self._post_probe(state.server)

    def probe(self, server: models.BackendServer) -> None:
        """Probes a server whose connection was lost with a request."""
        self._post_probe(server)

    def record_result(
        self, finished: messages.AttemptFinished, now_s: float
    ) -> None:
        """Learns from the result of a request."""
        was_isolated = self.is_isolated
        self._tracker.record_result(
            finished.placement.server,
            finished.attempt_result,
            now_s,
            is_new_connection=finished.placement.connection is None,
        )
        self._count_isolation(was_isolated)

    def record_probe(self, probed: messages.ServerProbed, now_s: float) -> None:
        """Learns from the result of a probe."""
        was_isolated = self.is_isolated
        self._metrics.count(
            "gateway.probes.failed"
            if probed.connection is None
            else "gateway.probes.connected"
        )
        self._tracker.record_probe(
            probed.server, probed.connection is not None, now_s
        )
        self._count_isolation(was_isolated)

    def _start_probes(
        self, states: Iterable[dispatch.ServerState], now_s: float
    ) -> None:
        """Starts the probes of unreachable servers that are due."""
        servers = [s.server for s in states if _may_probe(s, now_s)]
        for server in self._tracker.start_probes(servers, now_s):
            self._post_probe(server)

    def _post_probe(self, server: models.BackendServer) -> None:
        # If the mailbox is full, the probe is due again after the backoff.
        self._prober_inbox.offer(messages.ProbeServer(server))

    def _count_isolation(self, was_isolated: bool) -> None:
        if self.is_isolated and not was_isolated:
            self._metrics.count("gateway.isolated")


def _may_probe(state: dispatch.ServerState, now_s: float) -> bool:
    return (
        not state.server.is_draining
        and state.leaving_since_s is None
        and state.paused_until_s <= now_s
    )
