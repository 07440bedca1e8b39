"""Plans the faults of classes that a soak has in addition to its usual ones."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import random

from berylweir.platform import objects
from berylweir.soak import fault_schedule
from berylweir.soak import models

# Bounds of a freeze of the lease holder, in seconds. Its successor acts about
# 2 s after the start.
_MIN_HOLDER_FREEZE_S = 3.5
_MAX_HOLDER_FREEZE_S = 6.0
# Longest time from the start of the freeze to the copy of the store, so that
# the copy names the frozen holder, in seconds.
_MAX_COPY_DELAY_S = 1.6
# Longest time from the return of the store to the end of the freeze.
_MAX_THAW_DELAY_S = 0.4
_MIN_STORE_AWAY_S = 0.2
_MAX_STORE_AWAY_S = 1.0
# Bounds of the time for which a server is away before the freeze.
_MIN_LEAD_S = 1.0
_MAX_LEAD_S = 2.0
# Bounds of the time for which a server sends answers again, in seconds.
_MIN_COPYING_S = 2.0
_MAX_COPYING_S = 5.0
# Shares of its answers that it sends again.
_COPY_SHARES = (0.1, 0.3, 0.6)
# Bounds of the time that it takes for a request meanwhile, in seconds.
_MIN_COPYING_SERVICE_S = 0.1
_MAX_COPYING_SERVICE_S = 0.8
# Bounds of the time for which odd entries exist, in seconds.
_MIN_ODD_S = 6.0
_MAX_ODD_S = 12.0
# Kinds of these entries, with prefixes of names that sort before and after the
# others.
_ODD_KINDS = (
    objects.SERVERS_KIND,
    objects.SERVERS_KIND,
    objects.CONFIGURATION_KIND,
    objects.GATEWAY_KIND,
    objects.KEY_TABLES_KIND,
)
_ODD_NAMES = ("a-odd", "z-odd")
# Bounds of the time of long bodies, in seconds.
_MIN_BODIES_S = 3.0
_MAX_BODIES_S = 6.0
# Bounds of the number of long bodies at the same time, in each direction.
_BODY_COUNTS = {
    models.BodyDirection.UPLOAD: (4, 10),
    models.BodyDirection.DOWNLOAD: (40, 120),
}
# Shares of the usual faults that remain beside those of classes. A fault of a
# class takes several steps, and most other faults break its course.
_USUAL_SHARES = (0.1, 0.4, 1.0)


def generate(
    seed: int,
    seconds: float,
    vms: int,
    servers: int,
    classes: Collection[models.FaultClass],
) -> list[models.ScheduledFault]:
    """Returns the faults of some classes.

    Each class has choices of its own, so that it doesn't change the faults of
    the others for a seed.

    Args:
        seed: Seed of the soak; equal seeds give equal faults.
        seconds: Length of the soak, in seconds.
        vms: Number of gateways.
        servers: Number of backend servers with faults.
        classes: The classes.
    """
    scheduled_faults = []
    for fault_class in classes:
        if fault_class not in _PLANS:
            continue  # It has no faults of its own.
        rng = random.Random(f"{seed}/{fault_class.value}")
        choose, max_pause_s = _PLANS[fault_class]
        start_s = fault_schedule.FAULT_FREE_MARGIN_S
        while start_s < seconds - fault_schedule.FAULT_FREE_MARGIN_S:
            scheduled_faults.append(
                models.ScheduledFault(start_s, choose(rng, vms, servers))
            )
            start_s += rng.uniform(max_pause_s / 2.0, max_pause_s)
    return scheduled_faults


def thin_out(
    seed: int, usual_faults: Sequence[models.ScheduledFault]
) -> list[models.ScheduledFault]:
    """Returns the usual faults that remain beside those of classes.

    Args:
        seed: Seed of the soak; it chooses their share as well.
        usual_faults: Faults that the soak has without classes.
    """
    rng = random.Random(f"{seed}/thin-out")
    share = rng.choice(_USUAL_SHARES)
    return [fault for fault in usual_faults if rng.random() < share]


def _restore_under_frozen_holder(
    rng: random.Random, vms: int, servers: int
) -> models.Fault:
    freeze_s = rng.uniform(_MIN_HOLDER_FREEZE_S, _MAX_HOLDER_FREEZE_S)
    thaw_delay_s = rng.uniform(0.0, _MAX_THAW_DELAY_S)
    copy_delay_s = rng.uniform(0.0, _MAX_COPY_DELAY_S)
    return models.RestoreUnderFrozenHolder(
        # Servers with even numbers have keys.
        2 * rng.randrange(servers // 2),
        rng.uniform(_MIN_LEAD_S, _MAX_LEAD_S),
        freeze_s,
        thaw_delay_s,
        models.RestoreStore(
            freeze_s - thaw_delay_s - copy_delay_s,
            rng.uniform(_MIN_STORE_AWAY_S, _MAX_STORE_AWAY_S),
        ),
    )


def _copy_answers(rng: random.Random, vms: int, servers: int) -> models.Fault:
    return models.CopyAnswers(
        rng.randrange(servers),
        rng.choice(_COPY_SHARES),
        rng.uniform(_MIN_COPYING_SERVICE_S, _MAX_COPYING_SERVICE_S),
        rng.uniform(_MIN_COPYING_S, _MAX_COPYING_S),
    )


def _write_odd_entries(
    rng: random.Random, vms: int, servers: int
) -> models.Fault:
    shapes = list(models.OddShape)
    return models.WriteOddEntries(
        rng.randrange(vms),
        rng.choice(_ODD_KINDS),
        rng.choice(_ODD_NAMES),
        tuple(rng.sample(shapes, rng.randint(1, len(shapes)))),
        rng.uniform(_MIN_ODD_S, _MAX_ODD_S),
    )


def _send_long_bodies(
    rng: random.Random, vms: int, servers: int
) -> models.Fault:
    direction = rng.choice(list(models.BodyDirection))
    return models.LongBodies(
        rng.randrange(vms),
        direction,
        rng.randint(*_BODY_COUNTS[direction]),
        rng.uniform(_MIN_BODIES_S, _MAX_BODIES_S),
    )


# How the faults of each class are chosen, and the longest time between the
# starts of two, in seconds.
_PLANS: dict[
    models.FaultClass,
    tuple[Callable[[random.Random, int, int], models.Fault], float],
] = {
    models.FaultClass.FROZEN_HOLDER: (_restore_under_frozen_holder, 12.0),
    models.FaultClass.LATE_COPIES: (_copy_answers, 2.0),
    models.FaultClass.ODD_ENTRIES: (_write_odd_entries, 6.0),
    models.FaultClass.LONG_BODIES: (_send_long_bodies, 5.0),
}
