"""Which home runs non-idempotent work of an unkeyed group.

Each id has one home among the VMs that have servers of the group, so that all
repeats of a request meet the same ledger. When the VMs change, some ids get
another home, which does not know what the former one ran.
"""

from collections.abc import Sequence
import dataclasses

import xxhash

# Time in which a changed table reaches every VM; the former home may run ids
# for that long.
_TABLE_PROPAGATION_S = 6.0


def home_of(request_id: str, vms: Sequence[str]) -> str:
    """Returns the home of an id by rendezvous hash, empty if there is none.

    Args:
        request_id: Idempotency key.
        vms: VMs that are home of a server of the group.
    """
    # Two spellings of a UUID are the same id.
    digits = request_id.replace("-", "").lower()
    return max(
        vms,
        key=lambda vm: xxhash.xxh3_64_intdigest(f"{digits}\0{vm}".encode()),
        default="",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _FormerVms:
    vms: tuple[str, ...]
    unknown_before_s: float


class RequestIdHomes:
    """The VMs that share the ids of a group, now and lately."""

    def __init__(self, clock_skew_s: float) -> None:
        """Creates a group without VMs.

        Args:
            clock_skew_s: Allowance between clocks, in seconds.
        """
        self._vm = ""
        self._clock_skew_s = clock_skew_s
        self._vms: tuple[str, ...] = ()
        self._former: list[_FormerVms] = []

    def set_vms(self, vm: str, vms: tuple[str, ...], wall_s: float) -> None:
        """Takes over the VMs that share the ids.

        Args:
            vm: Name of this VM.
            vms: VMs that are home of a server of the group.
            wall_s: Wall-clock time, in seconds.
        """
        self._vm = vm
        self._former = [f for f in self._former if f.unknown_before_s > wall_s]
        if self._vms != vms:
            self._former.append(
                _FormerVms(
                    self._vms,
                    wall_s + _TABLE_PROPAGATION_S + self._clock_skew_s,
                )
            )
        self._vms = vms

    def may_have_run_elsewhere(
        self, request_id: str, created_at_s: float
    ) -> bool:
        """Returns whether a former home may have run the id.

        Args:
            request_id: Idempotency key.
            created_at_s: Wall-clock time at which the id was made, in seconds.
        """
        return any(
            created_at_s < f.unknown_before_s
            and home_of(request_id, f.vms) != self._vm
            for f in self._former
        )
