"""Plans signals and changes of the configuration that overlap."""

import random

from berylweir.soak import fault_schedule
from berylweir.soak import models

# Bounds of the time between the starts of two series, in seconds.
_MIN_PAUSE_S = 1.0
_MAX_PAUSE_S = 5.0
# Most signals in addition to the first one, and the time in which they follow.
_MAX_SIGNALS = 4
_SIGNALS_S = 4.0
# Bounds of the times of changes of the configuration, from the start of a
# series, in seconds: right before a stop, at its start, while gateways close
# idle connections, and after the stop. Share of them that are made.
_CHANGE_TIMES_S = ((-0.3, 0.0), (0.0, 0.3), (2.4, 3.2), (3.5, 6.0))
_CHANGE_SHARE = 0.5
_IDLE_TIMEOUTS_MS = (500, 1000, 2000, 6000, 12_000)
_EXTRA_ROUTES = (0, 10, 1000, 3000)


def generate(
    seed: int, seconds: float, vms: int
) -> list[models.ScheduledFault]:
    """Returns series of planned work, ordered by start time.

    Args:
        seed: Seed of the soak; equal seeds give equal series.
        seconds: Length of the soak.
        vms: Number of VMs.
    """
    rng = random.Random(f"{seed}/planned-series")
    scheduled: list[models.ScheduledFault] = []
    start_s = fault_schedule.FAULT_FREE_MARGIN_S
    while start_s < seconds - fault_schedule.FAULT_FREE_MARGIN_S:
        scheduled += _generate_series(rng, start_s, rng.randrange(vms))
        start_s += rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S)
    scheduled.sort(key=lambda fault: fault.start_s)
    return [s for s in scheduled if s.start_s < seconds]


def _generate_series(
    rng: random.Random, start_s: float, vm: int
) -> list[models.ScheduledFault]:
    """Returns one stop of a gateway, and what is planned around it."""
    signals = [
        models.ScheduledFault(
            start_s + rng.uniform(0.0, _SIGNALS_S),
            models.SignalStopping(vm, rng.choice(list(models.PlannedSignal))),
        )
        for _ in range(rng.randint(0, _MAX_SIGNALS))
    ]
    changes = [
        models.ScheduledFault(
            start_s + rng.uniform(earliest_s, latest_s),
            models.ChangeConfiguration(
                rng.choice(_IDLE_TIMEOUTS_MS), rng.choice(_EXTRA_ROUTES)
            ),
        )
        for earliest_s, latest_s in _CHANGE_TIMES_S
        if rng.random() < _CHANGE_SHARE
    ]
    stop = models.ScheduledFault(start_s, models.Stop(vm))
    return [stop, *signals, *changes]
