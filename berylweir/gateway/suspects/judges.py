"""Selects the gateway that judges a request."""

from collections.abc import Mapping

from berylweir.crash_suspects import fingerprint as fingerprints
from berylweir.gateway import models
from berylweir.gateway.permits import decisions as permits

# Gateways that are asked at most; after them, the local one judges.
_MAX_ASKED = 2
# Time for which a gateway that didn't respond isn't asked, in seconds.
_SILENCE_S = 5.0


class JudgeSelector:
    """Selects the same judge on all gateways without communication.

    Each request has a ranking of the VMs, by a hash. Times are on the event
    loop's clock, in seconds.
    """

    def __init__(self, local_vm: models.Vm) -> None:
        """Creates a selector that knows only this VM.

        Args:
            local_vm: This VM.
        """
        self._local_vm = local_vm
        self._vms: dict[str, models.Vm] = {local_vm.name: local_vm}
        self._avoided_until_s: dict[str, float] = {}

    @property
    def others(self) -> list[models.Vm]:
        """All other VMs that take part."""
        return [v for v in self._vms.values() if v is not self._local_vm]

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Replaces the registered VMs.

        Args:
            vms: All of them by name. Those of older builds are left out.
        """
        before = self._vms
        self._vms = {n: v for n, v in vms.items() if v.judges_requests}
        self._vms[self._local_vm.name] = self._local_vm
        for name in list(self._avoided_until_s):
            vm = self._vms.get(name)
            if vm is None or vm.incarnation != before[name].incarnation:
                del self._avoided_until_s[name]

    def select(self, fingerprint: int, now_s: float) -> list[models.Vm]:
        """Returns the VMs to ask, in order; the local one is the last."""
        selected: list[models.Vm] = []
        for name in self._rank(fingerprint):
            if name == self._local_vm.name or len(selected) >= _MAX_ASKED:
                break
            if self._avoided_until_s.get(name, now_s) <= now_s:
                selected.append(self._vms[name])
        return [*selected, self._local_vm]

    def is_first(self, fingerprint: int) -> bool:
        """Returns whether this VM is the first one of a request's ranking."""
        return self._rank(fingerprint)[0] == self._local_vm.name

    def record_failure(self, vm: models.Vm, now_s: float) -> None:
        """Records that a VM didn't respond in time."""
        self._avoided_until_s[vm.name] = now_s + _SILENCE_S

    def _rank(self, fingerprint: int) -> list[str]:
        return permits.rank_vms(fingerprints.to_text(fingerprint), self._vms)
