"""Chooses the gateway to which a request is forwarded."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
import typing

from berylweir.gateway import messages
from berylweir.gateway import models

# Back-off from a gateway that couldn't be used, in seconds. It doubles with
# each consecutive failure up to the maximum.
_VM_BACKOFF_BASE_S = 0.5
_VM_BACKOFF_MAX_S = 4.0
_MAX_DOUBLINGS = 16
# The same for servers that other gateways can't reach either.
_CAUSE_BACKOFF_BASE_S = 1.0
_CAUSE_BACKOFF_MAX_S = 8.0
# Number of gateways that must say so, and the time after which one's statement
# doesn't count any more, in seconds.
_MIN_DENYING_VMS = 2
_DENIAL_LIFETIME_S = 4.0
# Number of gateways to which one request is forwarded at most.
_MAX_TARGETS = 3

_Result = messages.ForwardResult


@dataclasses.dataclass(slots=True)
class _Backoff:
    """Back-off that doubles with each consecutive failure."""

    base_s: float
    max_s: float
    failures: int = 0
    until_s: float = float("-inf")

    def extend(self, now_s: float) -> None:
        """Records a failure, unless an earlier one is still in force."""
        if self.until_s > now_s:
            return
        duration_s = min(self.max_s, self.base_s * 2.0**self.failures)
        self.until_s = now_s + duration_s
        self.failures = min(_MAX_DOUBLINGS, self.failures + 1)

    def reset(self) -> None:
        """Ends the back-off."""
        self.failures = 0
        self.until_s = float("-inf")


@dataclasses.dataclass(slots=True)
class _Target:
    vm: models.Vm
    in_flight: int = 0
    backoff: _Backoff = dataclasses.field(
        default_factory=lambda: _Backoff(_VM_BACKOFF_BASE_S, _VM_BACKOFF_MAX_S)
    )


@dataclasses.dataclass(slots=True)
class _CauseState:
    """What other gateways say of a server, or of the servers of a group."""

    denied_s: dict[str, float] = dataclasses.field(default_factory=dict)
    backoff: _Backoff = dataclasses.field(
        default_factory=lambda: _Backoff(
            _CAUSE_BACKOFF_BASE_S, _CAUSE_BACKOFF_MAX_S
        )
    )

    def record_denial(self, vm: str, now_s: float) -> None:
        """Records that a gateway can't reach the servers either."""
        self.denied_s[vm] = now_s
        oldest_s = now_s - _DENIAL_LIFETIME_S
        if sum(t > oldest_s for t in self.denied_s.values()) < _MIN_DENYING_VMS:
            return
        self.denied_s.clear()
        self.backoff.extend(now_s)


class ForwardTargets:
    """The gateways to which requests can be forwarded, and their state."""

    def __init__(
        self, vm: str, availability_zone: str, rng: random.Random
    ) -> None:
        """Creates the state without any gateway.

        Args:
            vm: Name of this VM.
            availability_zone: Zone of this VM.
            rng: Source of randomness.
        """
        self._vm = vm
        self._zone = availability_zone
        self._rng = rng
        self._targets: dict[str, _Target] = {}
        self._causes: dict[messages.ForwardCause, _CauseState] = {}

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Uses the registered gateways that take forwarded requests."""
        usable = {
            name: vm
            for name, vm in vms.items()
            if name != self._vm and vm.forward_port
        }
        for name in self._targets.keys() - usable.keys():
            del self._targets[name]
        for name, vm in usable.items():
            known = self._targets.get(name)
            if known is None or known.vm.incarnation != vm.incarnation:
                self._targets[name] = _Target(vm)
            else:
                known.vm = vm

    def choose(
        self,
        cause: messages.ForwardCause,
        tried_vms: frozenset[str],
        unreachable_zones: frozenset[str],
        now_s: float,
    ) -> models.Vm | None:
        """Returns the VM to which to forward a request; None if there is none.

        Args:
            cause: Why this VM doesn't send the request to a server.
            tried_vms: Names of the VMs to which it was forwarded.
            unreachable_zones: Zones that this VM can't reach, if it can reach
                others; their VMs can't be reached either.
            now_s: Time on the loop's clock, in seconds.
        """
        state = self._causes.get(cause)
        if len(tried_vms) >= _MAX_TARGETS or (
            state is not None and state.backoff.until_s > now_s
        ):
            return None
        candidates = [
            t
            for name, t in self._targets.items()
            if name not in tried_vms
            and t.backoff.until_s <= now_s
            and t.vm.availability_zone not in unreachable_zones
        ]
        if not candidates:
            return None
        candidates = self._prefer_zones(candidates, tried_vms)
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda t: t.in_flight).vm

    def _prefer_zones(
        self, candidates: Sequence[_Target], tried_vms: frozenset[str]
    ) -> list[_Target]:
        """Returns the candidates of the best zones.

        The local zone comes first, but not if a VM of it has failed for this
        request: a fault of the network often concerns a whole zone.
        """
        tried_zones = {
            self._targets[name].vm.availability_zone
            for name in tried_vms
            if name in self._targets
        }
        if self._zone not in tried_zones:
            preferred = [
                t for t in candidates if t.vm.availability_zone == self._zone
            ]
        else:
            preferred = [
                t
                for t in candidates
                if t.vm.availability_zone not in tried_zones
            ]
        return preferred or list(candidates)

    def start(self, vm: str) -> None:
        """Counts a request that is forwarded to a VM."""
        self._targets[vm].in_flight += 1

    def finish(self, finished: messages.ForwardFinished, now_s: float) -> None:
        """Takes the result of a forwarded request into account.

        Args:
            finished: The result.
            now_s: Time on the loop's clock, in seconds.
        """
        forward = finished.forward
        target = self._targets.get(forward.vm.name)
        if target is None or target.vm.incarnation != forward.vm.incarnation:
            return
        target.in_flight = max(0, target.in_flight - 1)
        match finished.result:
            case _Result.ANSWERED:
                self._causes.pop(forward.cause, None)
                target.backoff.reset()
            case _Result.UNREACHABLE:
                target.backoff.reset()
                self._causes.setdefault(
                    forward.cause, _CauseState()
                ).record_denial(forward.vm.name, now_s)
            case _Result.ISOLATED | _Result.NOT_CONNECTED | _Result.UNKNOWN:
                target.backoff.extend(now_s)
            case _Result.ABANDONED:
                pass
            case _:
                typing.assert_never(finished.result)
        if finished.is_draining:
            target.backoff.extend(now_s)

    def retain_owners(
        self, instances: typing.Container[models.ServerInstance]
    ) -> None:
        """Forgets what was said of server instances that are gone."""
        for cause in tuple(self._causes):
            match cause:
                case messages.OwnerUnreachable(owner):
                    if owner not in instances:
                        del self._causes[cause]
                case messages.GroupUnreachable():
                    pass
                case _:
                    typing.assert_never(cause)
