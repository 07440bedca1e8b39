"""Random schedule of the faults of a soak."""

import random

from berylweir.soak import models

# Longest time between the starts of two faults. Faults may overlap.
_MAX_PAUSE_S = 0.8
# The same for statements of servers and restorations of the store.
_MAX_STATEMENT_PAUSE_S = 4.0
# Longest duration of a server's statement.
_MAX_STATEMENT_DURATION_S = 12.0
# Longest duration of a fault; some have to outlast a grant of 2.5 s.
_MAX_FAULT_DURATION_S = 3.5
# Longest time between the starts of two isolations, and their durations.
_MAX_ISOLATION_PAUSE_S = 10.0
_MIN_ISOLATION_DURATION_S = 3.5
_MAX_ISOLATION_DURATION_S = 8.0
# Faults of the links to the store and to single servers.
_LINK_FAULTS = (
    models.LinkFault.DELAY,
    models.LinkFault.RESET,
    models.LinkFault.ONE_WAY,
    models.LinkFault.SILENT,
)
_ISOLATION_FAULTS = (
    models.LinkFault.SILENT,
    models.LinkFault.RESET,
    models.LinkFault.REFUSE_NEW,
)
# Time without new faults at the start, in which all servers register, and at
# the end, in which all faults end.
FAULT_FREE_MARGIN_S = 4.0


def generate(
    seed: int,
    seconds: float,
    vms: int,
    servers: int,
    *,
    has_isolations: bool = False,
) -> list[models.ScheduledFault]:
    """Returns the faults of a soak, ordered by start time.

    Args:
        seed: Seed of the random choices. Equal arguments give equal results.
        seconds: Length of the soak, in seconds.
        vms: Number of gateways.
        servers: Number of backend servers.
        has_isolations: Whether gateways are cut off from all servers as well.
            The other faults are the same with and without.
    """
    rng = random.Random(seed)
    scheduled_faults = []
    start_s = FAULT_FREE_MARGIN_S
    while start_s < seconds - FAULT_FREE_MARGIN_S:
        scheduled_faults.append(
            models.ScheduledFault(start_s, _random_fault(rng, vms, servers))
        )
        start_s += rng.uniform(0.0, _MAX_PAUSE_S)
    # These have choices of their own, so that they don't change the faults
    # above for a seed.
    statement_rng = random.Random(f"{seed}/statements")
    start_s = FAULT_FREE_MARGIN_S
    while start_s < seconds - FAULT_FREE_MARGIN_S:
        fault = _random_statement(statement_rng, servers)
        scheduled_faults.append(models.ScheduledFault(start_s, fault))
        start_s += statement_rng.uniform(0.0, _MAX_STATEMENT_PAUSE_S)
    if has_isolations:
        scheduled_faults += _generate_isolations(seed, seconds, vms)
    return sorted(scheduled_faults, key=lambda scheduled: scheduled.start_s)


def _generate_isolations(
    seed: int, seconds: float, vms: int
) -> list[models.ScheduledFault]:
    """Returns isolations of one gateway, or of most of them at once."""
    rng = random.Random(f"{seed}/isolations")
    scheduled_faults = []
    start_s = FAULT_FREE_MARGIN_S
    while start_s < seconds - FAULT_FREE_MARGIN_S:
        majority = rng.randint(min(vms // 2 + 1, vms - 1), vms - 1)
        count = rng.choice((1, max(1, majority)))
        duration_s = rng.uniform(
            _MIN_ISOLATION_DURATION_S, _MAX_ISOLATION_DURATION_S
        )
        fault = models.Isolate(
            tuple(sorted(rng.sample(range(vms), count))),
            rng.choice(_ISOLATION_FAULTS),
            min(duration_s, seconds - start_s),
        )
        scheduled_faults.append(models.ScheduledFault(start_s, fault))
        start_s += rng.uniform(0.0, _MAX_ISOLATION_PAUSE_S)
    return scheduled_faults


def _random_fault(rng: random.Random, vms: int, servers: int) -> models.Fault:
    vm = rng.randrange(vms)
    server = rng.randrange(servers)
    link_fault = rng.choice(_LINK_FAULTS)
    duration_s = rng.uniform(0.1, _MAX_FAULT_DURATION_S)
    candidates: list[models.Fault] = [
        models.Kill(vm, rng.uniform(0.0, 1.0)),
        models.Stop(vm),
        models.Freeze(vm, duration_s),
        models.Reload(vm),
        models.StoreLinkFault(vm, link_fault, duration_s),
        models.StoreLinkFault(None, link_fault, duration_s),
        models.ServerLinkFault(server, link_fault, duration_s),
        models.LateWrites(rng.randrange(1, 4)),
        models.Reconfigure(),
        models.Deregister(server, duration_s),
    ]
    return rng.choice(candidates)


def _random_statement(rng: random.Random, servers: int) -> models.Fault:
    server = rng.randrange(servers)
    duration_s = rng.uniform(1.0, _MAX_STATEMENT_DURATION_S)
    candidates: list[models.Fault] = [
        models.LimitServer(server, rng.choice((0.5, 3.0, 10.0)), duration_s),
        models.PauseServer(server, rng.uniform(0.5, 3.0), duration_s),
        models.ReplaceServer(server, duration_s),
        models.RestoreStore(rng.uniform(0.5, 9.0), rng.uniform(0.0, 2.0)),
    ]
    return rng.choice(candidates)
