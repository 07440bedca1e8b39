"""Assigns non-idempotent requests of an unkeyed group to homes by their ids.

Each id has one home among the VMs that are home of servers of the group, so
that all repeats of a request reach the same idempotency table. When these VMs
change, some ids get another home, which does not know the requests that the
former one ran.
"""

from collections.abc import Sequence
import dataclasses

import xxhash

# Time within which a changed routing table reaches every VM. Until then, other
# VMs may still send ids to their former home.
_TABLE_PROPAGATION_S = 6.0


def home_of(request_id: str, vms: Sequence[str]) -> str:
    """Returns the home of an id by rendezvous hashing, or "" without VMs.

    Args:
        request_id: Idempotency key.
        vms: VMs that are home of a server of the group.
    """
    # Hyphens and the case of the digits don't distinguish UUIDs.
    digits = request_id.replace("-", "").lower()
    return max(
        vms,
        key=lambda vm: xxhash.xxh3_64_intdigest(f"{digits}\0{vm}".encode()),
        default="",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _FormerVms:
    """VMs among which ids were distributed before a change.

    Attributes:
        vms: The VMs.
        unknown_before_s: Wall-clock time, in seconds. These VMs may have run
            ids that were created before it.
    """

    vms: tuple[str, ...]
    unknown_before_s: float


class RequestIdHomes:
    """Current and recent VMs among which the ids of a group are distributed."""

    def __init__(self, clock_skew_s: float) -> None:
        """Creates an instance without VMs.

        Args:
            clock_skew_s: Largest difference between the clocks of callers and
                VMs, in seconds.
        """
        self._vm = ""
        self._clock_skew_s = clock_skew_s
        self._vms: tuple[str, ...] = ()
        self._former_vms: list[_FormerVms] = []

    def set_vms(self, vm: str, vms: tuple[str, ...], wall_s: float) -> None:
        """Replaces the VMs among which the ids are distributed.

        Args:
            vm: Name of this VM.
            vms: VMs that are home of a server of the group.
            wall_s: Wall-clock time, in seconds.
        """
        self._vm = vm
        self._former_vms = [
            f for f in self._former_vms if f.unknown_before_s > wall_s
        ]
        if self._vms != vms:
            self._former_vms.append(
                _FormerVms(
                    self._vms,
                    wall_s + _TABLE_PROPAGATION_S + self._clock_skew_s,
                )
            )
        self._vms = vms

    def may_have_run_elsewhere(
        self, request_id: str, created_at_s: float
    ) -> bool:
        """Returns whether another VM may have run the id as its home.

        Args:
            request_id: Idempotency key.
            created_at_s: Wall-clock time at which the id was created, in
                seconds.
        """
        return any(
            created_at_s < f.unknown_before_s
            and home_of(request_id, f.vms) != self._vm
            for f in self._former_vms
        )
