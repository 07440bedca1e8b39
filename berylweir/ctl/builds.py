"""The command that shows which build each VM runs.

It reads the gateways' objects in the platform's store.
"""

import collections
from collections.abc import Sequence
import enum
import typing
from typing import Any

import result

from berylweir.ctl import exceptions
from berylweir.ctl import output
from berylweir.ctl import platform_store
from berylweir.gateway import models

_Outcome = result.Result[None, exceptions.Failure]
# Shown for builds up to 0254d82, which state none.
_UNSTATED_BUILD = "unknown"
# Builds that may run side by side; see docs/upgrades.md.
_MAX_BUILDS = 3


class Obstacle(enum.Enum):
    """Why no further VM should be replaced now."""

    NO_LEASE_HOLDER = "no_lease_holder"
    TOO_MANY_BUILDS = "too_many_builds"


def show(address: str, *, as_json: bool) -> _Outcome:
    """Prints the build and the capabilities of each registered VM.

    Args:
        address: `host:port` of the store.
        as_json: Whether to print JSON instead of a table.
    """
    match platform_store.run(address, platform_store.list_gateway_objects):
        case result.Ok(found):
            pass
        case failure:
            return failure
    holder = next((o.holder for o in found if isinstance(o, models.Lease)), "")
    vms = sorted(
        (o for o in found if isinstance(o, models.Vm)), key=lambda v: v.name
    )
    rows = [_row(vm, holds_lease=vm.name == holder) for vm in vms]
    counts = collections.Counter(row["build"] for row in rows)
    missing = missing_capabilities(vms)
    obstacle = find_obstacle(vms, holder)
    report = {
        "vms": rows,
        "builds": dict(counts),
        "capabilities_missing_on": missing,
        "obstacle": None if obstacle is None else obstacle.value,
    }
    output.show(rows, report, as_json=as_json)
    if not as_json:
        for build, count in counts.most_common():
            print(f"{build}: {count} of {len(vms)} VMs")
        for capability, names in missing.items():
            print(f"{capability}: not on {', '.join(names)}")
        print(_advise(obstacle, holder))
    return result.Ok(None)


def _advise(obstacle: Obstacle | None, holder: str) -> str:
    """Returns what the operator may do next."""
    match obstacle:
        case None:
            return f"the fleet may go on or back; replace {holder} last"
        case Obstacle.NO_LEASE_HOLDER:
            return "wait: no registered VM holds the lease"
        case Obstacle.TOO_MANY_BUILDS:
            return (
                f"wait: more than {_MAX_BUILDS} builds run; replace the VMs of "
                "the oldest one first"
            )
        case _:
            typing.assert_never(obstacle)


def find_obstacle(vms: Sequence[models.Vm], holder: str) -> Obstacle | None:
    """Returns why no further VM should be replaced now; None if one may be.

    Args:
        vms: All registered VMs.
        holder: Name of the VM that holds the lease; empty if none does.
    """
    if holder not in {vm.name for vm in vms}:
        return Obstacle.NO_LEASE_HOLDER
    if len({vm.build for vm in vms}) > _MAX_BUILDS:
        return Obstacle.TOO_MANY_BUILDS
    return None


def _row(vm: models.Vm, *, holds_lease: bool) -> dict[str, Any]:
    return {
        "vm": vm.name,
        "availability_zone": vm.availability_zone,
        "build": vm.build or _UNSTATED_BUILD,
        "capabilities": sorted(vm.capabilities),
        "holds_lease": holds_lease,
    }


def missing_capabilities(vms: Sequence[models.Vm]) -> dict[str, list[str]]:
    """Returns the VMs that lack a capability which others have.

    Args:
        vms: All registered VMs.

    Returns:
        Names of the VMs by capability; none if an upgrade is complete.
    """
    known: set[str] = set().union(*(vm.capabilities for vm in vms))
    missing = {
        capability: [v.name for v in vms if capability not in v.capabilities]
        for capability in sorted(known)
    }
    return {capability: names for capability, names in missing.items() if names}
