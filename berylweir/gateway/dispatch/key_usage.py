"""Collects what a VM reports of its requests to the lease holder."""

from collections.abc import Iterable
from collections.abc import Mapping

from berylweir.gateway import messages
from berylweir.gateway.dispatch import models as dispatch


def collect(
    vm: str,
    groups: Mapping[str, dispatch.GroupState],
    servers: Iterable[dispatch.ServerState],
) -> messages.KeyUsage:
    """Returns the usage since the last call, and starts counting anew.

    Args:
        vm: Name of this VM.
        groups: State of all groups, by name.
        servers: State of all servers.
    """
    keys = {}
    for name, group in groups.items():
        if group.requested_keys:
            keys[name] = tuple(group.requested_keys)
            group.requested_keys.clear()
    usage_by_server = {}
    for state in servers:
        is_leaving = state.leaving_since_s is not None
        if (
            state.served
            or state.failed
            or state.limit is not None
            or is_leaving
        ):
            usage_by_server[state.server.name] = messages.ServerUsage(
                state.served,
                state.failed,
                state.service_ms,
                state.limit,
                state.server.born_ms if is_leaving else None,
            )
            state.served = state.failed = 0
    return messages.KeyUsage(vm, keys, usage_by_server)
