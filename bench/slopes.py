"""Measures how the costs of a role grow with its load, for docs/CAPACITY.md.

Each cost is measured in this process at four sizes or more. A line is fitted by
least squares and reported with its largest relative residual.
"""

from collections.abc import Callable
from collections.abc import Hashable
import dataclasses
import json
import pathlib
import statistics
import time
import tracemalloc

import msgspec
import numpy

from berylweir.keeper import messages as keeper_messages
from berylweir.keeper.authority import models as authority
from berylweir.keeper.authority import task as authority_task
from berylweir.keeper.grants import homes
from berylweir.objects import messages as platform
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import codec
from berylweir.peers import messages as peers
from berylweir.peers import task as peer_task
from berylweir.router.admission import decisions as admission
from berylweir.router.admission import idempotency
from berylweir.router.admission import models as admission_models
from berylweir.router.table import decisions as table
from berylweir.supervision import mailbox

_RESULTS_FILE = pathlib.Path(__file__).parent / "results" / "slopes.json"
_REPETITIONS = 5
_SLICES = 64
_SERVERS = 8
_KEEPER_INCARNATION = schemas.Incarnation("vm-0", "1")


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Measured costs and the line fitted to them.

    Attributes:
        name: What was measured.
        size_unit: Unit of the sizes.
        value_unit: Unit of the values.
        sizes: Sizes, in `size_unit`.
        values: Measured value at each size, in `value_unit`.
        intercept: Value of the line at size 0.
        slope: Increase of the value for each unit of size.
        residual: Largest distance of a value from the line, as a share of the
            value.
    """

    name: str
    size_unit: str
    value_unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    residual: float


def fit(
    name: str,
    size_unit: str,
    value_unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Slope:
    """Calls `measure` for each size and fits a line to the values."""
    values = tuple(measure(size) for size in sizes)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residual = max(
        abs(v - (intercept + slope * s)) / max(abs(v), 1e-12)
        for s, v in zip(sizes, values, strict=True)
    )
    return Slope(
        name,
        size_unit,
        value_unit,
        sizes,
        values,
        float(intercept),
        float(slope),
        float(residual),
    )


def _measure_cpu_s(
    run: Callable[[], object], repetitions: int = _REPETITIONS
) -> float:
    """Returns the median processor time of a call, in seconds."""
    times = []
    for _ in range(repetitions):
        start_s = time.process_time()
        run()
        times.append(time.process_time() - start_s)
    return statistics.median(times)


def _stored(
    value: schemas.ConfigObject | schemas.Partition,
) -> platform.StoredObject:
    return platform.StoredObject(
        value.KIND,
        value.name,
        1,
        1,
        value=msgspec.Raw(msgspec.json.encode(value)),
    )


def _partition(name: str, index: int) -> schemas.Partition:
    servers = [f"{name}-{i}" for i in range(_SERVERS)]
    return schemas.Partition(
        name,
        index,
        1,
        _KEEPER_INCARNATION,
        schemas.Incarnation("vm-1", "1"),
        slices=tuple(
            schemas.Owned(servers[s % _SERVERS], 1) for s in range(_SLICES)
        ),
        homes=dict.fromkeys(servers, "vm-0"),
    )


class _HomesMailbox(mailbox.LatestMailbox[keeper_messages.PartitionChanged]):
    """Keeps the partitions that the authority sends to the homes task."""

    def __init__(self) -> None:
        super().__init__()
        self.pending: dict[Hashable, keeper_messages.PartitionChanged] = {}

    def put(
        self, subject: Hashable, message: keeper_messages.PartitionChanged
    ) -> None:
        self.pending[subject] = message


class _KeeperHarness:
    """Runs the authority and homes tasks of a keeper without sockets.

    Messages are passed to the tasks directly, and their clock is simulated.
    """

    def __init__(self, vms: int, partitions: int, held_partitions: int) -> None:
        self._now = 1000.0
        self._vms = vms
        self.outbox: mailbox.Mailbox[peer_task.Outgoing] = mailbox.Mailbox(
            "out", 1_000_000
        )
        self.inbox: mailbox.Mailbox[keeper_messages.AuthorityMessage] = (
            mailbox.Mailbox("in", 1_000_000)
        )
        self._homes_mailbox = _HomesMailbox()
        self._homes = homes.HomesTask(
            _KEEPER_INCARNATION.vm,
            authority.Timings(),
            mailbox.Mailbox("homes", 1_000_000),
            self._homes_mailbox,
            homes.Outboxes(
                self.outbox, mailbox.LatestMailbox(), mailbox.LatestMailbox()
            ),
            counters.Counters(),
            lambda: self._now,
        )
        self.task = authority_task.AuthorityTask(
            authority_task.Identity(_KEEPER_INCARNATION, "a"),
            authority.Timings(),
            self.inbox,
            authority_task.Outboxes(
                self.outbox,
                mailbox.LatestMailbox(),
                self._homes_mailbox,
                mailbox.LatestMailbox(),
            ),
            counters.Counters(),
            lambda: self._now,
        )
        items = [
            _stored(schemas.Vm(f"vm-{i}", "abc"[i % 3], "127.0.0.1", 1, 2))
            for i in range(vms)
        ]
        for number in range(partitions):
            name = f"g{number}"
            items.append(
                _stored(schemas.ServerGroup(name, schemas.Keyed(_SLICES)))
            )
            items += [
                _stored(
                    schemas.BackendServer(
                        f"{name}-{i}", name, "abc"[i % 3], "127.0.0.1", 3
                    )
                )
                for i in range(_SERVERS)
            ]
            partition = _partition(name, 0)
            if number >= held_partitions:
                partition = msgspec.structs.replace(
                    partition,
                    holder=schemas.Incarnation("vm-2", "1"),
                    homes=dict.fromkeys(partition.homes, "vm-2"),
                )
            items.append(_stored(partition))
        self._deliver(
            keeper_messages.WatchReturned(platform.ObjectList(1, tuple(items)))
        )
        self.run_one_second()

    def _deliver(self, message: keeper_messages.AuthorityMessage) -> None:
        self.task.handle(message)

    def run_one_second(self) -> int:
        """Runs 20 ticks of 50 ms; returns the bytes that peers would get."""
        for _ in range(20):
            self._now += 0.05
            self.task.tick()
            for partition_message in tuple(
                self._homes_mailbox.pending.values()
            ):
                self._homes.handle_partition(partition_message)
            self._homes_mailbox.pending.clear()
            self._homes.tick()
        sent = 0
        while (outgoing := self.outbox.get_nowait()) is not None:
            sent += self._size(outgoing)
        while self.inbox.get_nowait() is not None:
            pass
        return sent

    def _size(self, outgoing: peer_task.Outgoing) -> int:
        match outgoing:
            case peer_task.KeeperAddresses():
                return 0
            case peer_task.ToAll(message=message):
                copies = self._vms - 1
            case (
                peer_task.ToVm(message=message)
                | peer_task.ToAddress(message=message)
            ):
                copies = 1
        envelope = peers.Envelope(
            _KEEPER_INCARNATION, "a", codec.encode(message), 1
        )
        return copies * len(codec.encode(envelope))

    def handle_heartbeats(self, vms: int) -> None:
        """Handles one heartbeat from each other VM."""
        for index in range(1, vms):
            self._sequence = getattr(self, "_sequence", 0) + 1
            self._deliver(
                keeper_messages.PeerMessageReceived(
                    peer_task.ReceivedMessage(
                        schemas.Incarnation(f"vm-{index}", "1"),
                        "b",
                        peers.Heartbeat(self._sequence, 1, ()),
                    )
                )
            )


def _measure_cpu_by_held(held_partitions: int) -> float:
    keeper = _KeeperHarness(10, held_partitions, held_partitions)
    return _measure_cpu_s(keeper.run_one_second)


def _measure_cpu_by_known(known_partitions: int) -> float:
    keeper = _KeeperHarness(10, known_partitions, 1)
    return _measure_cpu_s(keeper.run_one_second)


def _measure_sent_bytes(vms: int) -> float:
    return float(_KeeperHarness(vms, 1, 1).run_one_second())


def _measure_heartbeat_cpu(vms: int) -> float:
    keeper = _KeeperHarness(vms, 1, 1)
    return _measure_cpu_s(lambda: keeper.handle_heartbeats(vms))


def _measure_keeper_memory(known_partitions: int) -> float:
    tracemalloc.start()
    keeper = _KeeperHarness(10, known_partitions, 1)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del keeper
    return float(used_bytes)


def _table_update(slices: int) -> peers.TableUpdate:
    servers = [f"s-{i}" for i in range(max(1, slices // 32))]
    partition = schemas.Partition(
        "g",
        0,
        1,
        _KEEPER_INCARNATION,
        None,
        slices=tuple(
            schemas.Owned(servers[i % len(servers)], 1) for i in range(slices)
        ),
        homes=dict.fromkeys(servers, "vm-0"),
    )
    return peers.TableUpdate(
        1,
        (schemas.ServerGroup("g", schemas.Keyed(slices)),),
        tuple(
            schemas.BackendServer(s, "g", "a", "127.0.0.1", 1) for s in servers
        ),
        (),
        (schemas.Selector("g", "/", "g"),),
        (),
        ((1, partition),),
    )


def _measure_table_cpu(slices: int) -> float:
    data = codec.encode(_table_update(slices))
    return _measure_cpu_s(
        lambda: table.build(codec.decode_to_router(data).unwrap())  # type: ignore[arg-type]
    )


def _measure_table_memory(slices: int) -> float:
    data = codec.encode(_table_update(slices))
    tracemalloc.start()
    routing_table = table.build(codec.decode_to_router(data).unwrap())  # type: ignore[arg-type]
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del routing_table
    return float(used_bytes)


def _measure_idempotency_memory(ids: int) -> float:
    created_ms = 1_000_000_000_000
    tracemalloc.start()
    idempotency_table = idempotency.IdempotencyTable(600.0, 1.0)
    for number in range(ids):
        value = (created_ms << 80) | (7 << 76) | (2 << 62) | number
        text = f"{value:032x}"
        request_id = "-".join(
            (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
        )
        assert idempotency_table.register(
            request_id, 0.0, created_ms / 1000.0
        ).is_ok()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del idempotency_table
    return float(used_bytes)


def _measure_admission_cpu(requests: int) -> float:
    state = admission.new_state(admission_models.Limits("g", 3))
    admission.set_authorities(
        state,
        (
            admission_models.Authority(
                "s", "1", 1e9, dict.fromkeys(range(_SLICES), 1), 0.0
            ),
        ),
        0.0,
    )

    def run() -> None:
        for number in range(requests):
            ticket = admission_models.Ticket(
                number, "s", 1, "c", 4, 1e9, True, "", number, 0.0
            )
            admission.submit(state, ticket, 1.0, 1.0)
            admission.finish(
                state, "s", ticket, admission_models.Ending.COMPLETED, 1.0
            )

    return _measure_cpu_s(run)


def measure_all() -> tuple[Slope, ...]:
    """Measures the growth of each cost."""
    return (
        fit(
            "keeper processor time by partitions held",
            "partitions",
            "s of a core per s",
            (1, 2, 4, 8),
            _measure_cpu_by_held,
        ),
        fit(
            "keeper processor time by partitions known",
            "partitions",
            "s of a core per s",
            (4, 8, 16, 32),
            _measure_cpu_by_known,
        ),
        fit(
            "keeper memory by partitions known",
            "partitions",
            "bytes",
            (16, 32, 64, 128),
            _measure_keeper_memory,
        ),
        fit(
            "keeper bytes sent by VMs",
            "VMs",
            "bytes per s",
            (5, 10, 20, 40),
            _measure_sent_bytes,
        ),
        fit(
            "processor time of one heartbeat of each VM",
            "VMs",
            "s",
            (10, 20, 40, 80),
            _measure_heartbeat_cpu,
        ),
        fit(
            "table build by slices",
            "slices",
            "s",
            (1024, 4096, 16384, 65536),
            _measure_table_cpu,
        ),
        fit(
            "table memory by slices",
            "slices",
            "bytes",
            (1024, 4096, 16384, 65536),
            _measure_table_memory,
        ),
        fit(
            "ledger memory by ids",
            "ids",
            "bytes",
            (1000, 4000, 16000, 64000),
            _measure_idempotency_memory,
        ),
        fit(
            "admission processor time by requests",
            "requests",
            "s",
            (1000, 2000, 4000, 8000),
            _measure_admission_cpu,
        ),
    )


def _main() -> None:
    slopes = measure_all()
    _RESULTS_FILE.parent.mkdir(exist_ok=True)
    _RESULTS_FILE.write_text(
        json.dumps([dataclasses.asdict(s) for s in slopes], indent=1) + "\n"
    )
    for slope in slopes:
        print(
            f"{slope.name}: {slope.intercept:.4g} + {slope.slope:.4g} "
            f"{slope.value_unit} for each of {slope.size_unit}, "
            f"residual {slope.residual:.0%}"
        )


if __name__ == "__main__":
    _main()
