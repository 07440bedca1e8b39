"""Tests of how a holder replaces the homes of its partition."""

import msgspec

from berylweir.keeper.authority import decisions
from berylweir.keeper.authority import models
from berylweir.objects import schemas

_TIMINGS = models.Timings()
_HOLDER = schemas.Incarnation("vm-0", "1")
_STANDBY = schemas.Incarnation("vm-1", "1")
_OTHER_VM = schemas.Incarnation("vm-2", "1")


def _view(now: float) -> models.ClusterView:
    return models.ClusterView(
        schemas.ServerGroup("g", schemas.Keyed(slices=2)),
        (schemas.BackendServer("s", "g", "a", "127.0.0.1", 1),),
        {},
        {
            _HOLDER.vm: models.Member(_HOLDER, "a", 0.0),
            _STANDBY.vm: models.Member(_STANDBY, "b", now),
            _OTHER_VM.vm: models.Member(_OTHER_VM, "c", now),
        },
    )


def _partition() -> schemas.Partition:
    return schemas.Partition(
        "g",
        0,
        1,
        _HOLDER,
        _STANDBY,
        slices=(schemas.Owned("s", 1),) * 2,
        homes={"s": "vm-0"},
    )


class _StandbyMachine:
    """State machine of a standby after the loss of the holder's VM."""

    def __init__(self) -> None:
        self.now = 0.0
        self.version = 1
        self.state = decisions.initial_state(_STANDBY, "g.0")
        self.writes: list[models.PendingUpdate] = []
        self.apply(models.ObjectReceived(_partition(), 1))

    def apply(self, event: models.Event) -> None:
        """Applies an event and accepts every update and renewal at once."""
        self.state, commands = decisions.step(
            self.state, event, self.now, _view(self.now), _TIMINGS, "op"
        )
        for command in commands:
            match command:
                case models.SendRenewRequest(epoch=epoch, nonce=nonce):
                    promise = models.PromiseReceived(_OTHER_VM, epoch, nonce)
                    partition = self.state.partition
                    assert partition is not None
                    if partition.standby is not None:
                        promise = models.PromiseReceived(
                            partition.standby, epoch, nonce
                        )
                    self.apply(promise)
                case models.WritePartition(update=update):
                    self.writes.append(update)
                    self.version += 1
                    self.apply(
                        models.UpdateAccepted(update.operation_id, self.version)
                    )
                case _:
                    pass

    def run(self, seconds: float) -> None:
        """Applies a tick every 50 ms for the given time."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.apply(models.Tick())


class TestHomesAfterTakeover:
    """Homes that the former holder had chosen."""

    def test_silent_home_is_replaced_right_after_the_takeover(self):
        """Guards against a new holder that restarts the wait for a lost home.

        With that wait, recovery from the loss of a VM that was both holder and
        home took 2.1 to 3.5 s.
        """
        standby = _StandbyMachine()
        standby.run(1.3)
        partition = standby.state.partition
        assert partition is not None
        assert partition.holder == _STANDBY
        assert partition.homes["s"] != "vm-0"

    def test_new_home_has_time_to_be_heard(self):
        """Guards against homes that change again before they can report."""
        standby = _StandbyMachine()
        standby.run(1.3)
        writes_before = len(standby.writes)
        standby.run(0.35)
        homes = [msgspec.json.encode(w.partition.homes) for w in standby.writes]
        assert len(set(homes[writes_before - 1 :])) == 1
