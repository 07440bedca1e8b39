"""Which gateways watch the store, and whom the others follow."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import xxhash

from berylweir.gateway import models

# Gateways that watch the store for all, in different zones as far as possible.
# Each change of a kind costs a call of each of them; with fewer, refusals of a
# third of the VMs by the store would often hit all.
WATCHER_COUNT = 4
# Time that a gateway which isn't current, or that was silent, isn't asked, in
# seconds; the second doubles up to the longest.
_NOT_CURRENT_PAUSE_S = 0.1
_FAILURE_BACKOFF_S = 2.0
_FAILURE_BACKOFF_MAX_S = 30.0


@dataclasses.dataclass(slots=True)
class _Backoff:
    """A gateway that gave no news."""

    until_s: float
    failures: int


class UpstreamSelector:
    """Ranks the gateways by size and age, and avoids lost ones."""

    def __init__(self, local_vm: models.Vm) -> None:
        """Creates sources of which none is known.

        Args:
            local_vm: This gateway.
        """
        self._local_vm = local_vm
        self._ranked: list[models.Vm] = []
        self._backoffs: dict[models.Vm, _Backoff] = {}

    @property
    def has_gateways(self) -> bool:
        """Whether any gateway is known."""
        return bool(self._ranked)

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Takes the registered gateways."""
        self._ranked = sorted(vms.values(), key=_rank)
        for gone in self._backoffs.keys() - set(self._ranked):
            del self._backoffs[gone]

    def is_watcher(self, now_s: float) -> bool:
        """Returns whether this gateway is one of those that watch the store."""
        candidates = [
            v for v in self._ranked if not self._has_failed_recently(v, now_s)
        ]
        return any(self._is_local(vm) for vm in _watchers(candidates))

    def choose(
        self, now_s: float, *, slot: int, in_use: Collection[models.Vm]
    ) -> models.Vm | None:
        """Returns the gateway to follow, if any may have news.

        Args:
            now_s: Time, in seconds.
            slot: Number of the choice; different slots prefer different ones.
            in_use: Gateways that are followed already.
        """
        watchers = _watchers(
            v
            for v in self._ranked
            if not self._is_local(v) and not self._has_failed_recently(v, now_s)
        )
        candidates = [
            v
            for v in watchers
            if v not in in_use and not self._is_backing_off(v, now_s)
        ]
        if not candidates:
            return None
        # Bytes between zones are charged; else the followers are spread.
        return max(
            candidates,
            key=lambda vm: (
                vm.availability_zone == self._local_vm.availability_zone,
                _weight(self._local_vm.name, slot, vm.name),
            ),
        )

    def record_current(self, vm: models.Vm) -> None:
        """Notes that a gateway watches the store and reaches it."""
        self._backoffs.pop(vm, None)

    def record_not_current(self, vm: models.Vm, now_s: float) -> None:
        """Notes that a gateway answers but can't tell what changed."""
        self._backoffs[vm] = _Backoff(now_s + _NOT_CURRENT_PAUSE_S, 0)

    def record_failure(self, vm: models.Vm, now_s: float) -> None:
        """Notes that a gateway doesn't answer."""
        previous = self._backoffs.get(vm)
        failures = previous.failures + 1 if previous else 1
        pause_s = min(
            _FAILURE_BACKOFF_MAX_S, _FAILURE_BACKOFF_S * 2.0 ** (failures - 1)
        )
        self._backoffs[vm] = _Backoff(now_s + pause_s, failures)

    def _is_local(self, vm: models.Vm) -> bool:
        return (vm.name, vm.incarnation) == (
            self._local_vm.name,
            self._local_vm.incarnation,
        )

    def _is_backing_off(self, vm: models.Vm, now_s: float) -> bool:
        backoff = self._backoffs.get(vm)
        return backoff is not None and backoff.until_s > now_s

    def _has_failed_recently(self, vm: models.Vm, now_s: float) -> bool:
        backoff = self._backoffs.get(vm)
        return (
            backoff is not None
            and backoff.failures > 0
            and backoff.until_s > now_s
        )


def _rank(vm: models.Vm) -> tuple[float, float, int]:
    """Large VMs come first: a watcher sends each change to many others."""
    return -vm.size.link_mbps, -vm.size.cores, vm.registered_revision


def _watchers(ranked: Iterable[models.Vm]) -> list[models.Vm]:
    """Returns those that watch: the first of each zone, then the next ones."""
    zones: set[str] = set()
    first: list[models.Vm] = []
    rest: list[models.Vm] = []
    for vm in ranked:
        is_first = vm.availability_zone not in zones
        zones.add(vm.availability_zone)
        (first if is_first else rest).append(vm)
    return [*first, *rest][:WATCHER_COUNT]


def _weight(follower: str, slot: int, source: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{follower}/{slot}/{source}".encode())
