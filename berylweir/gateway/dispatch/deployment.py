"""Groups and servers as the store describes them, with the VM's own state."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from berylweir.gateway import models
from berylweir.gateway.dispatch import leaving
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.dispatch import retry_budget

# Removed servers whose statements are remembered.
_MAX_REMOVED = 500


class Deployment:
    """State of all server groups and server instances on this VM."""

    def __init__(
        self, bounds: models.Bounds, instances: leaving.LeavingInstances
    ) -> None:
        """Creates the state without groups and servers.

        Args:
            bounds: Limits for all gateways together.
            instances: Instances that said that they are leaving.
        """
        self._bounds = bounds
        self._leaving = instances
        self._groups: dict[str, dispatch.GroupState] = {}
        # Newest key tables, also of groups that aren't configured yet: the
        # lease holder sends its tables as soon as a VM registers.
        self._tables: dict[str, models.KeyTable] = {}
        self._servers: dict[models.ServerInstance, dispatch.ServerState] = {}
        self._servers_by_group: dict[str, list[dispatch.ServerState]] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        # Servers whose entries were removed, the last one last.
        self._removed: collections.OrderedDict[
            models.ServerInstance, dispatch.ServerState
        ] = collections.OrderedDict()

    @property
    def groups(self) -> Mapping[str, dispatch.GroupState]:
        """All groups by name."""
        return self._groups

    @property
    def servers(self) -> Mapping[models.ServerInstance, dispatch.ServerState]:
        """All servers by instance."""
        return self._servers

    def servers_of(self, group: str) -> Sequence[dispatch.ServerState]:
        """Returns the servers of a group."""
        return self._servers_by_group.get(group, [])

    def eligible_servers(self) -> Iterable[models.BackendServer]:
        """Yields the servers that may get requests."""
        return (s.server for s in self._servers.values() if self.is_eligible(s))

    def is_eligible(self, state: dispatch.ServerState) -> bool:
        """Returns whether the store lets a server get requests."""
        server = state.server
        return (
            not server.is_draining
            and server.availability_zone not in self._evacuated_zones
        )

    def apply_configuration(self, configuration: models.Configuration) -> None:
        """Adds new groups and updates the settings of known ones."""
        bounds = self._bounds
        for name, settings in configuration.groups.items():
            group = self._groups.get(name)
            if group is not None:
                group.settings = settings
                continue
            self._groups[name] = dispatch.GroupState(
                settings,
                retry_budget.RetryBudget(
                    bounds.retry_ratio,
                    bounds.retry_slack,
                    bounds.retry_window_s,
                ),
                self._tables.get(name),
            )

    def update_evacuations(self, availability_zones: frozenset[str]) -> None:
        """Replaces the availability zones that get no requests."""
        self._evacuated_zones = availability_zones

    def update_key_table(self, table: models.KeyTable) -> None:
        """Replaces the key table of a group if the given one is newer."""
        known = self._tables.get(table.group)
        if known is not None and known.order >= table.order:
            return
        self._tables[table.group] = table
        group = self._groups.get(table.group)
        if group is not None:
            group.table = table

    def update_servers(
        self, servers: Mapping[str, models.BackendServer], now_s: float
    ) -> None:
        """Replaces the servers; closes the connections to removed ones.

        Args:
            servers: All of them by name.
            now_s: Time on the loop's clock, in seconds.
        """
        instances = {server.instance: server for server in servers.values()}
        for instance in [key for key in self._servers if key not in instances]:
            removed = self._servers.pop(instance)
            removed.pool.close()
            self._remember(removed)
        for instance, server in instances.items():
            state = self._servers.get(instance)
            if state is None:
                state = dispatch.ServerState(server)
                state.leaving_since_s = self._leaving.since_s(instance)
                earlier = self._removed.pop(instance, None)
                if earlier is not None:
                    state.restore_statements(earlier)
                self._servers[instance] = state
                if server.cold_ms > 0:
                    state.cold_until_s = now_s + server.cold_ms / 1000.0
            elif server.revision > state.server.revision:
                if server.cold_ms > 0:
                    state.cold_until_s = now_s + server.cold_ms / 1000.0
                state.server = server
            if server.is_draining:
                state.pool.close()
        self._servers_by_group = {}
        for state in self._servers.values():
            self._servers_by_group.setdefault(state.server.group, []).append(
                state
            )

    def _remember(self, removed: dispatch.ServerState) -> None:
        """Keeps what a server said, in case its entry is written again."""
        self._removed[removed.server.instance] = removed
        if len(self._removed) > _MAX_REMOVED:
            self._removed.popitem(last=False)

    def close(self) -> None:
        """Closes the idle connections to all servers."""
        for state in self._servers.values():
            state.pool.close()
