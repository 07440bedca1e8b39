"""Plans changes of the gateways' build during a soak."""

import random

from berylweir.soak import models

# Bounds of the pause between two VMs of a rollout, in seconds.
_MIN_PAUSE_S = 0.2
_MAX_PAUSE_S = 1.5
# Share of rollouts in which the lease holder is frozen, and for how long, in
# seconds.
_FREEZE_SHARE = 0.3
_MAX_FREEZE_S = 4.0


def generate(
    seed: int, seconds: float, vms: int
) -> list[models.ScheduledFault]:
    """Returns a canary, an upgrade that stops half-way, and what follows.

    The upgrade is completed or rolled back, and then undone or done again. All
    VMs begin with build 0.

    Args:
        seed: Seed of the soak; equal seeds give equal rollouts.
        seconds: Length of the soak.
        vms: Number of VMs.
    """
    rng = random.Random(f"{seed}/rollouts")
    order = list(range(vms))
    rng.shuffle(order)
    last_build = rng.randrange(2)
    phases = (
        (0.1, 1, order[:1]),
        (0.3, 1, order[: (vms + 1) // 2]),
        (0.5, 1 - last_build, order),
        (0.75, last_build, order),
    )
    return [
        models.ScheduledFault(
            seconds * (share + rng.uniform(0.0, 0.05)),
            models.Rollout(
                build,
                tuple(changed),
                rng.choice(list(models.RolloutOrder)),
                rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S),
                rng.uniform(0.5, _MAX_FREEZE_S)
                if rng.random() < _FREEZE_SHARE
                else 0.0,
            ),
        )
        for share, build, changed in phases
    ]


def sort_vms(rollout: models.Rollout, holder: int | None) -> list[int]:
    """Returns the VMs of a rollout in the order in which they change.

    Args:
        rollout: The rollout.
        holder: Number of the VM that holds the lease; None if none does.
    """
    others = [vm for vm in rollout.vms if vm != holder]
    holders = [vm for vm in rollout.vms if vm == holder]
    match rollout.order:
        case models.RolloutOrder.AS_LISTED:
            return list(rollout.vms)
        case models.RolloutOrder.HOLDER_FIRST:
            return holders + others
        case models.RolloutOrder.HOLDER_LAST:
            return others + holders
