"""The `berylweir-gateway` program."""

import signal
import sys

if __name__ == "__main__":
    # The platform may send SIGHUP, to have the settings read again, while the
    # imports below still run. Its default action would end the process. It
    # can be ignored here because the settings are read after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import result

from berylweir import process
from berylweir.gateway import supervisor
from berylweir.observability import counters
from berylweir.observability import handlers
from berylweir.platform import settings

_STANDARD_OUTPUT = 1
DEFAULT_METRICS_PORT = 9464


def gateway(
    *,
    check: bool = False,
    log_level: str = "INFO",
    metrics_port: int = DEFAULT_METRICS_PORT,
) -> None:
    """Forwards requests of the platform's callers to backend servers.

    Reads the settings file that the platform names in the environment.

    Args:
        check: Only check the settings, and exit with status 2 if they are
            invalid.
        log_level: Lowest level of log lines to write.
        metrics_port: TCP port on which the metrics are served.
    """
    match settings.load():
        case result.Err(failure):
            print(failure, file=sys.stderr)
            raise SystemExit(process.EXIT_INVALID_SETTINGS)
        case result.Ok(environment):
            pass
    if check:
        print("settings are valid")
        return
    metrics = counters.Counters()
    address = settings.StoreAddress(environment.store_address)
    process.run_tree(
        supervisor.build(environment, address, metrics, metrics_port),
        log_level,
        handlers.NonBlockingHandler(_STANDARD_OUTPUT, metrics),
        address.reload,
    )


def main() -> None:
    """Runs the program."""
    if len(sys.argv) == 1:
        gateway()
        return
    # Importing it takes a quarter of the program's start, and the platform
    # starts gateways without arguments.
    import defopt

    defopt.run(gateway)


if __name__ == "__main__":
    main()
