"""Checks that gateways heed what servers say of themselves.

The bounds are those of the platform's rules. A gateway that was restarted,
frozen or cut off in the time in question is excused.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from berylweir.gateway import models as gateway
from berylweir.soak import models
from berylweir.standin.gateway_platform import server as server_standin

# Time from the first response with a limit until it must be kept, in seconds.
_LIMIT_GRACE_S = 3.0
# Requests in any window of this many seconds, as a multiple of what the limit
# allows, and in addition to that.
_LIMIT_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5.0
# Time in which a gateway must have heard what a server said, in seconds.
_HEARD_AFTER_S = 0.5
# Requests that may arrive from a gateway during a pause.
_MAX_REQUESTS_IN_PAUSE = 2

Arrivals = Sequence[server_standin.Arrival]


def find_violations(
    servers: Iterable[server_standin.Server],
    vms: Mapping[str, int],
    disruptions: Sequence[models.Disruption],
) -> list[str]:
    """Returns a line for each statement of a server that wasn't heeded.

    Args:
        servers: The backend servers.
        vms: Number of the VM that each request was sent to, by its id.
        disruptions: Disruptions of the gateways.
    """
    violations: list[str] = []
    for server in servers:
        known = [a for a in server.arrivals if a.request_id in vms]
        violations += _check_limits(server.name, known, vms, disruptions)
        for vm in sorted(set(vms.values())):
            own = [a for a in known if vms[a.request_id] == vm]
            own_disruptions = [d for d in disruptions if d.vm == vm]
            violations += [
                f"{server.name}, vm-{vm}: {violation}"
                for violation in (
                    *_check_leaving(own, own_disruptions),
                    *_check_pauses(own, own_disruptions),
                )
            ]
    return violations


def _check_limits(
    server: str,
    arrivals: Arrivals,
    vms: Mapping[str, int],
    disruptions: Sequence[models.Disruption],
) -> list[str]:
    """Checks each time in which a server named one limit."""
    violations = []
    period: list[server_standin.Arrival] = []
    for arrival in (*arrivals, None):
        limit = arrival.limit_per_s if arrival is not None else None
        if period and limit != period[0].limit_per_s:
            violations += _check_limit(server, period, vms, disruptions)
            period = []
        if arrival is not None and limit is not None:
            period.append(arrival)
    return violations


def _check_limit(
    server: str,
    period: Arrivals,
    vms: Mapping[str, int],
    disruptions: Sequence[models.Disruption],
) -> list[str]:
    named_s = period[0].arrived_s
    limit = period[0].limit_per_s or 0.0
    told_s: dict[int, float] = {}
    counted_s: list[float] = []
    for arrival in period:
        vm = vms[arrival.request_id]
        if (
            arrival.arrived_s >= named_s + _LIMIT_GRACE_S
            and told_s.get(vm, float("inf")) <= arrival.arrived_s
            and not is_disrupted(
                [d for d in disruptions if d.vm == vm],
                named_s,
                arrival.arrived_s,
            )
        ):
            counted_s.append(arrival.arrived_s)
        if arrival.has_statements:
            told_s.setdefault(vm, arrival.arrived_s + _HEARD_AFTER_S)
    allowed = _LIMIT_FACTOR * _LIMIT_WINDOW_S * limit + _LIMIT_SLACK
    most = max(
        (
            sum(
                1
                for s in counted_s
                if first_s <= s <= first_s + _LIMIT_WINDOW_S
            )
            for first_s in counted_s
        ),
        default=0,
    )
    if most <= allowed:
        return []
    return [f"{server} got {most} requests at a limit of {limit} per second"]


def _check_leaving(
    arrivals: Arrivals, disruptions: Sequence[models.Disruption]
) -> list[str]:
    """Checks the arrivals from one VM while the server says it is leaving."""
    violations = []
    first_s: float | None = None
    drain_s = gateway.Bounds().drain_s
    for arrival in arrivals:
        if not arrival.is_leaving:
            first_s = None
            continue
        if first_s is None:
            if not arrival.has_statements:
                continue
            first_s = arrival.arrived_s + _HEARD_AFTER_S
        late_s = arrival.arrived_s - first_s - drain_s
        if late_s > 0 and not is_disrupted(
            disruptions, first_s - _HEARD_AFTER_S, arrival.arrived_s
        ):
            violations.append(
                f"{arrival.request_id} came {late_s:.2f} s too late for a"
                " leaving server"
            )
    return violations


def _check_pauses(
    arrivals: Arrivals, disruptions: Sequence[models.Disruption]
) -> list[str]:
    """Checks the arrivals from one VM after each rejection with a pause."""
    violations = []
    for index, rejection in enumerate(arrivals):
        if rejection.pause_s is None:
            continue
        start_s = rejection.arrived_s + _HEARD_AFTER_S
        end_s = rejection.arrived_s + rejection.pause_s
        in_pause = [
            a for a in arrivals[index + 1 :] if start_s <= a.arrived_s <= end_s
        ]
        if len(in_pause) > _MAX_REQUESTS_IN_PAUSE and not is_disrupted(
            disruptions, rejection.arrived_s, end_s
        ):
            violations.append(
                f"{len(in_pause)} requests in a pause of {rejection.pause_s} s"
            )
    return violations


def is_disrupted(
    disruptions: Iterable[models.Disruption], start_s: float, end_s: float
) -> bool:
    """Returns whether a disruption overlaps a time."""
    return any(d.start_s <= end_s and d.end_s >= start_s for d in disruptions)
