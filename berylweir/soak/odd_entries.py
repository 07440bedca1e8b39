"""Entries of other writers in the store, and the check for their harm."""

from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from berylweir.soak import models
from berylweir.soak import statement_checks
from berylweir.standin.gateway_platform import server as server_standin

_DEPTH = 100_000
# Time after a disruption of a gateway after which its requests count, in
# seconds.
_SETTLE_S = 2.5
# Share of the counted requests that an instance has to serve, and the number
# from which on they are checked. Without servers, each waits for its deadline.
_MIN_SERVED_SHARE = 0.25
_MIN_REQUESTS = 8


def build_spec(shape: models.OddShape) -> msgspec.Raw:
    """Returns a spec that names no server, route, VM or owner of keys."""
    entry = server_standin.server_spec("odd", "plain", 1)
    encode = msgspec.json.encode
    match shape:
        case models.OddShape.MISSING_FIELDS:
            spec = encode({"addr": entry["addr"]})
        case models.OddShape.WRONG_TYPES:
            spec = encode({**entry, "addr": ["127.0.0.1", 1], "born": "x"})
        case models.OddShape.UNKNOWN_STATE:
            spec = encode({**entry, "status": {"state": "odd", "seq": -1}})
        case models.OddShape.NO_OBJECT:
            spec = b'"odd"'
        case models.OddShape.HALF_SURROGATE:
            spec = encode(entry)[:-1] + rb',"x":"\udcff"}'
        case models.OddShape.DEEP:
            spec = b'{"x":' * _DEPTH + b"1" + b"}" * _DEPTH
        case models.OddShape.HUGE_NUMBER:
            spec = b'{"addr":"127.0.0.1:1","born":1' + b"0" * 400 + b"}"
        case models.OddShape.DUPLICATE_MEMBERS:
            spec = encode(entry)[:-1] + b',"addr":1,"addr":{}}'
        case models.OddShape.TRUNCATED_UTF8:
            spec = encode(entry).replace(b'"plain"', b'"plain\xe2\x82"')
    return msgspec.Raw(spec)


def find_violations(
    exchanges: Iterable[models.Exchange],
    disruptions: Sequence[models.Disruption],
    started_s: float,
) -> list[str]:
    """Returns a line for each gateway instance that served too few requests.

    Args:
        exchanges: Requests of the callers.
        disruptions: Disruptions of the gateways and of the links to servers.
        started_s: Start of the soak, on the monotonic clock, in seconds.
    """
    counts: dict[tuple[int, int], list[bool]] = {}
    for exchange in exchanges:
        sent_s = started_s + exchange.sent_s
        if not statement_checks.is_disrupted(
            [d for d in disruptions if d.vm == exchange.vm],
            sent_s - _SETTLE_S,
            started_s + exchange.ended_s,
        ):
            served = counts.setdefault((exchange.vm, exchange.instance), [])
            served.append(exchange.status == 200)
    return [
        f"vm-{vm}, instance {instance}, served {sum(served)} of {len(served)}"
        " requests without a fault"
        for (vm, instance), served in counts.items()
        if len(served) >= _MIN_REQUESTS
        and sum(served) < _MIN_SERVED_SHARE * len(served)
    ]
