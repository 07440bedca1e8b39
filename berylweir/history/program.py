"""Runs callers and faults over real sockets and checks the history."""

import asyncio
import collections
import logging
import sys

import defopt

from berylweir.history import task


def run(*, seconds: float = 60.0, seed: int = 1) -> None:
    """Records one history, checks it and prints the violations.

    Prints at most 20 violations. Exits with status 1 if there are any.

    Args:
        seconds: Time during which faults are injected, in seconds.
        seed: Seed of the random choices.
    """
    logging.basicConfig(level=logging.CRITICAL)
    violations, invocations, runs = asyncio.run(task.run_history(seconds, seed))
    outcome_counts = collections.Counter(i.outcome.value for i in invocations)
    print(f"seed {seed}: {len(invocations)} attempts {dict(outcome_counts)}")
    print(f"{len(runs)} executions, {len(violations)} violations")
    for violation in violations[:20]:
        print(violation)
    sys.exit(1 if violations else 0)


def main() -> None:
    """Runs the program with the arguments of the process."""
    defopt.run(run)


if __name__ == "__main__":
    main()
