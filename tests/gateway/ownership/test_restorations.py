"""Restorations, freezes and take-overs in any order, on virtual time.

The store, the servers and the course of a holder are models. The order of the
tables, the epochs, the history of leases and the wait for earlier holders are
those of the gateway.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway import store_cache
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import lease_history
from berylweir.gateway.ownership import recovery_wait
from berylweir.gateway.ownership import table_order
from berylweir.gateway.ownership import table_recovery
from berylweir.gateway.ownership import tables
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store

_VMS = 3
_SERVERS = tuple(models.ServerInstance(f"s{n}", 1) for n in range(3))


@dataclasses.dataclass(frozen=True, slots=True)
class StoreState:
    """Objects of the store, and the number of its last write."""

    number: int
    lease: models.Lease | None = None
    table: models.KeyTable | None = None


class Gateway:
    """What one gateway knows."""

    def __init__(self, name: str) -> None:
        self.vm = models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a")
        self.cache = store_cache.StoreCache([], counters.Counters())
        self.history = lease_history.LeaseHistory(self.vm)
        self.table: models.KeyTable | None = None
        self.lease: models.Lease | None = None
        self.previous: models.Lease | None = None
        self.generation = 0
        self.acting_epoch = 0
        self.recovery_started_s: float | None = None
        self.responses: dict[str, recovery_wait.Response] = {}
        self.confirmed_s = float("-inf")
        self.is_frozen = False

    @property
    def holds_lease(self) -> bool:
        """Whether it has the newest lease that it knows."""
        return self.lease is not None and self.lease.holder == self.vm.name

    def learn(self, table: models.KeyTable) -> None:
        """Takes a table into the cache, which decides whether it is newer."""
        stored = store.build_stored_object(
            table.group,
            table.revision,
            msgspec.Raw(objects.encode_table(table)),
            msgspec.Raw(b"null"),
        )
        ordered = objects.order_by_writing(stored, table)
        self.cache.update_key_tables([ordered])
        order = models.TableOrder(table.epoch, ordered.revision)
        if self.cache.key_table_orders["g"] == order:
            self.table = dataclasses.replace(table, revision=ordered.revision)

    def status(self) -> peers.GatewayStatus:
        """Returns its status, as it is sent to a new holder."""
        orders = self.cache.key_table_orders
        return peers.GatewayStatus(
            self.vm.incarnation,
            1,
            False,
            tables=table_order.revisions(orders),
            table_epochs=table_order.epochs(orders),
        )


class Restorations(stateful.RuleBasedStateMachine):
    """Plays what may happen; no key may have two owners.

    At least one gateway is running at any time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.generation = 0
        self.state = StoreState(1)
        self.copies = [self.state]
        self.gateways = [Gateway(f"vm-{n}") for n in range(_VMS)]
        # For each server, the highest token it was told and the time until
        # which it holds the keys.
        self.tokens = dict.fromkeys(_SERVERS, 0)
        self.held_until_s = dict.fromkeys(_SERVERS, float("-inf"))

    def running(self) -> list[Gateway]:
        """Returns the gateways that aren't frozen."""
        return [gateway for gateway in self.gateways if not gateway.is_frozen]

    def may_freeze(self) -> bool:
        """Returns whether another gateway would still run."""
        return len(self.running()) > 1

    def new_holders(self) -> list[Gateway]:
        """Returns gateways that have the lease and don't act yet."""
        return [
            gateway
            for gateway in self.running()
            if gateway.recovery_started_s is not None
        ]

    def keepers(self) -> list[Gateway]:
        """Returns gateways that believe that they may grant keys."""
        return [
            gateway for gateway in self.running() if self.may_grant(gateway)
        ]

    def write_table(self, gateway: Gateway, table: models.KeyTable) -> bool:
        """Writes a table if its revision is the store's.

        Returns:
            Whether its writer may act on it.
        """
        stored = self.state.table
        number = stored.revision if stored else 0
        known = table.revision
        if number and revisions.number(known) != revisions.number(number):
            return False
        self.state = dataclasses.replace(
            self.state, number=self.state.number + 1
        )
        written = dataclasses.replace(
            table,
            revision=revisions.compose(self.generation, self.state.number),
        )
        self.state = dataclasses.replace(self.state, table=written)
        self.copies.append(self.state)
        if revisions.epoch_generation(written.epoch) != self.generation:
            return False
        gateway.learn(written)
        return True

    def grant(self, table: models.KeyTable) -> None:
        """Has the previous owner release the keys, and grants them.

        Servers refuse both for an old token.
        """
        (key_range,) = table.ranges
        previous = key_range.previous_owner
        if previous is not None:
            if self.tokens[previous] > key_range.token:
                return
            self.tokens[previous] = key_range.token
            self.held_until_s[previous] = float("-inf")
        owner = key_range.owner
        if self.tokens[owner] <= key_range.token:
            self.tokens[owner] = key_range.token
            self.held_until_s[owner] = (
                self.now_s + grant_expiry.GRANT_DURATION_S
            )

    def may_grant(self, gateway: Gateway) -> bool:
        """Returns whether a gateway believes that it may grant keys."""
        return (
            gateway.acting_epoch > 0
            and gateway.holds_lease
            and self.now_s < gateway.confirmed_s + grant_expiry.AUTHORITY_S
        )

    def sync(self, gateway: Gateway) -> None:
        """Reads the lease and the table, as they are in the store."""
        gateway.generation = self.generation
        gateway.history.record_generation(self.generation, self.now_s)
        lease = self.state.lease
        if lease is not None:
            lease = dataclasses.replace(
                lease,
                revision=revisions.compose(
                    self.generation, revisions.number(lease.revision)
                ),
            )
            gateway.history.record_lease(lease, self.now_s)
            if gateway.lease is None or lease.order >= gateway.lease.order:
                gateway.lease = lease
        if self.state.table is not None:
            number = revisions.number(self.state.table.revision)
            gateway.learn(
                dataclasses.replace(
                    self.state.table,
                    revision=revisions.compose(self.generation, number),
                )
            )
        epoch = gateway.lease.epoch if gateway.lease else 0
        is_current = (
            gateway.holds_lease
            and lease is not None
            and lease.epoch == epoch
            and revisions.epoch_generation(epoch) == self.generation
        )
        if is_current:
            gateway.confirmed_s = self.now_s
            gateway.history.record_evidence(epoch, self.now_s)
        if gateway.acting_epoch != epoch or not is_current:
            gateway.acting_epoch = 0
        if not is_current:
            gateway.recovery_started_s = None

    @stateful.rule(seconds=strategies.sampled_from([0.2, 1.0, 3.0, 20.0]))
    def wait(self, seconds: float) -> None:
        """Lets time pass, in which holders renew their grants."""
        for _ in range(8):
            self.now_s += seconds / 8.0
            for gateway in self.gateways:
                if not gateway.is_frozen and self.may_grant(gateway):
                    self.grant(gateway.table)

    @stateful.rule(
        lost=strategies.integers(0, 4), written=strategies.sampled_from([0, 8])
    )
    def restore_store(self, lost: int, written: int) -> None:
        """Has the store come back from a copy.

        Args:
            lost: Number of writes of gateways that the copy lacks.
            written: Number of writes of others that follow.
        """
        if lost:
            del self.copies[max(1, len(self.copies) - lost) :]
        self.state = dataclasses.replace(
            self.copies[-1], number=self.copies[-1].number + written
        )
        self.generation += 1

    @stateful.precondition(lambda self: self.keepers() and self.may_freeze())
    @stateful.rule(
        data=strategies.data(),
        server=strategies.sampled_from(_SERVERS),
        lost=strategies.integers(0, 4),
        late_server=strategies.sampled_from((None, *_SERVERS)),
    )
    def restore_under_frozen_holder(
        self,
        data: strategies.DataObject,
        server: models.ServerInstance,
        lost: int,
        late_server: models.ServerInstance | None,
    ) -> None:
        """Has the keys moved between a freeze of the holder and its end."""
        holder = data.draw(strategies.sampled_from(self.keepers()))
        holder.is_frozen = True
        self.wait(1.0)
        for gateway in self.candidates()[:1]:
            self.succeed(gateway)
            if self.may_grant(gateway):
                self.move_keys(gateway, server)
        self.restore_store(lost, written=8)
        holder.is_frozen = False
        if late_server is not None and self.may_grant(holder):
            self.move_keys(holder, late_server)

    @stateful.precondition(lambda self: self.may_freeze())
    @stateful.rule(data=strategies.data())
    def freeze(self, data: strategies.DataObject) -> None:
        """Freezes a gateway, mostly one that may grant keys."""
        candidates = self.keepers() or self.running()
        data.draw(strategies.sampled_from(candidates)).is_frozen = True

    @stateful.precondition(lambda self: len(self.running()) < _VMS)
    @stateful.rule(data=strategies.data())
    def thaw(self, data: strategies.DataObject) -> None:
        """Lets a gateway continue with what it knew."""
        frozen = [g for g in self.gateways if g.is_frozen]
        data.draw(strategies.sampled_from(frozen)).is_frozen = False

    @stateful.precondition(lambda self: self.running())
    @stateful.rule(data=strategies.data())
    def read_store(self, data: strategies.DataObject) -> None:
        """Has a gateway read the store."""
        self.sync(data.draw(strategies.sampled_from(self.running())))

    @stateful.initialize()
    def start(self) -> None:
        """Has a gateway act, so that all that follows concerns its keys."""
        self.succeed(self.gateways[0])

    @stateful.precondition(lambda self: self.candidates())
    @stateful.rule(data=strategies.data())
    def take_over(self, data: strategies.DataObject) -> None:
        """Has a gateway take the lease, and act if it may at once."""
        gateway = data.draw(strategies.sampled_from(self.candidates()))
        self.sync(gateway)
        if gateway in self.candidates():
            self.succeed(gateway)

    def candidates(self) -> list[Gateway]:
        """Returns gateways whose lease or whose holder's lease has ended."""
        frozen = {g.vm.name for g in self.gateways if g.is_frozen}
        return [
            gateway
            for gateway in self.running()
            if not gateway.acting_epoch
            and gateway.recovery_started_s is None
            and (
                gateway.lease is None
                or gateway.holds_lease
                or gateway.lease.holder in frozen
            )
        ]

    def succeed(self, gateway: Gateway) -> None:
        """Has a gateway take the lease, and act if it may at once."""
        self.sync(gateway)
        self.take_lease(gateway)
        self.begin(gateway)

    def take_lease(self, gateway: Gateway) -> None:
        """Writes the lease of a gateway that has just read the store."""
        lease = gateway.lease
        gateway.previous = self.state.lease
        self.state = dataclasses.replace(
            self.state, number=self.state.number + 1
        )
        epoch = revisions.next_epoch(
            lease.epoch if lease else 0, self.generation
        )
        taken = models.Lease(
            gateway.vm.name,
            gateway.vm.incarnation,
            epoch,
            revisions.compose(self.generation, self.state.number),
        )
        self.state = dataclasses.replace(self.state, lease=taken)
        self.copies.append(self.state)
        self.sync(gateway)
        gateway.recovery_started_s = self.now_s
        gateway.responses = {}
        for other in self.gateways:
            if not other.is_frozen and other is not gateway:
                # The announcement ends the authority of other holders.
                other.history.record_announcement(
                    taken.holder, taken.incarnation, epoch, self.now_s
                )
                other.lease = taken
                other.acting_epoch = 0
                other.recovery_started_s = None

    @stateful.precondition(lambda self: self.new_holders())
    @stateful.rule(data=strategies.data())
    def act(self, data: strategies.DataObject) -> None:
        """Has a new holder begin to act, once it may."""
        self.begin(data.draw(strategies.sampled_from(self.new_holders())))

    def begin(self, gateway: Gateway) -> None:
        """Writes the table of a new holder, once it knows the newest."""
        self.sync(gateway)
        if gateway.recovery_started_s is None:
            return
        assert gateway.lease is not None
        epoch = gateway.lease.epoch
        if self.is_recovery_due(gateway, epoch) and (
            self.remaining_wait_s(gateway, epoch) > 0
        ):
            return
        if gateway.table is None:
            table = tables.create("g", _SERVERS[:1], epoch)
        else:
            table = dataclasses.replace(gateway.table, epoch=epoch)
        (key_range,) = table.ranges
        token = revisions.next_token(table.next_token, epoch)
        table = dataclasses.replace(
            table,
            next_token=token + 1,
            ranges=(dataclasses.replace(key_range, token=token),),
            revision=self.state.table.revision if self.state.table else 0,
        )
        if self.write_table(gateway, table):
            gateway.acting_epoch = epoch
            gateway.recovery_started_s = None
            self.grant(gateway.table)

    def is_recovery_due(self, gateway: Gateway, epoch: int) -> bool:
        """Returns whether tables must be got from the other gateways."""
        if gateway.table is None:
            return revisions.epoch_generation(epoch) > 0
        return table_recovery.is_due(
            epoch,
            {"g": gateway.table},
            [models.ServerGroup("g", 100, 8.0, is_keyed=True)],
        )

    def remaining_wait_s(self, gateway: Gateway, epoch: int) -> float:
        """Asks the others, and returns the rest of the wait, in seconds."""
        replies = [
            (other.vm, other.status())
            for other in self.gateways
            if not other.is_frozen and other is not gateway
        ]
        by_name = {g.vm.name: g for g in self.gateways}
        for vm in table_order.vms_with_newer_tables(
            replies, gateway.cache.key_table_orders
        ):
            gateway.learn(by_name[vm.name].table)
        known = gateway.cache.key_table_orders
        for vm, status in [*replies, (gateway.vm, gateway.status())]:
            other = by_name[vm.name]
            gateway.responses[vm.name] = recovery_wait.Response(
                vm.incarnation,
                self.now_s,
                other.history.former,
                other.history.generation_known_s,
                table_order.knows_all(status, known),
            )
        previous = gateway.previous
        is_restored = (
            previous is not None
            and revisions.epoch_generation(previous.epoch) < self.generation
        )
        wait = recovery_wait.plan(
            gateway.recovery_started_s,
            previous if is_restored else None,
            gateway.responses,
            [g.vm.name for g in self.gateways],
            gateway.table.epoch if gateway.table else 0,
        )
        return wait.until_s - self.now_s

    @stateful.precondition(lambda self: self.keepers())
    @stateful.rule(
        data=strategies.data(), server=strategies.sampled_from(_SERVERS)
    )
    def move(
        self, data: strategies.DataObject, server: models.ServerInstance
    ) -> None:
        """Has a gateway move the keys by what it knows, which may be old."""
        self.move_keys(
            data.draw(strategies.sampled_from(self.keepers())), server
        )

    def move_keys(
        self, gateway: Gateway, server: models.ServerInstance
    ) -> None:
        """Writes a table with another owner, or completes the last move."""
        table = gateway.table
        (key_range,) = table.ranges
        if key_range.previous_owner is not None:
            # The keys have been released, so that the move is complete.
            token = key_range.token
            moved = dataclasses.replace(key_range, previous_owner=None)
        else:
            token = table.next_token
            moved = dataclasses.replace(
                key_range,
                owner=server,
                token=token,
                previous_owner=(
                    key_range.owner if key_range.owner != server else None
                ),
            )
        written = dataclasses.replace(
            table,
            epoch=gateway.acting_epoch,
            next_token=max(table.next_token, token + 1),
            ranges=(moved,),
        )
        if self.write_table(gateway, written):
            self.grant(gateway.table)
        else:
            self.sync(gateway)

    @stateful.invariant()
    def keys_have_one_owner(self) -> None:
        """Checks that at most one server holds the keys."""
        holders = [
            s
            for s, until_s in self.held_until_s.items()
            if until_s > self.now_s
        ]
        assert len(holders) <= 1


class TestRestorations:
    """Owners of keys, whatever the order of events."""

    def test_keys_have_one_owner(self):
        """Guards against two owners after any series of events."""
        stateful.run_state_machine_as_test(
            Restorations,
            settings=hypothesis.settings(
                derandomize=True,
                deadline=None,
                max_examples=400,
                stateful_step_count=30,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )

    def test_lease_that_only_a_frozen_gateway_knows(self):
        """Guards against a holder that takes its earlier lease for the last.

        The holder was frozen for less time than its evidence counts.
        """
        machine = Restorations()
        machine.start()
        first, holder, successor = machine.gateways
        first.is_frozen = True
        machine.wait(3.0)
        machine.succeed(holder)
        holder.is_frozen = True
        machine.wait(2.0)
        machine.succeed(successor)
        machine.move_keys(successor, _SERVERS[1])
        successor.is_frozen = True
        machine.restore_store(lost=3, written=0)
        holder.is_frozen = False
        machine.succeed(holder)
        machine.keys_have_one_owner()
