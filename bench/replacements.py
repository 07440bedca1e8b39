"""Measures what it costs to replace the gateways of a fleet one after another.

The deployment and its callers are those of `berylweir.soak.fleet_replacement`.
"""

import asyncio
import dataclasses
import json
import pathlib

import defopt

from berylweir.soak import fleet_replacement

_RESULTS = pathlib.Path(__file__).parent / "results" / "replacements.json"
# Time without a replacement that the others are compared with, in seconds.
_CALM_S = 10.0


async def _measure(
    vms: list[int], at_once: list[int]
) -> list[fleet_replacement.Measurement]:
    return [
        await fleet_replacement.Experiment(count, batch, order, _CALM_S).run()
        for count, batch in zip(vms, at_once, strict=True)
        for order in fleet_replacement.Order
    ]


def run(
    *, vms: list[int] | None = None, at_once: list[int] | None = None
) -> None:
    """Measures both orders, and writes `bench/results/replacements.json`.

    Args:
        vms: Numbers of gateways; by default 10, twice.
        at_once: For each of these, the number of gateways that are replaced at
            the same time; by default 1 and 2.
    """
    measurements = asyncio.run(_measure(vms or [10, 10], at_once or [1, 2]))
    for measurement in measurements:
        print(measurement)
    records = [dataclasses.asdict(m) for m in measurements]
    _RESULTS.write_text(json.dumps(records, indent=1) + "\n")


if __name__ == "__main__":
    defopt.run(run)
