"""The `berylweir-replay` program."""

import pathlib

import defopt

from berylweir.replay import bench as replay_bench
from berylweir.replay import deployments
from berylweir.replay import generator
from berylweir.replay import schemas

_TRACES = pathlib.Path("bench/traces")
_RESULTS = pathlib.Path("bench/results/latest.json")
_REPORT = pathlib.Path("bench/results/report.html")
_SEED = 20261204


def generate(*, directory: pathlib.Path = _TRACES, seed: int = _SEED) -> None:
    """Writes the traces of all scenarios and deployments.

    Args:
        directory: Directory for the trace files.
        seed: Seed of the random numbers.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for deployment in deployments.DEPLOYMENTS.values():
        for scenario in generator.SCENARIOS:
            trace = generator.generate_trace(scenario, deployment, seed)
            path = directory / f"{scenario}.{deployment.name}.jsonl"
            path.write_bytes(schemas.encode_trace(trace))
            print(f"{path}: {len(trace.requests)} requests")


def bench(
    *, directory: pathlib.Path = _TRACES, results: pathlib.Path = _RESULTS
) -> None:
    """Replays all traces, then writes and prints the measured values.

    Args:
        directory: Directory of the trace files.
        results: JSON file to write.
    """
    records = replay_bench.build_records(replay_bench.run_all(directory))
    replay_bench.write_records(records, results)
    replay_bench.print_table(records)


def report(
    *, directory: pathlib.Path = _TRACES, page: pathlib.Path = _REPORT
) -> None:
    """Replays all traces and writes an HTML page with plots.

    Args:
        directory: Directory of the trace files.
        page: HTML file to write.
    """
    # Only this command needs matplotlib, which is not installed with the
    # programs.
    from berylweir.replay import report as replay_report

    replayed = replay_bench.run_all(directory)
    records = replay_bench.build_records(replayed)
    replay_report.write_page(replayed, records, page)
    print(f"wrote {page}")


def main() -> None:
    """Runs `berylweir-replay` with the arguments of the process."""
    defopt.run({"generate": generate, "bench": bench, "report": report})
