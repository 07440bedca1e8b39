"""Reports which builds run beside this one."""

import logging

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.observability import counters

_LOGGER = logging.getLogger(__name__)


class FleetBuilds:
    """Logs the first VM of each build that differs from the local one."""

    def __init__(self, local_vm: models.Vm, metrics: counters.Counters) -> None:
        """Creates a record of this build only.

        Args:
            local_vm: VM of this gateway.
            metrics: Counters.
        """
        self._local_vm = local_vm
        self._metrics = metrics
        self._seen = {local_vm.build}

    def on_store_update(self, message: messages.StoreUpdate) -> None:
        """Logs the builds of the registered gateways that are new here."""
        match message:
            case messages.VmsChanged(vms):
                for vm in vms.values():
                    if vm.build not in self._seen:
                        self._record(vm)
            case _:
                pass

    def _record(self, vm: models.Vm) -> None:
        self._seen.add(vm.build)
        self._metrics.count("fleet.other_builds")
        _LOGGER.info(
            "another build seen",
            extra={
                "vm": vm.name,
                "its_build": vm.build or None,
                "its_capabilities": sorted(vm.capabilities),
                "build": self._local_vm.build,
            },
        )
