"""Chooses the server of a request, or another gateway that gets it."""

from collections.abc import Collection
from collections.abc import Sequence
import random

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import availability
from berylweir.gateway.dispatch import connectivity
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import deployment
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.dispatch import refusals
from berylweir.gateway.dispatch import slow_start
from berylweir.gateway.dispatch import suspects
from berylweir.gateway.forwarding import state as forwarding

# Retry-After while the owner of a key is unreachable, in seconds. Its grant
# expires after up to 3 s; callers wait for at most a third of their deadline.
_UNREACHABLE_RETRY_AFTER_S = 1.0
# Attempts without a usable connection after which a request is rather forwarded
# than sent to another server that may be reachable.
_MAX_UNSENT_ATTEMPTS = 2

_Reason = messages.RefusalReason


class ServerPlacer:
    """Finds a server for each request by the state of the dispatcher.

    It belongs to the dispatcher, and changes the states of the servers that it
    chooses.
    """

    def __init__(
        self,
        environment: models.Environment,
        server_deployment: deployment.Deployment,
        server_connectivity: connectivity.Connectivity,
        forwarding_state: forwarding.ForwardingState,
        suspect_requests: suspects.SuspectRequests,
        rng: random.Random,
    ) -> None:
        """Creates a placer for the state of a dispatcher.

        Args:
            environment: Settings that the platform passed.
            server_deployment: Servers and groups.
            server_connectivity: Which servers can be reached.
            forwarding_state: Other gateways.
            suspect_requests: Requests that may crash servers.
            rng: Source of random choices.
        """
        self._zone = environment.availability_zone
        self._bounds = environment.bounds
        self._deployment = server_deployment
        self._connectivity = server_connectivity
        self._forwarding = forwarding_state
        self._suspects = suspect_requests
        self._rng = rng
        self._vm_count = 0
        self._slow_start_shares = slow_start.SlowStartShares(
            environment.vm, environment.bounds.cold_slack
        )

    def update_vms(self, vms: Collection[str]) -> None:
        """Replaces the VMs that share retry budgets and slow start rates."""
        self._vm_count = len(vms)
        self._slow_start_shares.update_vms(vms)

    def try_place(
        self, place_request: messages.PlaceRequest, now_s: float
    ) -> messages.NotPlaced | None:
        """Assigns a server, or returns why that isn't possible now.

        A request with a key goes to the owner of the key, any other request to
        the best server of its group.
        """
        requirements = place_request.requirements
        if place_request.reply.done():
            return None
        refusal = self._suspects.check(requirements, now_s)
        if refusal is not None:
            return refusal
        group = self._deployment.groups[requirements.group]
        if group.settings.is_keyed and requirements.key is not None:
            return self._try_place_on_owner(
                place_request, group, requirements.key, now_s
            )
        return self._try_place_on_any_server(place_request, group, now_s)

    def is_still_allowed(
        self,
        placement: messages.Placement,
        requirements: messages.ServerRequirements,
        now_s: float,
    ) -> bool:
        """Returns whether a request that was placed before may be sent.

        Args:
            placement: Its server.
            requirements: What the request needs.
            now_s: Time on the loop's clock, in seconds.
        """
        instance = placement.server.instance
        state = self._deployment.servers.get(instance)
        if state is None or not self._deployment.is_eligible(state):
            return False
        group = self._deployment.groups.get(requirements.group)
        if (
            group is not None
            and group.settings.is_keyed
            and requirements.key is not None
            and group.table is not None
            and decisions.find_owner(group.table, requirements.key) != instance
        ):
            return False
        return availability.is_still_available(
            state,
            now_s,
            self._bounds.drain_s,
            has_permit=placement.limit is not None,
        )

    def _try_place_on_owner(
        self,
        place_request: messages.PlaceRequest,
        group: dispatch.GroupState,
        key: int,
        now_s: float,
    ) -> messages.NotPlaced | None:
        owner = (
            decisions.find_owner(group.table, key)
            if group.table is not None
            else None
        )
        state = (
            self._deployment.servers.get(owner) if owner is not None else None
        )
        if (
            owner is not None
            and owner == place_request.requirements.rejecting_instance
        ):
            return refusals.create(_Reason.NO_OWNER)
        if state is None or not self._deployment.is_eligible(state):
            return refusals.create(_Reason.NO_OWNER)
        if not self._connectivity.select_reachable(
            (state,), place_request.requirements, now_s
        ):
            return self._forward_or_refuse(
                place_request,
                messages.OwnerUnreachable(state.server.instance),
                now_s,
            )
        available = self._select_available(
            [state],
            group.settings,
            place_request.requirements.queue_deadline_s,
            now_s,
            all_leaving=_Reason.NO_OWNER,
        )
        if isinstance(available, messages.NotPlaced):
            return available
        if decisions.is_full(state, now_s):
            return refusals.create(
                _Reason.FULL, decisions.time_until_capacity_s(state, now_s)
            )
        return self._assign_server(place_request, state, group, now_s)

    def _try_place_on_any_server(
        self,
        place_request: messages.PlaceRequest,
        group: dispatch.GroupState,
        now_s: float,
    ) -> messages.NotPlaced | None:
        requirements = place_request.requirements
        group_servers = self._deployment.servers_of(requirements.group)
        sampled = decisions.sample_servers(group_servers, self._rng)
        if not any(self._is_usable(s) for s in sampled):
            sampled = group_servers
        eligible = [s for s in sampled if self._deployment.is_eligible(s)]
        if not eligible:
            return refusals.create(_Reason.NO_SERVER)
        available = self._select_available(
            eligible,
            group.settings,
            requirements.queue_deadline_s,
            now_s,
            all_leaving=_Reason.NO_SERVER,
        )
        if isinstance(available, messages.NotPlaced):
            return available
        reachable = self._connectivity.select_reachable(
            available, requirements, now_s
        )
        if (
            not reachable
            or requirements.unsent_attempts >= _MAX_UNSENT_ATTEMPTS
        ):
            refusal = self._forward_or_refuse(
                place_request,
                messages.GroupUnreachable(requirements.group),
                now_s,
            )
            if refusal is None or (
                requirements.was_forwarded and not reachable
            ):
                return refusal
            reachable = reachable or available
        untried = [
            s
            for s in reachable
            if s.server.instance not in requirements.tried_instances
        ] or reachable
        state = decisions.choose_server(
            untried,
            self._zone,
            now_s,
            self._rng,
            goal_ms=requirements.goal_ms,
            is_download=requirements.is_download,
        )
        if state is None:
            capacity_wait_s = min(
                *(decisions.time_until_capacity_s(s, now_s) for s in untried),
                availability.time_until_available_s(
                    eligible, requirements.queue_deadline_s, now_s
                ),
            )
            return refusals.create(_Reason.FULL, capacity_wait_s)
        return self._assign_server(place_request, state, group, now_s)

    def _forward_or_refuse(
        self,
        place_request: messages.PlaceRequest,
        cause: messages.ForwardCause,
        now_s: float,
    ) -> messages.NotPlaced | None:
        """Assigns another gateway, or returns a refusal if there is none."""
        is_isolated = self._connectivity.is_isolated
        if self._forwarding.try_forward(
            place_request,
            cause,
            frozenset()
            if is_isolated
            else self._connectivity.unreachable_zones,
            now_s,
        ):
            return None
        return messages.NotPlaced(
            _Reason.UNREACHABLE,
            _UNREACHABLE_RETRY_AFTER_S,
            is_isolated=is_isolated,
        )

    def _is_usable(self, state: dispatch.ServerState) -> bool:
        return self._deployment.is_eligible(
            state
        ) and self._connectivity.allows_connection(state.server)

    def _select_available(
        self,
        servers: Sequence[dispatch.ServerState],
        settings: models.ServerGroup,
        queue_deadline_s: float,
        now_s: float,
        *,
        all_leaving: messages.RefusalReason,
    ) -> list[dispatch.ServerState] | messages.NotPlaced:
        """Returns the servers that slow start and their statements allow.

        If there are none, a server that only slow start keeps from the request
        goes before the others in the refusal: it may take one soon.

        Args:
            servers: The servers.
            settings: Settings of their group.
            queue_deadline_s: Until when the request may wait for a server, on
                the loop's clock, in seconds.
            now_s: Time on that clock, in seconds.
            all_leaving: Reason to state if all servers are leaving.
        """

        def select(
            candidates: Sequence[dispatch.ServerState],
        ) -> list[dispatch.ServerState] | messages.NotPlaced:
            return availability.select_available(
                candidates,
                queue_deadline_s,
                now_s,
                self._bounds.drain_s,
                all_leaving=all_leaving,
            )

        available = select(
            [
                s
                for s in servers
                if self._is_within_slow_start_rate(s, settings, now_s)
            ]
        )
        match available:
            case messages.NotPlaced():
                refusal = select(servers)
                match refusal:
                    case messages.NotPlaced():
                        return refusal
                    case _:
                        return refusals.create(_Reason.COLD)
            case _:
                return available

    def _is_within_slow_start_rate(
        self,
        state: dispatch.ServerState,
        settings: models.ServerGroup,
        now_s: float,
    ) -> bool:
        if state.cold_until_s <= now_s or settings.cold_per_s <= 0:
            return True
        return (
            state.pacer.delay_s(now_s) <= 0
            and self._slow_start_shares.of(
                state.server.name, settings.cold_per_s
            ).rate
            > 0
        )

    def _assign_server(
        self,
        place_request: messages.PlaceRequest,
        state: dispatch.ServerState,
        group: dispatch.GroupState,
        now_s: float,
    ) -> messages.NotPlaced | None:
        """Assigns a server, or returns why the retry budget forbids it."""
        if place_request.requirements.is_retry and not group.budget.try_acquire(
            now_s, self._vm_count
        ):
            return refusals.create(_Reason.RETRY_BUDGET)
        settings = group.settings
        if state.cold_until_s > now_s and settings.cold_per_s > 0:
            state.pacer.record_request(
                now_s,
                self._slow_start_shares.of(
                    state.server.name, settings.cold_per_s
                ).rate,
            )
        placement = messages.Placement(
            state.server,
            state.pool.acquire(
                now_s,
                is_idempotent=place_request.requirements.is_idempotent,
                request_id=place_request.requirements.request_id,
            ),
            now_s,
            state.estimated_load(now_s),
            state.limit,
            state.overdue_after_s,
        )
        state.start_request()
        self._suspects.begin(place_request.requirements)
        place_request.reply.set_result(placement)
        return None
