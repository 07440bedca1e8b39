"""Decides whether moving keys between two servers is worth its cost.

A move saves waiting at the servers and costs waiting while the keys move. The
measured rates fluctuate, so the source is assumed less busy and the target
busier than measured, each by its standard error. A steady load then causes few
moves, whereas a burst, whose effect is much larger, causes them at once.
"""

import dataclasses
import math

# Time for which a move is assumed to be useful, in seconds. Busy keys change
# within minutes, and a burst lasts several seconds.
_USEFUL_S = 10.0
# Factor on the utilisation for which keys are placed: room for a burst that
# comes faster than keys can move.
_HEADROOM = 1.3
# Standard errors by which the estimates are corrected against the move.
_CONFIDENCE = 2.5
# Time for which moving keys aren't served, in addition to the service time of
# the last running request, in seconds: the calls to both servers.
_CALLS_S = 0.1
# Fixed cost of a move, in seconds of waiting of one request: a write to the
# store and a message to each gateway.
_FIXED_COST_S = 0.5
# Utilisation above which the number of waiting requests is extrapolated. In the
# model it is infinite at 1.
_MAX_MODELLED_UTILISATION = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Estimated load of one server.

    Attributes:
        utilisation: Utilisation of its slots; above 1 if it is overloaded.
        standard_error: Standard error of the utilisation.
        per_rps: Utilisation that one request per second causes.
        slots: Requests that it runs concurrently.
    """

    utilisation: float
    standard_error: float
    per_rps: float
    slots: int


def waiting_requests(utilisation: float, slots: int) -> float:
    """Returns the mean number of requests that wait at a server.

    This is Sakasegawa's approximation for random arrivals and service times.

    Args:
        utilisation: Utilisation of its slots.
        slots: Requests that it runs concurrently.
    """
    exponent = math.sqrt(2.0 * (max(1, slots) + 1.0))
    modelled = min(max(0.0, utilisation), _MAX_MODELLED_UTILISATION)
    idle = 1.0 - modelled
    waiting: float = modelled**exponent / idle
    slope = waiting * (exponent / max(modelled, 1e-9) + 1.0 / idle)
    # The quadratic term favours equal load also among overloaded servers.
    excess = max(0.0, utilisation - modelled)
    return waiting + slope * excess * (1.0 + excess)


def can_pay(source: ServerLoad, target: ServerLoad) -> bool:
    """Returns whether any move from one server to another may pay.

    It is answered without looking at keys, which takes much longer.
    """
    gap = _pessimistic(source, -1.0) - _pessimistic(target, 1.0)
    rate = gap / _HEADROOM / (source.per_rps + target.per_rps)
    return rate > 0 and _saved_s(source, target, rate) >= _FIXED_COST_S


def pays(
    source: ServerLoad,
    target: ServerLoad,
    moved_rate: float,
    mean_service_ms: float,
) -> bool:
    """Returns whether a move saves more waiting than it causes.

    Args:
        source: Load of the server that gives the keys away.
        target: Load of the server that gets them.
        moved_rate: Request rate of the keys, per second.
        mean_service_ms: Mean service time of a request, in ms.
    """
    pause_s = mean_service_ms / 1000.0 + _CALLS_S
    cost_s = _FIXED_COST_S + moved_rate * pause_s * pause_s / 2.0
    return _saved_s(source, target, moved_rate) >= cost_s


def _saved_s(
    source: ServerLoad, target: ServerLoad, moved_rate: float
) -> float:
    """Returns the waiting that a move saves, in request-seconds."""
    source_before = _pessimistic(source, -1.0)
    target_before = _pessimistic(target, 1.0)
    before = waiting_requests(source_before, source.slots) + waiting_requests(
        target_before, target.slots
    )
    moved = _HEADROOM * moved_rate
    after = waiting_requests(
        source_before - moved * source.per_rps, source.slots
    ) + waiting_requests(target_before + moved * target.per_rps, target.slots)
    return _USEFUL_S * (before - after)


def _pessimistic(load: ServerLoad, sign: float) -> float:
    return _HEADROOM * (
        load.utilisation + sign * _CONFIDENCE * load.standard_error
    )
