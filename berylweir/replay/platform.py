"""Simulated object store of the platform, with watches."""

import typing

from berylweir.keeper.authority import models as authority
from berylweir.objects import schemas
from berylweir.replay import messages
from berylweir.replay import simulation

# Watches are renewed at this interval, so that keepers notice an outage.
_WATCH_INTERVAL_S = 0.5


class PlatformActor:
    """Owns the stored partitions and the configuration.

    During an outage it ignores writes and notifies nobody.
    """

    def __init__(
        self, sim: simulation.Simulation, config: messages.Config
    ) -> None:
        """Creates an available platform without partitions.

        Args:
            sim: Simulation that delivers its messages.
            config: Initial configuration.
        """
        self._sim = sim
        self._config = config
        self._partitions: dict[str, tuple[int, schemas.Partition]] = {}
        self._is_down = False
        sim.register(simulation.PLATFORM, simulation.PLATFORM, self.receive)
        sim.deliver_after(0, simulation.PLATFORM, messages.WatchRenewalDue())

    def receive(self, message: messages.ToPlatform) -> None:
        """Handles a message."""
        match message:
            case messages.WritePartition():
                if not self._is_down:
                    self._write_partition(message)
            case messages.ReplaceConfig(config=config):
                self._config = config
                self._notify_keepers()
            case messages.SetOutage(is_down=is_down):
                self._is_down = is_down
            case messages.WatchRenewalDue():
                self._renew_watches()
            case _:
                typing.assert_never(message)

    def _renew_watches(self) -> None:
        self._notify_keepers()
        self._sim.deliver_after(
            _WATCH_INTERVAL_S, simulation.PLATFORM, messages.WatchRenewalDue()
        )

    def _notify_keepers(self) -> None:
        if self._is_down:
            return
        watch_update = messages.WatchUpdate(
            self._config, tuple(self._partitions.values())
        )
        for vm in self._config.vms:
            self._sim.send(simulation.PLATFORM, f"keeper.{vm}", watch_update)

    def _write_partition(self, request: messages.WritePartition) -> None:
        """Stores a partition if its version is the expected one.

        A repeated write of the stored update is accepted again.
        """
        update = request.update
        version, stored = self._partitions.get(request.name, (0, None))
        event: authority.Event
        if version == update.expected_version:
            version += 1
            self._record_moves(stored, update.partition)
            self._partitions[request.name] = (version, update.partition)
            event = authority.UpdateAccepted(update.operation_id, version)
            self._notify_keepers()
        elif stored and stored.operation_id == update.operation_id:
            event = authority.UpdateAccepted(update.operation_id, version)
        else:
            event = authority.UpdateRejected(update.operation_id)
        self._sim.send(
            simulation.PLATFORM,
            request.reply_to,
            messages.PartitionEvent(request.name, event),
        )

    def _record_moves(
        self, previous: schemas.Partition | None, current: schemas.Partition
    ) -> None:
        """Records a move for each slice that has a new owner."""
        if previous is None:
            return
        for old, new in zip(previous.slices, current.slices, strict=False):
            match old, new:
                case schemas.Moving(), schemas.Owned():
                    self._sim.history.move_times_s.append(self._sim.now)
                case schemas.Owned(server=source), schemas.Owned(
                    server=target
                ) if source != target:
                    self._sim.history.move_times_s.append(self._sim.now)
                case _:
                    pass
