"""Reports why the lease holder moves no keys, and how old its data are."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import logging

from berylweir.gateway import models
from berylweir.gateway.ownership import election
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import holds
from berylweir.gateway.ownership import models as ownership
from berylweir.observability import counters

_LOGGER = logging.getLogger(__name__)
# Time after which a hold is logged, in seconds. A release and the expiry of a
# grant together take about as long, so shorter holds are normal.
_LOG_AFTER_S = 2.0 * grant_expiry.GRANT_DURATION_S
# Reports in a row of a VM that may be lost before its silence counts as a hold.
_MAX_LOST_REPORTS = 2


@dataclasses.dataclass(slots=True)
class _HoldState:
    """A kind of hold of one group, which may have ended.

    Attributes:
        hold: The newest hold of its kind.
        began_s: When it began, on the boot clock, in seconds.
        is_logged: Whether its beginning was logged.
    """

    hold: holds.Hold
    began_s: float
    is_logged: bool = False


class ReportAges:
    """When each registered VM last reported; times are on the boot clock."""

    def __init__(self) -> None:
        """Creates the state of a gateway that knows no VMs."""
        self._heard_s: dict[str, float] = {}

    def start_epoch(self, now_s: float) -> None:
        """Counts the silence of each VM from now on."""
        self._heard_s = dict.fromkeys(self._heard_s, now_s)

    def update_vms(self, vms: Iterable[str], now_s: float) -> None:
        """Replaces the registered VMs, by their names."""
        self._heard_s = {vm: self._heard_s.get(vm, now_s) for vm in vms}

    def record(self, vm: str, now_s: float) -> None:
        """Records a report of a VM."""
        if vm in self._heard_s:
            self._heard_s[vm] = now_s

    def oldest(self, now_s: float) -> tuple[str, float]:
        """Returns the VM that has been silent for longest.

        Returns:
            Its name, empty if no VM is registered, and the time since its last
            report in seconds.
        """
        if not self._heard_s:
            return "", 0.0
        vm = min(self._heard_s, key=lambda name: self._heard_s[name])
        return vm, now_s - self._heard_s[vm]

    def max_age_s(self) -> float:
        """Returns the age of a report above which some were lost."""
        return _MAX_LOST_REPORTS * election.max_response_age_s(
            len(self._heard_s)
        )


class BalanceMonitor:
    """Counts, measures and logs what keeps keys from moving.

    A hold that persists is logged once when it begins and once when it ends.
    """

    def __init__(self, metrics: counters.Counters) -> None:
        """Creates the monitor of a gateway that isn't the holder.

        Args:
            metrics: Counters and gauges.
        """
        self._metrics = metrics
        self._reports = ReportAges()
        self._states: dict[tuple[str, str], _HoldState] = {}
        # When each unfinished move was first seen, by group and keys. Tokens
        # are left out, since a move survives a change of them.
        self._move_began_s: dict[
            tuple[str, int, int, models.ServerInstance | None], float
        ] = {}
        self._plans: dict[str, ownership.BalancePlan] = {}

    @property
    def reports(self) -> ReportAges:
        """Ages of the VMs' reports."""
        return self._reports

    def start_epoch(self, now_s: float) -> None:
        """Starts to monitor under a newly acquired lease."""
        self.stop(now_s)
        self._reports.start_epoch(now_s)

    def stop(self, now_s: float) -> None:
        """Ends all holds, as this gateway isn't the holder any more."""
        for group, kind in list(self._states):
            self._end(group, kind, now_s)
        self._move_began_s.clear()
        self._plans.clear()
        self._set_gauges(now_s, is_holder=False)

    def record_tables(
        self, tables: Mapping[str, models.KeyTable], now_s: float
    ) -> None:
        """Records the moves that the newest tables contain."""
        moves = {
            (name, r.first, r.last, r.owner)
            for name, table in tables.items()
            for r in table.ranges
            if r.previous_owner is not None
        }
        self._move_began_s = {
            move: self._move_began_s.get(move, now_s) for move in moves
        }

    def record_plan(self, group: str, plan: ownership.BalancePlan) -> None:
        """Records the load of a group's servers as last estimated."""
        self._plans[group] = plan

    def record_pass(
        self, group: str, found: Iterable[holds.Hold], now_s: float
    ) -> None:
        """Records what has held the moves of a group in one pass.

        Args:
            group: Name of the server group.
            found: The holds; those of earlier passes that aren't among them
                have ended.
            now_s: Time on the boot clock, in seconds.
        """
        all_found = list(found)
        vm, age_s = self._reports.oldest(now_s)
        if vm and age_s > self._reports.max_age_s():
            all_found.append(holds.ReportsMissing(vm))
        current = {type(hold).__name__: hold for hold in all_found}
        for kind, hold in current.items():
            self._metrics.count(holds.counter_of(hold))
            state = self._states.setdefault(
                (group, kind), _HoldState(hold, now_s)
            )
            state.hold = hold
            if not state.is_logged and now_s - state.began_s >= _LOG_AFTER_S:
                state.is_logged = True
                _LOGGER.warning(
                    "moves held", extra=self._describe(group, state, now_s)
                )
        for name, kind in list(self._states):
            if name == group and kind not in current:
                self._end(name, kind, now_s)
        self._set_gauges(now_s, is_holder=True)

    def _end(self, group: str, kind: str, now_s: float) -> None:
        state = self._states.pop((group, kind))
        if state.is_logged:
            _LOGGER.warning(
                "moves resumed", extra=self._describe(group, state, now_s)
            )

    def _describe(
        self, group: str, state: _HoldState, now_s: float
    ) -> dict[str, object]:
        """Returns the fields of a log line about a hold."""
        vm, report_age_s = self._reports.oldest(now_s)
        fields: dict[str, object] = {
            "group": group,
            "reason": type(state.hold).__name__,
            "awaited": holds.subject_of(state.hold),
            "held_s": round(now_s - state.began_s, 2),
            "oldest_move_s": round(self._oldest_move_s(now_s), 2),
            "silent_vm": vm,
            "report_age_s": round(report_age_s, 2),
        }
        plan = self._plans.get(group)
        if plan is not None and plan.busiest is not None:
            fields |= {
                "busiest": plan.busiest.server,
                "highest": round(plan.highest_utilisation, 3),
                "mean": round(plan.mean_utilisation, 3),
            }
        return fields

    def _oldest_move_s(self, now_s: float) -> float:
        return now_s - min(self._move_began_s.values(), default=now_s)

    def _set_gauges(self, now_s: float, *, is_holder: bool) -> None:
        _, report_age_s = self._reports.oldest(now_s)
        self._metrics.gauge("moves.oldest_s", self._oldest_move_s(now_s))
        self._metrics.gauge(
            "reports.oldest_s", report_age_s if is_holder else 0.0
        )
        self._metrics.gauge(
            "moves.highest_to_mean",
            max(
                (
                    plan.highest_utilisation / plan.mean_utilisation
                    for plan in self._plans.values()
                    if plan.mean_utilisation > 0.0
                ),
                default=0.0,
            ),
        )
