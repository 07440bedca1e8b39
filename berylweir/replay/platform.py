"""Stand-in for the platform's object API on virtual time."""

import typing

from berylweir.keeper.authority import models as authority
from berylweir.objects import schemas
from berylweir.replay import messages
from berylweir.replay import simulation

# Idle watches are renewed at this interval, which shows that it is up.
_WATCH_S = 0.5


class PlatformActor:
    """Owns the partition objects and the configuration."""

    def __init__(
        self, sim: simulation.Simulation, config: messages.Config
    ) -> None:
        """Creates a platform that is up.

        Args:
            sim: Virtual time and messages.
            config: First configuration.
        """
        self._sim = sim
        self._config = config
        self._partitions: dict[str, tuple[int, schemas.Partition]] = {}
        self._down = False
        sim.register(simulation.PLATFORM, simulation.PLATFORM, self.receive)
        sim.deliver_after(0, simulation.PLATFORM, messages.WatchRenewalDue())

    def receive(self, message: messages.ToPlatform) -> None:
        """Takes a message."""
        match message:
            case messages.WritePartition():
                if not self._down:
                    self._write(message)
            case messages.ReplaceConfig(config=config):
                self._config = config
                self._tell_all()
            case messages.SetOutage(down=down):
                self._down = down
            case messages.WatchRenewalDue():
                self._notify()
            case _:
                typing.assert_never(message)

    def _notify(self) -> None:
        self._tell_all()
        self._sim.deliver_after(
            _WATCH_S, simulation.PLATFORM, messages.WatchRenewalDue()
        )

    def _tell_all(self) -> None:
        if self._down:
            return
        news = messages.WatchUpdate(
            self._config, tuple(self._partitions.values())
        )
        for vm in self._config.vms:
            self._sim.send(simulation.PLATFORM, f"keeper.{vm}", news)

    def _write(self, write: messages.WritePartition) -> None:
        update = write.update
        version, stored = self._partitions.get(write.name, (0, None))
        event: authority.Event
        if version == update.expected_version:
            version += 1
            self._note_moves(stored, update.partition)
            self._partitions[write.name] = (version, update.partition)
            event = authority.UpdateAccepted(update.operation_id, version)
            self._tell_all()
        elif stored and stored.operation_id == update.operation_id:
            event = authority.UpdateAccepted(update.operation_id, version)
        else:
            event = authority.UpdateRejected(update.operation_id)
        self._sim.send(
            simulation.PLATFORM,
            write.reply_to,
            messages.PartitionEvent(write.name, event),
        )

    def _note_moves(
        self, before: schemas.Partition | None, after: schemas.Partition
    ) -> None:
        if before is None:
            return
        for old, new in zip(before.slices, after.slices, strict=False):
            match old, new:
                case schemas.Moving(), schemas.Owned():
                    self._sim.history.move_times_s.append(self._sim.now)
                case schemas.Owned(server=source), schemas.Owned(
                    server=target
                ) if source != target:
                    self._sim.history.move_times_s.append(self._sim.now)
                case _:
                    pass
