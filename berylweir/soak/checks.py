"""Checks the gateways' guarantees on the records of callers and servers."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

from berylweir.soak import models
from berylweir.standin.gateway_platform import server as server_standin

# Response statuses which guarantee that the request was not executed.
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


def find_violations(
    exchanges: Sequence[models.Exchange],
    servers: Iterable[server_standin.Server],
    stops: Sequence[models.PlannedStop],
    killed_instances: frozenset[tuple[int, int]],
) -> list[str]:
    """Returns a line for each violation of a guarantee.

    These are:

    - a request that isn't idempotent was executed more than once;
    - a request was executed though the status says that it wasn't;
    - a response with status 200 is incomplete or belongs to another request;
    - a request that was sent before a planned stop of its gateway got no
      response, though its caller still waited for it then.

    Args:
        exchanges: All requests of the callers.
        servers: The backend servers.
        stops: Gateway instances that were asked to end.
        killed_instances: Gateway instances that were killed, as pairs of VM
            and instance number.
    """
    servers_by_name = {server.name: server for server in servers}
    execution_counts = collections.Counter(
        run.request_id
        for server in servers_by_name.values()
        for run in server.executions
    )
    stop_times_s = {
        (stop.vm, stop.instance): stop.requested_s for stop in stops
    }
    violations = []
    for exchange in exchanges:
        request = f"{exchange.request_id} {exchange.path}"
        execution_count = execution_counts[exchange.request_id]
        if not exchange.is_idempotent and execution_count > 1:
            violations.append(f"run {execution_count} times: {request}")
        if exchange.status in _NOT_EXECUTED_STATUSES and execution_count:
            violations.append(
                f"refused with {exchange.status}, yet run: {request}"
            )
        if exchange.status == 200 and not _is_genuine(
            exchange, servers_by_name
        ):
            violations.append(f"not its own whole answer: {request}")
        gateway_instance = (exchange.vm, exchange.instance)
        if (
            exchange.status is None
            and gateway_instance in stop_times_s
            and gateway_instance not in killed_instances
            and exchange.sent_s < stop_times_s[gateway_instance]
            and exchange.ended_s > stop_times_s[gateway_instance]
        ):
            violations.append(f"lost at a planned stop: {request}")
    return violations


def _is_genuine(
    exchange: models.Exchange, servers: dict[str, server_standin.Server]
) -> bool:
    """Returns whether the body is a server's signed response to the request.

    The body starts with the name of the server.
    """
    name = exchange.body.decode(errors="replace").partition(" ")[0]
    server = servers.get(name)
    if server is None:
        return False
    return server.matches_response(
        exchange.request_id, exchange.path, exchange.body, exchange.seal
    )
