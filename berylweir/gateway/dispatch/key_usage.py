"""Collects what a VM reports of its requests to the lease holder."""

from collections.abc import Iterable
from collections.abc import Mapping

from berylweir.gateway import messages
from berylweir.gateway.dispatch import models as dispatch


def collect(
    vm: str,
    groups: Mapping[str, dispatch.GroupState],
    servers: Iterable[dispatch.ServerState],
    *,
    is_isolated: bool,
) -> messages.KeyUsage:
    """Returns the usage since the last call, and starts counting anew.

    Args:
        vm: Name of this VM.
        groups: State of all groups, by name.
        servers: State of all servers.
        is_isolated: Whether this VM can't open a connection to any server.
    """
    keys = {}
    for name, group in groups.items():
        if group.requested_keys:
            keys[name] = tuple(group.requested_keys)
            group.requested_keys.clear()
    usage_by_server = {
        state.server.name: usage
        for state in servers
        if (usage := state.take_usage()) is not None
    }
    return messages.KeyUsage(vm, keys, usage_by_server, is_isolated)
