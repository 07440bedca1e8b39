"""Decides when a request may be sent to a server that names a limit.

All requests to a limited server are counted by one VM, its counter. Shares of
the limit for each VM would be far below one request per second on a large
deployment, and unused ones would be lost.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

import xxhash

from berylweir.gateway import messages
from berylweir.gateway import models

# Lowest rate, in requests per second. Only a response can lift a limit of 0, so
# a server with that limit still gets a request now and then.
_MIN_RATE = 0.1
# Requests that may follow each other at once after a pause: a fixed number, and
# those that the limit allows in a time, in seconds. Requests don't arrive at
# even intervals.
_MIN_BURST = 3.0
_BURST_S = 0.25
# Fraction of the limit that a VM grants in place of the counter. The counter
# may still grant to other VMs.
_SUBSTITUTE_SHARE = 0.5
# Number of VMs that are asked for one permit at most.
_MAX_COUNTERS_ASKED = 2
# Time for which a VM that didn't respond isn't asked, in seconds. It doubles
# with each further failure up to the maximum.
_SILENCE_BASE_S = 2.0
_SILENCE_MAX_S = 16.0
# Time without any response after which a VM counts as gone, in seconds.
_GONE_S = 10.0


class PermitSchedule:
    """Start times of the requests to one server, spaced by its limit.

    This is the generic cell rate algorithm: a request may start a tolerance
    before its evenly spaced time. Permits are given in the order in which they
    are asked for. All times are in seconds, on any one clock.
    """

    def __init__(self, phase: float = 0.0) -> None:
        """Creates a schedule that allows no burst at first.

        Args:
            phase: Delay of the first request, as a fraction of the time
                between two requests.
        """
        self._phase = phase
        self._next_s: float | None = None

    def reserve(
        self, now_s: float, rate: float, max_wait_s: float
    ) -> messages.Permit:
        """Returns when a request may start, unless that is too late for it.

        Args:
            now_s: Current time.
            rate: Requests per second.
            max_wait_s: Longest wait of the request.
        """
        rate = max(_MIN_RATE, rate)
        tolerance_s = (_MIN_BURST - 1.0) / rate + _BURST_S
        if self._next_s is None:
            self._next_s = now_s + tolerance_s + self._phase / rate
        start_s = max(now_s, self._next_s - tolerance_s)
        if start_s > now_s + max_wait_s:
            return messages.PermitDenied(start_s)
        self._next_s = max(now_s, self._next_s) + 1.0 / rate
        return messages.PermitGranted(start_s)


@dataclasses.dataclass(frozen=True, slots=True)
class AskVm:
    """Another VM counts the requests to the server.

    Attributes:
        vm: The VM.
        rate: Requests per second that it may grant.
    """

    vm: models.Vm
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class CountHere:
    """This VM counts the requests to the server.

    Attributes:
        rate: Requests per second that it may grant.
    """

    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class UseOwnShare:
    """No VM can be asked, so this VM uses its part of the limit.

    Attributes:
        rate: Requests per second that it may send.
    """

    rate: float


CounterStep = AskVm | CountHere | UseOwnShare


@dataclasses.dataclass(slots=True)
class _VmHealth:
    """Responses of one VM.

    Attributes:
        incarnation: Run of its gateway.
        failures: Requests in a row without a response.
        silent_since_s: When the first of them failed.
        avoided_until_s: Until when it isn't asked.
    """

    incarnation: str
    failures: int = 0
    silent_since_s: float = float("inf")
    avoided_until_s: float = float("-inf")


_RESPONDING = _VmHealth("")


class CounterSelector:
    """Selects the VM that counts the requests to a server.

    All VMs select the same one without communication: they rank the VMs by a
    hash of the names of VM and server (rendezvous hashing). Times are on the
    event loop's clock, in seconds.
    """

    def __init__(self, local_vm: models.Vm) -> None:
        """Creates a selector that knows only this VM.

        Args:
            local_vm: This VM.
        """
        self._local_vm = local_vm
        self._vms: Mapping[str, models.Vm] = {local_vm.name: local_vm}
        self._health: dict[str, _VmHealth] = {}
        self._rankings: dict[str, list[str]] = {}

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Replaces the registered VMs; a restarted one is asked again.

        Args:
            vms: All of them by name.
        """
        self._vms = {**vms, self._local_vm.name: self._local_vm}
        self._rankings.clear()
        for name in list(self._health):
            vm = self._vms.get(name)
            if vm is None or vm.incarnation != self._health[name].incarnation:
                del self._health[name]

    def steps(
        self, server: str, limit: float, now_s: float
    ) -> list[CounterStep]:
        """Returns what to try for a permit, in order; the last can't fail.

        Args:
            server: Name of the server.
            limit: Requests per second that it takes from all VMs together.
            now_s: Current time.
        """
        steps: list[CounterStep] = []
        is_substitute = False
        for name in self._ranking(server):
            if len(steps) >= _MAX_COUNTERS_ASKED:
                break
            rate = limit * (_SUBSTITUTE_SHARE if is_substitute else 1.0)
            if name == self._local_vm.name:
                steps.append(CountHere(rate))
                return steps
            health = self._health.get(name, _RESPONDING)
            if now_s >= health.avoided_until_s:
                steps.append(AskVm(self._vms[name], rate))
            if now_s < health.silent_since_s + _GONE_S:
                # It may still count for other VMs.
                is_substitute = True
        steps.append(UseOwnShare(_SUBSTITUTE_SHARE * limit / len(self._vms)))
        return steps

    def record_response(self, vm: models.Vm) -> None:
        """Records that a VM responded."""
        self._health.pop(vm.name, None)

    def record_failure(self, vm: models.Vm, now_s: float) -> None:
        """Records that a VM didn't respond in time."""
        health = self._health.setdefault(
            vm.name, _VmHealth(vm.incarnation, silent_since_s=now_s)
        )
        health.avoided_until_s = now_s + min(
            _SILENCE_MAX_S, _SILENCE_BASE_S * 2.0**health.failures
        )
        health.failures += 1

    def _ranking(self, server: str) -> list[str]:
        ranking = self._rankings.get(server)
        if ranking is None:
            ranking = self._rankings[server] = rank_vms(server, self._vms)
        return ranking


def rank_vms(server: str, vms: Collection[str]) -> list[str]:
    """Returns the names of VMs in the order in which they count a server.

    Args:
        server: Name of the server.
        vms: Names of the VMs.
    """
    return sorted(
        vms,
        key=lambda name: xxhash.xxh3_64_intdigest((name + server).encode()),
    )
