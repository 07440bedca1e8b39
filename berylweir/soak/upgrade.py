"""Upgrades a small fleet once, under load, and prints what callers saw."""

import asyncio
import pathlib

import defopt

from berylweir.soak import fleet_replacement

_ROOT = pathlib.Path(__file__).parents[2]
_DEFAULT_VMS = 3
# Time under load before the first VM is replaced, in seconds.
_CALM_S = 3.0


def upgrade(
    *, vms: int = _DEFAULT_VMS, previous: pathlib.Path | None = None
) -> None:
    """Replaces each gateway of a fleet, the lease holder last.

    Args:
        vms: Number of gateways, each a process of its own.
        previous: Source tree of the build that runs at first; by default that
            of this program, so that the gateways are only restarted.
    """
    experiment = fleet_replacement.Experiment(
        vms,
        1,
        fleet_replacement.Order.HOLDER_LAST,
        _CALM_S,
        (previous.resolve(), _ROOT) if previous is not None else (),
    )
    measured = asyncio.run(experiment.run())
    print(
        f"{vms} gateways replaced: ready again after {measured.ready_p50_s} s "
        f"(median), {measured.ready_max_s} s (longest)"
    )
    print(
        f"callers: {measured.sent} requests, {measured.served} served; 99% "
        f"within {measured.p99_ms} ms ({measured.calm_p99_ms} ms before)"
    )
    for status, count in sorted(experiment.statuses.items()):
        if status != 200:
            print(f"callers: {count} x {status or 'no answer'}")
    print(
        f"lease changes: {measured.lease_changes}, keys that changed their "
        f"owner: {measured.owner_changes}"
    )


def main() -> None:
    """Runs the upgrade with the arguments of the process."""
    defopt.run(upgrade)


if __name__ == "__main__":
    main()
