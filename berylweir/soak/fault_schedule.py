"""Which faults a seed brings, and when."""

import random

from berylweir.soak import models

# Longest pause between two faults, in seconds; faults overlap.
_PAUSE_MAX_S = 0.8
# Longest duration of a fault, in seconds; some outlast grants of 2.5 s.
_FAULT_MAX_S = 3.5
# Time without new faults at the start and at the end, in seconds: all servers
# register, and all faults end.
QUIET_S = 4.0


def create(
    seed: int, seconds: float, vms: int, servers: int
) -> list[models.Timed]:
    """Returns the faults of a soak in the order of their times.

    Args:
        seed: Equal seeds bring equal faults.
        seconds: Length of the soak, in seconds.
        vms: Number of gateways.
        servers: Number of backend servers.
    """
    chance = random.Random(seed)
    found = []
    at_s = QUIET_S
    while at_s < seconds - QUIET_S:
        found.append(models.Timed(at_s, _fault(chance, vms, servers)))
        at_s += chance.uniform(0.0, _PAUSE_MAX_S)
    return found


def _fault(chance: random.Random, vms: int, servers: int) -> models.Fault:
    vm = chance.randrange(vms)
    server = chance.randrange(servers)
    trouble = chance.choice(list(models.Trouble))
    for_s = chance.uniform(0.1, _FAULT_MAX_S)
    choices: list[models.Fault] = [
        models.Kill(vm, chance.uniform(0.0, 1.0)),
        models.Stop(vm),
        models.Freeze(vm, for_s),
        models.Reload(vm),
        models.StoreTrouble(vm, trouble, for_s),
        models.StoreTrouble(None, trouble, for_s),
        models.ServerTrouble(server, trouble, for_s),
        models.LateWrites(chance.randrange(1, 4)),
        models.Reconfigure(),
        models.Deregister(server, for_s),
    ]
    return chance.choice(choices)
