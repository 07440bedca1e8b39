"""The `berylweir-standin` program, which serves one stand-in."""

import defopt

from berylweir import process
from berylweir.standin import backend as backend_standin
from berylweir.standin import platform as platform_standin
from berylweir.standin import task
from berylweir.supervision import models as supervision
from berylweir.supervision import supervisor


def platform(*, host: str = "127.0.0.1", port: int = 7000) -> None:
    """Serves the platform's object API from memory.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on.
    """
    platform_task = task.PlatformTask(
        platform_standin.PlatformState(), host, port
    )
    _run("platform", platform_task.run)


def backend(
    name: str,
    *,
    host: str = "127.0.0.1",
    port: int = 7200,
    slots: int = 3,
    service_ms: float = 1.0,
    cold_s: float = 0.0,
    unchecked: bool = False,
) -> None:
    """Serves requests as one backend server.

    Args:
        name: Name of the backend server.
        host: IP address to listen on.
        port: TCP port to listen on.
        slots: Number of requests that it executes at the same time.
        service_ms: Execution time of a request, in milliseconds.
        cold_s: Time after the start during which it executes one request at a
            time, in seconds.
        unchecked: Accept requests for any slice, without checking grants.
    """
    config = backend_standin.BackendConfig(
        name,
        slots=slots,
        service_s=service_ms / 1000.0,
        cold_s=cold_s,
        checks_grants=not unchecked,
    )
    state = backend_standin.BackendState(config)
    _run(name, task.BackendTask(state, host, port).run)


def _run(name: str, run: supervision.ChildFunction) -> None:
    process.run_tree(
        supervisor.Supervisor("standin", (supervision.ChildSpec(name, run),)),
        "INFO",
    )


def main() -> None:
    """Runs the subcommand that the command line names."""
    defopt.run([platform, backend])
