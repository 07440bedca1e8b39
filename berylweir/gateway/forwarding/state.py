"""The dispatcher's state of forwarding: other gateways and connections."""

from collections.abc import Collection
from collections.abc import Mapping
import random

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import connection_pool
from berylweir.gateway.forwarding import targets
from berylweir.observability import counters

# Idle connections to one gateway. While no server can be reached from here, all
# requests of this VM are spread over the other gateways.
_MAX_IDLE_CONNECTIONS = 16


class ForwardingState:
    """Other gateways that may get requests, and idle connections to them."""

    def __init__(
        self,
        vm: str,
        availability_zone: str,
        rng: random.Random,
        metrics: counters.Counters,
    ) -> None:
        """Creates the state without any gateway.

        Args:
            vm: Name of this VM.
            availability_zone: Zone of this VM.
            rng: Source of randomness.
            metrics: Counters.
        """
        self._targets = targets.ForwardTargets(vm, availability_zone, rng)
        self._metrics = metrics
        # By name and incarnation of the VM.
        self._pools: dict[tuple[str, str], connection_pool.ConnectionPool] = {}

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Uses the registered gateways."""
        self._targets.update_vms(vms)
        current = {(vm.name, vm.incarnation) for vm in vms.values()}
        for key in self._pools.keys() - current:
            self._pools.pop(key).close()

    def retain_owners(
        self, instances: Collection[models.ServerInstance]
    ) -> None:
        """Forgets what was said of server instances that are gone."""
        self._targets.retain_owners(instances)

    def try_forward(
        self,
        place_request: messages.PlaceRequest,
        cause: messages.ForwardCause,
        unreachable_zones: frozenset[str],
        now_s: float,
    ) -> bool:
        """Replies with a gateway to forward a request to, if there is one.

        Args:
            place_request: The request.
            cause: Why this VM doesn't send it to a server.
            unreachable_zones: Zones that this VM can't reach, if it can reach
                others.
            now_s: Time on the loop's clock, in seconds.
        """
        requirements = place_request.requirements
        if not requirements.may_forward or requirements.deadline_s <= now_s:
            return False
        vm = self._targets.choose(
            cause, requirements.tried_vms, unreachable_zones, now_s
        )
        if vm is None:
            return False
        self._targets.start(vm.name)
        pool = self._pools.setdefault(
            (vm.name, vm.incarnation), connection_pool.ConnectionPool()
        )
        connection = pool.acquire(
            now_s,
            is_idempotent=requirements.is_idempotent,
            request_id=requirements.request_id,
        )
        place_request.reply.set_result(messages.Forward(vm, connection, cause))
        return True

    def finish(self, finished: messages.ForwardFinished, now_s: float) -> None:
        """Takes back the connection, and records the result.

        Args:
            finished: The result of a forwarded request.
            now_s: Time on the loop's clock, in seconds.
        """
        vm = finished.forward.vm
        self._metrics.count(f"gateway.forwarded.{finished.result.value}")
        self._targets.finish(finished, now_s)
        if finished.connection is None:
            return
        pool = self._pools.get((vm.name, vm.incarnation))
        if pool is None:
            finished.connection.close()
        else:
            pool.release(
                finished.connection, now_s, None, _MAX_IDLE_CONNECTIONS
            )

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()
