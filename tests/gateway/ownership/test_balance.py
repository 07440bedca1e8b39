"""Tests of the planning of moves."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from berylweir.gateway import models
from berylweir.gateway.ownership import balance
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables

_INSTANCES = [models.ServerInstance(f"s{i}", 1) for i in range(4)]


def candidates(*service_ms: float) -> list[ownership.Candidate]:
    """Returns candidates of three slots with service times in ms."""
    return [
        ownership.Candidate(instance, 3, ms, 0.0)
        for instance, ms in zip(_INSTANCES, service_ms, strict=False)
    ]


def request_rates(
    table: models.KeyTable, demand: ownership.Demand
) -> list[float]:
    """Returns the requests per second of each server's keys."""
    server_rates = []
    for instance in _INSTANCES:
        key_rates = [
            rate
            for key, rate in demand.rates.items()
            if any(
                r.owner == instance and r.first <= key <= r.last
                for r in table.ranges
            )
        ]
        server_rates.append(sum(key_rates))
    return server_rates


def apply_moves(table, servers, demand, rounds=20):
    """Returns the table after several rounds of moves."""
    for _ in range(rounds):
        plan = balance.plan_moves(table, servers, demand, rebalance=True)
        moves = plan.moves
        table = tables.complete_moves(
            tables.start_moves(table, moves), lambda _: True
        )
    return table


class TestPlanMoves:
    """Moves that balance the utilisation of the servers."""

    def test_a_cluster_of_busy_keys_is_spread(self):
        """Guards against leaving adjacent busy keys on one server."""
        demand = ownership.Demand({100 + i: 1.0 for i in range(80)}, 0.0001)
        servers = candidates(100, 100, 100, 100)
        table = apply_moves(tables.create("g", _INSTANCES, 1), servers, demand)
        assert max(request_rates(table, demand)) <= 30

    def test_many_servers_share_busy_keys_within_two_rounds(self):
        """Guards against balancing more slowly than the demand changes."""
        instances = [models.ServerInstance(f"s{i}", 1) for i in range(105)]
        servers = [
            ownership.Candidate(instance, 3, 100.0, 0.0)
            for instance in instances
        ]
        demand = ownership.Demand({100 + i: 1.5 for i in range(200)}, 0.0001)
        table = tables.create("g", instances, 1)
        table = apply_moves(table, servers, demand, rounds=2)
        rate_by_instance = {
            instance: sum(
                demand.rates.get(key, 0.0)
                for r in table.ranges
                if r.owner == instance
                for key in range(r.first, min(r.last, 300) + 1)
            )
            for instance in instances
        }
        # Three slots of 100 ms each.
        assert max(rate_by_instance.values()) <= 30.0

    def test_a_faster_server_gets_more(self):
        """Guards against balancing by request rate without service times."""
        demand = ownership.Demand({k * 600: 1.0 for k in range(100)}, 0.0001)
        servers = candidates(50, 200, 200, 200)
        table = apply_moves(tables.create("g", _INSTANCES, 1), servers, demand)
        rates = request_rates(table, demand)
        assert rates[0] > 2 * max(rates[1:])

    def test_keys_leave_a_server_that_names_a_limit(self):
        """Guards against refusals at a limit while others have capacity."""
        demand = ownership.Demand({k * 600: 0.2 for k in range(100)}, 0.0001)
        servers = [
            dataclasses.replace(candidate, limit=limit)
            for candidate, limit in zip(
                candidates(100, 100, 100, 100),
                (8.0, 6.0, 0.0, None),
                strict=True,
            )
        ]
        table = apply_moves(tables.create("g", _INSTANCES, 1), servers, demand)
        rates = request_rates(table, demand)
        # The servers can take 8 + 6 + 0 + 30 requests a second in all.
        assert rates[0] < 8.0
        assert rates[1] < 6.0
        assert rates[2] < 1.0

    def test_a_single_busy_key_goes_to_the_fastest_server(self):
        """Guards against a busy key on a server too slow for its rate."""
        demand = ownership.Demand({60_000: 30.0, 5: 1.0}, 0.0001)
        servers = candidates(80, 150, 150, 200)
        table = apply_moves(tables.create("g", _INSTANCES, 1), servers, demand)
        assert request_rates(table, demand)[0] >= 30.0

    def test_an_overloaded_key_does_not_block_other_moves(self):
        """Guards against planning no move because one key can't be relieved."""
        rates = {100: 90.0} | {20_000 + i: 1.0 for i in range(40)}
        demand = ownership.Demand(rates, 0.0001)
        servers = candidates(50, 100, 100, 100)
        table = apply_moves(tables.create("g", _INSTANCES, 1), servers, demand)
        assert max(request_rates(table, demand)[1:]) <= 20

    def test_keys_of_a_lost_server_are_spread_over_the_others(self):
        """Guards against assigning all keys of a lost server to one other."""
        demand = ownership.Demand({k * 600: 1.0 for k in range(100)}, 0.0001)
        table = tables.create("g", _INSTANCES, 1)
        servers = candidates(100, 100, 100)
        plan = balance.plan_moves(table, servers, demand, rebalance=False)
        moves = plan.moves
        table = tables.complete_moves(
            tables.start_moves(table, moves), lambda _: True
        )
        assert all(r.owner != _INSTANCES[3] for r in table.ranges)
        rates = request_rates(table, demand)
        assert max(rates) <= 45

    def test_busy_keys_of_a_leaving_server_move_in_parts(self):
        """Guards against keys that aren't served while others are released."""
        table = tables.create("g", _INSTANCES, 1)
        demand = ownership.Demand(
            {key: 1.0 for key in range(0, 16_384, 512)}, 0
        )
        moves = balance.plan_moves(
            table, candidates(100, 100, 100, 100)[1:], demand, rebalance=False
        ).moves
        part_rates = [
            sum(
                rate
                for k, rate in demand.rates.items()
                if m.first <= k <= m.last
            )
            for m in moves
        ]
        assert sum(m.last - m.first + 1 for m in moves) == 16_384
        assert max(part_rates) <= 6.0
        idle = ownership.Demand({}, 0.0001)
        moves = balance.plan_moves(
            table, candidates(100, 100, 100, 100)[1:], idle, rebalance=False
        ).moves
        assert len(moves) <= 4

    def test_balanced_load_causes_no_moves(self):
        """Guards against moves that don't improve the balance."""
        demand = ownership.Demand({k * 655: 1.0 for k in range(100)}, 0.0001)
        table = tables.create("g", _INSTANCES, 1)
        servers = candidates(100, 100, 100, 100)
        plan = balance.plan_moves(table, servers, demand, rebalance=True)
        assert not plan.moves

    @hypothesis.given(
        st.dictionaries(
            st.integers(0, models.KEY_COUNT - 1),
            st.floats(0.05, 30.0),
            max_size=40,
        ),
        st.lists(st.floats(10, 500), min_size=1, max_size=4),
    )
    def test_any_demand_gives_valid_moves(self, rates, service_ms):
        """Guards against moving keys to servers that aren't candidates."""
        servers = candidates(*service_ms)
        instances = {c.instance for c in servers}
        table = tables.create("g", _INSTANCES, 1)
        demand = ownership.Demand(rates, 0.0001)
        plan = balance.plan_moves(table, servers, demand, rebalance=True)
        moves = plan.moves
        assert {m.target for m in moves} <= instances
        moved = tables.complete_moves(
            tables.start_moves(table, moves), lambda _: True
        )
        assert {r.owner for r in moved.ranges} <= instances
