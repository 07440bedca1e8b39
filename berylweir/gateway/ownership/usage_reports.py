"""Collects what the VMs report on keys and servers."""

import asyncio
import logging

from berylweir.gateway import clock
from berylweir.gateway import messages
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.ownership import demand
from berylweir.gateway.ownership import election
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import owner_contact
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters

_LOGGER = logging.getLogger(__name__)

# Longest time to wait for the dispatcher, in seconds. Until two reports are
# missing, the lease holder counts on further ones.
_COLLECT_TIMEOUT_S = 2.0 * election.DEPUTY_REPORT_INTERVAL_S


class UsageReports:
    """Reports of this VM, and of all others while it holds the lease."""

    def __init__(
        self, vm: str, dispatcher: dispatch.Inbox, metrics: counters.Counters
    ) -> None:
        """Creates the collection without any reports.

        Args:
            vm: Name of this VM.
            dispatcher: Mailbox of the dispatcher.
            metrics: Counters.
        """
        self._metrics = metrics
        self._vm = vm
        self._dispatcher = dispatcher
        self._demand_estimators: dict[str, demand.DemandEstimator] = {}
        self._server_statistics = demand.ServerStatistics()
        self._owner_contact = owner_contact.OwnerContact()
        self._is_isolated = False

    @property
    def server_statistics(self) -> demand.ServerStatistics:
        """Service times, failures and limits of the servers."""
        return self._server_statistics

    @property
    def owner_contact(self) -> owner_contact.OwnerContact:
        """Which owners of keys this gateway and the others reach."""
        return self._owner_contact

    @property
    def is_isolated(self) -> bool:
        """Whether this VM reached no server when it last reported."""
        return self._is_isolated

    def demand(self, group: str) -> ownership.Demand:
        """Returns the request rates of a group's keys."""
        estimator = self._demand_estimators.setdefault(
            group, demand.DemandEstimator()
        )
        return estimator.estimate(clock.boot_s())

    def record(self, usage: messages.KeyUsage) -> bool:
        """Records a report.

        Returns:
            Whether it may call for a change at once: a server leaves, or
            doesn't respond to the lease holder.
        """
        now_s = clock.boot_s()
        for group, keys in usage.keys.items():
            self._demand_estimators.setdefault(
                group, demand.DemandEstimator()
            ).record(keys)
        self._server_statistics.record(usage.servers, now_s)
        if usage.vm == self._vm:
            self._is_isolated = usage.is_isolated
        else:
            self._owner_contact.record_report(usage.vm, usage.servers, now_s)
        return self._owner_contact.has_silent_owners or any(
            s.leaving_born_ms is not None for s in usage.servers.values()
        )

    async def collect(self) -> messages.KeyUsage | None:
        """Returns this VM's usage since the last call.

        Returns:
            The usage; None if the dispatcher doesn't reply in time, as it
            crashed with the request. What it has counted is returned by a
            later call.
        """
        reply: asyncio.Future[messages.KeyUsage] = (
            asyncio.get_running_loop().create_future()
        )
        self._dispatcher.post(messages.CollectKeyUsage(reply))
        # Unlike a timeout that cancels this task, `wait` loses no usage that
        # the dispatcher hands out at the last moment.
        await asyncio.wait((reply,), timeout=_COLLECT_TIMEOUT_S)
        if not reply.done():
            reply.cancel()
            self._metrics.count("reports.not_collected")
            _LOGGER.warning("usage not collected")
            return None
        usage = reply.result()
        self._is_isolated = usage.is_isolated
        return usage

    async def collect_report(self) -> peers.ReportUsage:
        """Returns this VM's usage as a message to the lease holder.

        It is empty if the usage isn't known, since reports also monitor the
        holder.
        """
        usage = await self.collect()
        return peers.encode_usage(
            usage or messages.KeyUsage(self._vm, {}, {}, self._is_isolated)
        )
