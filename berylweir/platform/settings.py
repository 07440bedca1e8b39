"""Reads the settings file that the platform writes for a gateway process."""

import logging
import os
import pathlib
import tomllib

import msgspec
import result

from berylweir.gateway import models
from berylweir.platform import exceptions

_LOGGER = logging.getLogger(__name__)
SETTINGS_PATH_VARIABLE = "BERYLWEIR_SETTINGS"


class _Listen(msgspec.Struct, frozen=True):
    # Address for callers, as `host:port`.
    front: str
    # Address for the load balancer's readiness checks, as `host:port`.
    ready: str


class _Infra(msgspec.Struct, frozen=True):
    # Address of the object store, as `host:port`.
    addr: str


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    # Fraction of each core's time that is available to the VM.
    cpu_share: float = 0.0
    # Speed relative to a standard core. The threads of a process take turns,
    # so a VM counts as one core that is this many times as fast.
    cores: float = 0.0
    link_mbps: float = 0.0
    # Memory limit of the process, in MiB; 0 if there is none.
    ram_mb: float = 0.0


class _Settings(msgspec.Struct, frozen=True, rename="camel"):
    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: _Listen
    infra: _Infra
    # Entries of the form `name=number`; unknown names are ignored.
    bounds: list[str] = []
    limits: _Limits = _Limits()


class StoreAddress:
    """Address of the object store, reloaded while the process runs.

    The platform may change the settings file of a running process, with or
    without sending SIGHUP.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Creates the address.

        Args:
            address: Host and port from the settings file at startup.
        """
        self._address = address

    @property
    def current(self) -> tuple[str, int]:
        """Current host and port."""
        return self._address

    def reload(self) -> None:
        """Reloads the settings file; on failure, logs and keeps the address."""
        match load():
            case result.Ok(environment):
                if environment.store_address != self._address:
                    _LOGGER.info(
                        "store address changed",
                        extra={
                            "before": self._address,
                            "after": environment.store_address,
                        },
                    )
                self._address = environment.store_address
            case result.Err(failure):
                _LOGGER.warning(
                    "can't reload the settings file; keeping the store address",
                    extra={"failure": failure},
                )


def load() -> result.Result[models.Environment, exceptions.InvalidSettings]:
    """Reads the settings file named by the `BERYLWEIR_SETTINGS` variable.

    Returns:
        The settings, or `InvalidSettings` if the file can't be read or parsed.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return result.Err(exceptions.InvalidSettings(path, str(error)))
    return parse(text, path)


def parse(
    text: str, path: str
) -> result.Result[models.Environment, exceptions.InvalidSettings]:
    """Parses the text of a settings file.

    Args:
        text: Contents of the file, as TOML.
        path: Path of the file, for the failure.

    Returns:
        The settings, or `InvalidSettings` if the text doesn't match the
        schema.
    """
    try:
        raw = msgspec.convert(tomllib.loads(text), _Settings, strict=False)
        return result.Ok(
            models.Environment(
                vm=raw.node,
                host=raw.ip,
                availability_zone=raw.zone,
                caller_address=_parse_address(raw.listen.front),
                ready_address=_parse_address(raw.listen.ready),
                peer_port=raw.port_range[0],
                store_address=_parse_address(raw.infra.addr),
                bounds=_parse_bounds(raw.bounds),
                size=models.VmSize(
                    raw.limits.link_mbps,
                    raw.limits.cpu_share * raw.limits.cores,
                ),
                forward_port=_choose_forward_port(raw.port_range),
                memory_bytes=int(raw.limits.ram_mb * 2**20)
                or models.DEFAULT_MEMORY_BYTES,
            )
        )
    except (tomllib.TOMLDecodeError, msgspec.MsgspecError, ValueError) as error:
        return result.Err(exceptions.InvalidSettings(path, str(error)))


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _choose_forward_port(port_range: tuple[int, int]) -> int:
    """Returns the second port of the range; 0 if it has only one."""
    first, last = port_range
    return first + 1 if first < last else 0


def _parse_bounds(entries: list[str]) -> models.Bounds:
    values = dict(entry.partition("=")[::2] for entry in entries)

    def number(name: str, default: float) -> float:
        return float(values.get(name, default))

    defaults = models.Bounds()
    return models.Bounds(
        retry_ratio=number("retryRatio", defaults.retry_ratio),
        retry_slack=number("retrySlack", defaults.retry_slack),
        retry_window_s=number("retryWindowS", defaults.retry_window_s),
        cold_slack=number("warmupSlack", defaults.cold_slack),
        drain_s=number("drainMs", defaults.drain_s * 1000.0) / 1000.0,
        grace_s=number("graceS", defaults.grace_s),
        max_hold_ms=number("holdMaxMs", defaults.max_hold_ms),
    )
