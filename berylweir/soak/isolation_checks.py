"""Counts the requests that gateways without servers have served."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from berylweir.soak import models

# Time that a gateway has to react to its isolation, in seconds.
_REACTION_S = 3.0
# Lowest share of requests that isolated gateways serve, relative to the share
# at the others.
_MIN_RELATIVE_SHARE = 2.0 / 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServedCounts:
    """Requests sent while some gateways were isolated, and some were not.

    A caller sends each request of the soak once, so all are first attempts.
    Those sent to a gateway in the first seconds of its isolation don't count.

    Attributes:
        isolated_sent: Requests sent to isolated gateways.
        isolated_served: Those of them that were answered with status 200.
        other_sent: Requests sent to other gateways at the same times.
        other_served: Those of them that were answered with status 200.
    """

    isolated_sent: int = 0
    isolated_served: int = 0
    other_sent: int = 0
    other_served: int = 0

    def __str__(self) -> str:
        """Describes the counts for the summary of a soak."""
        return (
            f"{self.isolated_served} of {self.isolated_sent} requests served"
            f" at isolated gateways, {self.other_served} of {self.other_sent}"
            " at the others"
        )


def count_served(
    exchanges: Iterable[models.Exchange],
    isolations: Sequence[models.Isolation],
    vms: int,
) -> ServedCounts:
    """Returns how many requests were served during isolations.

    Args:
        exchanges: All requests of the callers.
        isolations: All isolations of gateways.
        vms: Number of gateways.
    """
    sent = {True: 0, False: 0}
    served = {True: 0, False: 0}
    for exchange in exchanges:
        current = [
            i for i in isolations if i.start_s <= exchange.sent_s <= i.end_s
        ]
        isolated_vms = {i.vm for i in current}
        has_reacted = {
            i.vm for i in current if exchange.sent_s >= i.start_s + _REACTION_S
        }
        if not has_reacted or len(isolated_vms) >= vms:
            continue
        if exchange.vm in isolated_vms and exchange.vm not in has_reacted:
            continue
        is_isolated = exchange.vm in isolated_vms
        sent[is_isolated] += 1
        served[is_isolated] += exchange.status == 200
    return ServedCounts(sent[True], served[True], sent[False], served[False])


def find_violations(counts: ServedCounts) -> list[str]:
    """Returns a line if isolated gateways have served too few requests."""
    if not counts.isolated_sent or not counts.other_sent:
        return []
    isolated_share = counts.isolated_served / counts.isolated_sent
    other_share = counts.other_served / counts.other_sent
    if isolated_share >= _MIN_RELATIVE_SHARE * other_share:
        return []
    return [f"too few requests served in isolation: {counts}"]
