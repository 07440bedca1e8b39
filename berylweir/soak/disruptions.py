"""Tells which gateways a fault of a soak affects."""

from collections.abc import Sequence

from berylweir.soak import models


def interrupted_vms(fault: models.Fault) -> Sequence[int]:
    """Returns the VMs whose gateways a fault restarts or freezes."""
    match fault:
        case (
            models.Kill(vm, _)
            | models.Stop(vm)
            | models.SignalStopping(vm, _)
            | models.Freeze(vm, _)
        ):
            return (vm,)
        case _:
            return ()


def disrupted_vms(fault: models.Fault, vms: int) -> Sequence[int]:
    """Returns the VMs whose gateways a fault restarts, freezes or cuts off."""
    match fault:
        case (
            models.Kill(vm, _)
            | models.Stop(vm)
            | models.SignalStopping(vm, _)
            | models.Freeze(vm, _)
            | models.StoreLinkFault(int(vm), _, _)
        ):
            return (vm,)
        case models.Isolate(vms=isolated_vms):
            return isolated_vms
        case models.StoreLinkFault(None, _, _) | models.ServerLinkFault():
            return range(vms)
        case _:
            return ()


def vms_cut_from_store(fault: models.Fault, vms: int) -> Sequence[int]:
    """Returns the VMs whose calls to the store a fault disturbs."""
    match fault:
        case models.StoreLinkFault(int(vm), _, _):
            return (vm,)
        case (
            models.StoreLinkFault(None, _, _)
            | models.LateWrites()
            | models.RestoreStore()
        ):
            return range(vms)
        case _:
            return ()
