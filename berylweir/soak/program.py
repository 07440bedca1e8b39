"""The `berylweir-soak` program."""

import asyncio
import logging
import pathlib
import shutil
import signal
import sys
import tempfile

import defopt

from berylweir.soak import models
from berylweir.soak import runner


def soak(
    *,
    seed: int = 1,
    seconds: float = 40.0,
    logs: str = "",
    vms: int = runner.DEFAULT_VMS,
    isolation: bool = False,
    check_isolated: bool = False,
    harmful: bool = False,
    rollouts: bool = False,
    pipelining: bool = False,
    classes: list[models.FaultClass] | None = None,
    builds: list[pathlib.Path] | None = None,
) -> None:
    """Runs one soak of the gateway programs and prints the violations.

    Exits with status 1 if there are any.

    Args:
        seed: Seed of the faults and requests; equal seeds give equal ones.
        seconds: Length of the soak, in seconds.
        logs: Directory for settings and logs. If empty, a temporary one is
            used, which is kept unless the soak ends without violations.
        vms: Number of gateways, each a process of its own.
        isolation: Also cut gateways off from all servers, while callers, the
            store and the other gateways reach them.
        check_isolated: Whether it is a violation if they then serve too few
            requests.
        harmful: Also send a request that ends each server that runs it.
        rollouts: Change the build by rollouts that keep on amid the other
            faults: a canary, an upgrade that stops half-way and is completed or
            rolled back, and one more change. All gateways begin with the first
            of two builds.
        pipelining: Also have callers send requests before the earlier ones are
            answered, and planned stops, signals and changes of the
            configuration overlap.
        classes: Classes of faults in addition to the usual ones.
        builds: Source trees of the builds that each gateway runs in turn, from
            one start to the next; by default that of this program.
    """
    logging.basicConfig(level=logging.INFO, format="%(message)s")
    directory = pathlib.Path(logs or tempfile.mkdtemp(prefix="berylweir-soak-"))
    directory.mkdir(parents=True, exist_ok=True)
    logging.info("logs in %s", directory)
    soak_run = runner.Soak(
        seed,
        seconds,
        directory,
        vms,
        has_isolations=isolation,
        checks_isolated=check_isolated,
        has_harmful_request=harmful,
        has_rollouts=rollouts,
        has_pipelining=pipelining,
        classes=classes or (),
        builds=[build.resolve() for build in builds or ()],
    )
    violations = asyncio.run(_run_soak(soak_run))
    for violation in violations:
        print(violation)
    if harmful:
        print(f"seed {seed}: {soak_run.ended_by_harmful} servers ended")
    if isolation:
        print(f"seed {seed}: {soak_run.isolated_counts}")
    if pipelining:
        print(f"seed {seed}: {soak_run.pipelining_result}")
    if models.FaultClass.UNEVEN_LOAD in (classes or ()):
        print(f"seed {seed}: a key was moved after {soak_run.moved_after_s} s")
    print(f"seed {seed}: {len(violations)} broken")
    if violations:
        sys.exit(1)
    if not logs:
        shutil.rmtree(directory)


async def _run_soak(soak: runner.Soak) -> list[str]:
    """Runs a soak; on SIGTERM, cancels it so that it ends its gateways."""
    task = asyncio.create_task(soak.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main() -> None:
    """Runs `berylweir-soak` with the arguments of the process."""
    defopt.run(soak)


if __name__ == "__main__":
    main()
