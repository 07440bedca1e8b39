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
WATCHERS = 4
# Time that a gateway which isn't current, or that was silent, isn't asked, in
# seconds; the second doubles up to the longest.
_UNFIT_S = 0.1
_SILENT_S = 2.0
_SILENT_MAX_S = 30.0


@dataclasses.dataclass(slots=True)
class _Avoided:
    """A gateway that gave no news."""

    until_s: float
    silences: int


class Sources:
    """Ranks the gateways by size and age, and avoids lost ones."""

    def __init__(self, me: models.Vm) -> None:
        """Creates sources of which none is known.

        Args:
            me: This gateway.
        """
        self._me = me
        self._ranked: list[models.Vm] = []
        self._avoided: dict[models.Vm, _Avoided] = {}

    @property
    def are_known(self) -> bool:
        """Whether any gateway is known."""
        return bool(self._ranked)

    def see_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Takes the registered gateways."""
        self._ranked = sorted(vms.values(), key=_rank)
        for gone in self._avoided.keys() - set(self._ranked):
            del self._avoided[gone]

    def is_watcher(self, now_s: float) -> bool:
        """Returns whether this gateway is one of those that watch the store."""
        fit = [v for v in self._ranked if not self._is_silent(v, now_s)]
        return any(self._is_me(vm) for vm in _watchers(fit))

    def choose(
        self, now_s: float, *, slot: int, taken: Collection[models.Vm]
    ) -> models.Vm | None:
        """Returns the gateway to follow, if any may have news.

        Args:
            now_s: Time, in seconds.
            slot: Number of the choice; different slots prefer different ones.
            taken: Gateways that are followed already.
        """
        watchers = _watchers(
            v
            for v in self._ranked
            if not self._is_me(v) and not self._is_silent(v, now_s)
        )
        fit = [
            v
            for v in watchers
            if v not in taken and not self._is_avoided(v, now_s)
        ]
        if not fit:
            return None
        # Bytes between zones are charged; else the followers are spread.
        return max(
            fit,
            key=lambda vm: (
                vm.availability_zone == self._me.availability_zone,
                _weight(self._me.name, slot, vm.name),
            ),
        )

    def note_current(self, vm: models.Vm) -> None:
        """Notes that a gateway watches the store and reaches it."""
        self._avoided.pop(vm, None)

    def note_unfit(self, vm: models.Vm, now_s: float) -> None:
        """Notes that a gateway answers but can't tell what changed."""
        self._avoided[vm] = _Avoided(now_s + _UNFIT_S, 0)

    def note_silent(self, vm: models.Vm, now_s: float) -> None:
        """Notes that a gateway doesn't answer."""
        known = self._avoided.get(vm)
        silences = known.silences + 1 if known else 1
        pause_s = min(_SILENT_MAX_S, _SILENT_S * 2.0 ** (silences - 1))
        self._avoided[vm] = _Avoided(now_s + pause_s, silences)

    def _is_me(self, vm: models.Vm) -> bool:
        return (vm.name, vm.incarnation) == (
            self._me.name,
            self._me.incarnation,
        )

    def _is_avoided(self, vm: models.Vm, now_s: float) -> bool:
        found = self._avoided.get(vm)
        return found is not None and found.until_s > now_s

    def _is_silent(self, vm: models.Vm, now_s: float) -> bool:
        found = self._avoided.get(vm)
        return (
            found is not None and found.silences > 0 and found.until_s > now_s
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
    return [*first, *rest][:WATCHERS]


def _weight(follower: str, slot: int, source: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{follower}/{slot}/{source}".encode())
