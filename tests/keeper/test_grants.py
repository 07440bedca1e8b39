"""Tests of the grants of one backend server."""

import dataclasses
import math

import msgspec

from berylweir.backendapi import schemas as backendapi
from berylweir.keeper.authority import models as authority
from berylweir.keeper.grants import decisions
from berylweir.keeper.grants import models
from berylweir.objects import schemas
from berylweir.standin import backend

_TIMINGS = authority.Timings()


def _home_state() -> models.HomeState:
    server = schemas.BackendServer("s-0", "stock", "a", "127.0.0.1", 1)
    return models.HomeState(
        server,
        "stock.0",
        5,
        checks_grants=True,
        is_keyed=True,
        became_home_s=0.0,
        became_home_wall_s=0.0,
        moving_slices=((3, 5),),
        delegated_until_s=1.0,
        has_router_report=True,
        report_version=5,
        served_slices=frozenset({3}),
    )


def late_grant_is_refused(safety: authority.SafetyRules) -> bool:
    """Returns whether the server refuses a grant that arrives too late.

    The grant is created before the revocation of its slice and arrives at the
    server after it.
    """
    server = backend.BackendState(backend.BackendConfig("s-0"), lambda: 10.0)
    home = decisions.record_response(
        _home_state(), None, server.status(), 0.0, sent_s=0.0
    )
    late_grant = decisions.next_grant(home, 0.1, _TIMINGS, safety)
    drained_home = dataclasses.replace(home, served_slices=frozenset())
    revocation = decisions.next_grant(drained_home, 0.2, _TIMINGS, safety)
    assert late_grant is not None
    assert revocation is not None
    assert late_grant.slices == (backendapi.SliceGrant(3, 5),)
    status = server.grant(revocation)
    released_home = decisions.record_response(
        drained_home, revocation, status, 0.2, safety, sent_s=0.2
    )
    assert decisions.find_releases(released_home, 0.2, _TIMINGS, safety) == (
        decisions.Release((3,), True),
    )
    server.grant(late_grant)
    return 3 not in server.owned_slices()


class TestRenewal:
    """Grants of slices that the server keeps."""

    def test_a_grant_counts_once_it_is_acknowledged(self):
        """Guards against requests that arrive before the grant they need."""
        server = backend.BackendState(backend.BackendConfig("s-0"), lambda: 0.0)
        home = dataclasses.replace(
            _home_state(),
            owned_slices=((4, 5),),
            owned_since_wall_s={(4, 5): 0.0},
            moving_slices=(),
            served_slices=frozenset({4}),
        )
        home = decisions.record_response(
            home, None, server.status(), 0.0, sent_s=0.0
        )
        valid_until_times_s = []
        for delegated_until_s in (1.0, 2.0):
            home = dataclasses.replace(
                home, delegated_until_s=delegated_until_s
            )
            request = decisions.next_grant(home, 0.0, _TIMINGS)
            assert request is not None
            home = decisions.record_request(home, request, 0.0)
            valid_until_times_s.append(
                decisions.build_home_server(home).valid_until_s
            )
            home = decisions.record_response(
                home, request, server.grant(request), 0.0, sent_s=0.0
            )
            valid_until_times_s.append(
                decisions.build_home_server(home).valid_until_s
            )
        assert valid_until_times_s == [-math.inf, 1.0, 1.0, 2.0]

    def test_expiry_counts_from_the_sending_of_its_grant(self):
        """Guards against an authority that outlasts the server's grant.

        The next call is queued while the server's response is on its way.
        """
        server = backend.BackendState(backend.BackendConfig("s-0"), lambda: 0.0)
        home = decisions.record_response(
            _home_state(), None, server.status(), 0.0, sent_s=0.0
        )
        request = decisions.next_grant(home, 0.0, _TIMINGS)
        assert request is not None
        home = decisions.record_request(home, request, 0.0)
        home = decisions.record_request(home, request, 0.25)
        home = decisions.record_response(
            home, request, server.grant(request), 0.3, sent_s=0.0
        )
        assert home.acknowledged_until_s == request.expires_at_s


class TestIdleServer:
    """Responses of a server that reports no request in flight."""

    def test_is_idle_as_of_the_sending_of_the_probe(self):
        """Guards against dropping a request that was sent after the report.

        A request that is sent and abandoned while the response is on its way
        may still be running.
        """
        server = backend.BackendState(backend.BackendConfig("s-0"), lambda: 0.0)
        home = _home_state()
        for sent_s, received_s in ((0.0, 0.1), (0.35, 0.5)):
            home = decisions.record_response(
                home, None, server.status(), received_s, sent_s=sent_s
            )
        assert home.last_idle_s == 0.35


class TestRevocation:
    """Revocations of moving slices."""

    def test_covers_grants_in_transit(self):
        """Guards against a delayed grant that restores a released slice."""
        assert late_grant_is_refused(authority.SafetyRules())

    def test_late_grant_is_accepted_without_the_rule(self):
        """Guards against the test above passing without the safety rule."""
        incomplete_rules = dataclasses.replace(
            authority.SafetyRules(), revoke_later_grants=False
        )
        assert not late_grant_is_refused(incomplete_rules)

    def test_needs_no_delegation(self):
        """Guards against an infinite expiry, which JSON can't express."""
        server = backend.BackendState(
            backend.BackendConfig("s-0"), lambda: 10.0
        )
        home = decisions.record_response(
            _home_state(), None, server.status(), 0.0, sent_s=0.0
        )
        home = dataclasses.replace(
            home, served_slices=frozenset(), delegated_until_s=-math.inf
        )
        request = decisions.next_grant(home, 0.1, _TIMINGS)
        decoded = msgspec.json.decode(
            msgspec.json.encode(request), type=backendapi.GrantRequest
        )
        assert decoded == request

    def test_of_an_earlier_move_does_not_count(self):
        """Guards against releasing a slice that is granted again.

        A move that gets another target also gets a higher token, which may
        equal the token of the earlier revocation. The acknowledgement of that
        revocation must not count as a release for the new move.
        """
        server = backend.BackendState(
            backend.BackendConfig("s-0"), lambda: 10.0
        )
        home = decisions.record_response(
            _home_state(), None, server.status(), 0.0, sent_s=0.0
        )
        home = dataclasses.replace(home, served_slices=frozenset())
        revocation = decisions.next_grant(home, 0.1, _TIMINGS)
        status = server.grant(revocation)
        home = decisions.record_response(
            home, revocation, status, 0.1, sent_s=0.1
        )
        partition = schemas.Partition(
            "stock",
            0,
            1,
            schemas.Incarnation("vm-0", "0"),
            None,
            first_slice=3,
            slices=(schemas.Moving("s-0", "s-1", 6),),
        )
        home = decisions.apply_partition(home, partition, 6, 0.0)
        assert (
            decisions.find_releases(
                home, 0.1, _TIMINGS, authority.SafetyRules()
            )
            == ()
        )


class TestOwnedSlices:
    """Since when this VM is home of a slice."""

    def test_counts_from_the_last_change_of_the_owner(self):
        """Guards against a home that claims to know what another one ran."""
        home = dataclasses.replace(
            _home_state(), checks_grants=False, moving_slices=()
        )
        partition = schemas.Partition(
            "stock", 0, 1, schemas.Incarnation("vm-0", "0"), None, first_slice=3
        )
        since_times_s = []
        for version, slice_state in enumerate(
            (
                schemas.Owned("s-0", 6),
                schemas.Owned("s-0", 6),
                schemas.Moving("s-0", "s-1", 8),
                schemas.Owned("s-1", 9),
                schemas.Moving("s-1", "s-0", 10),
                schemas.Owned("s-0", 11),
                # The versions with another owner were not received.
                schemas.Owned("s-0", 17),
            ),
            start=6,
        ):
            home = decisions.apply_partition(
                home,
                msgspec.structs.replace(partition, slices=(slice_state,)),
                version,
                100.0 + version,
            )
            since_times_s += [
                s.since_s for s in decisions.build_home_server(home).slices
            ]
        assert since_times_s == [106.0, 106.0, 111.0, 112.0]
