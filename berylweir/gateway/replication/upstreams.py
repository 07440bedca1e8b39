"""Decides which gateways watch the store and which one to follow.

A gateway that watches the store is a watcher. The other gateways follow
watchers: the watcher that a gateway follows is its upstream. All gateways
rank the registered ones alike, so they agree without messages, except that
each leaves out the gateways that didn't answer it.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import xxhash

from berylweir.gateway import models

# Number of gateways that watch the store for all others, in different zones as
# far as possible. Each of them sends a call to the store for each change of a
# kind. With fewer watchers, a store that refuses a third of the VMs would
# often refuse all watchers.
WATCHER_COUNT = 4
# Time for which a gateway isn't asked after it answered that it isn't current,
# in seconds.
_NOT_CURRENT_PAUSE_S = 0.1
# Time for which a gateway isn't asked after a failed request, in seconds. It
# doubles with each consecutive failure up to the maximum.
_FAILURE_BACKOFF_S = 2.0
_FAILURE_BACKOFF_MAX_S = 30.0
# Largest number of rankings that are kept. Few gateways fail at a time.
_MAX_CACHED_RANKINGS = 32


@dataclasses.dataclass(slots=True)
class _Backoff:
    """Pause in the requests to a gateway.

    Attributes:
        until_s: End of the pause, on the event loop's clock, in seconds.
        failures: Number of consecutive failed requests; 0 if the gateway
            answers but isn't current.
    """

    until_s: float
    failures: int


class UpstreamSelector:
    """Ranks the gateways by capacity and age, and skips those that failed.

    All times are on the event loop's clock, in seconds.
    """

    def __init__(self, local_vm: models.Vm) -> None:
        """Creates a selector that knows no gateway yet.

        Args:
            local_vm: This gateway.
        """
        self._local_vm = local_vm
        self._ranked_vms: list[models.Vm] = []
        self._backoffs: dict[models.Vm, _Backoff] = {}
        # Watchers by the gateways that are left out. Ranking all gateways for
        # each request would take more time than the request.
        self._watchers_by_excluded: dict[
            frozenset[models.Vm], list[models.Vm]
        ] = {}
        self._local_vms: frozenset[models.Vm] = frozenset()

    @property
    def has_gateways(self) -> bool:
        """Whether any gateway is known."""
        return bool(self._ranked_vms)

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Ranks the registered gateways.

        Args:
            vms: Registered gateways by the name of their VM.
        """
        self._ranked_vms = sorted(vms.values(), key=_rank)
        self._watchers_by_excluded.clear()
        self._local_vms = frozenset(filter(self._is_local, self._ranked_vms))
        for vm in self._backoffs.keys() - set(self._ranked_vms):
            del self._backoffs[vm]

    def is_watcher(self, now_s: float) -> bool:
        """Returns whether this gateway has to watch the store."""
        watchers = self._watchers_without(self._recently_failed_vms(now_s))
        return not self._local_vms.isdisjoint(watchers)

    def choose(
        self, now_s: float, *, slot: int, in_use: Collection[models.Vm]
    ) -> models.Vm | None:
        """Returns the gateway to follow; None if there is no suitable one.

        Args:
            now_s: Current time.
            slot: Number of the upstream; each slot ranks the watchers
                differently.
            in_use: Gateways that are followed already.
        """
        watchers = self._watchers_without(
            self._recently_failed_vms(now_s) | self._local_vms
        )
        candidates = [
            v
            for v in watchers
            if v not in in_use and not self._is_backing_off(v, now_s)
        ]
        if not candidates:
            return None
        # Traffic between zones is charged, so a watcher of this zone comes
        # first. Within a zone a hash spreads the followers over the watchers.
        return max(
            candidates,
            key=lambda vm: (
                vm.availability_zone == self._local_vm.availability_zone,
                _hash_weight(self._local_vm.name, slot, vm.name),
            ),
        )

    def next_change_s(self, now_s: float) -> float | None:
        """Returns when a gateway may be asked again; None if all may be.

        Args:
            now_s: Current time.
        """
        return min(
            (
                backoff.until_s
                for backoff in self._backoffs.values()
                if backoff.until_s > now_s
            ),
            default=None,
        )

    def record_current(self, vm: models.Vm) -> bool:
        """Records that a gateway watches the store and reaches it.

        Returns:
            Whether it hadn't been current before.
        """
        return self._backoffs.pop(vm, None) is not None

    def record_not_current(self, vm: models.Vm, now_s: float) -> None:
        """Records that a gateway answers but doesn't know the changes."""
        self._backoffs[vm] = _Backoff(now_s + _NOT_CURRENT_PAUSE_S, 0)

    def record_failure(self, vm: models.Vm, now_s: float) -> None:
        """Records that a gateway didn't answer, or not with valid data."""
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

    def _recently_failed_vms(self, now_s: float) -> frozenset[models.Vm]:
        return frozenset(
            vm
            for vm, backoff in self._backoffs.items()
            if backoff.failures > 0 and backoff.until_s > now_s
        )

    def _watchers_without(
        self, excluded: frozenset[models.Vm]
    ) -> list[models.Vm]:
        watchers = self._watchers_by_excluded.get(excluded)
        if watchers is None:
            if len(self._watchers_by_excluded) >= _MAX_CACHED_RANKINGS:
                self._watchers_by_excluded.clear()
            watchers = _watchers(
                vm for vm in self._ranked_vms if vm not in excluded
            )
            self._watchers_by_excluded[excluded] = watchers
        return watchers


def _rank(vm: models.Vm) -> tuple[float, float, int]:
    """Returns a sort key by which large VMs, then older gateways come first.

    Large ones come first because a watcher sends each change to many others.
    """
    return -vm.size.link_mbps, -vm.size.cores, vm.registered_revision


def _watchers(ranked: Iterable[models.Vm]) -> list[models.Vm]:
    """Returns the watchers, `WATCHER_COUNT` at most.

    The first gateway of each zone comes first, then the other gateways.

    Args:
        ranked: Gateways in the order of their rank.
    """
    zones: set[str] = set()
    first: list[models.Vm] = []
    rest: list[models.Vm] = []
    for vm in ranked:
        is_first = vm.availability_zone not in zones
        zones.add(vm.availability_zone)
        (first if is_first else rest).append(vm)
    return [*first, *rest][:WATCHER_COUNT]


def _hash_weight(follower: str, slot: int, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{follower}/{slot}/{upstream}".encode())
