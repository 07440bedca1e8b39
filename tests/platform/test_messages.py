"""Tests of the HTTP messages and of the stored objects."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest
import result

from berylweir.gateway import models
from berylweir.platform import grants
from berylweir.platform import objects
from berylweir.platform import requests
from berylweir.platform import store
from berylweir.standin.gateway_platform import server as server_standin


def make_stored_object(
    spec: object, status: object = None
) -> store.StoredObject:
    """Returns a stored object with the given contents."""
    return store.build_stored_object(
        "n",
        7,
        msgspec.Raw(msgspec.json.encode(spec)),
        msgspec.Raw(msgspec.json.encode(status)),
    )


class TestRequests:
    """Heads of requests from callers and of responses from servers."""

    def test_hop_by_hop_headers_are_not_forwarded(self):
        """Guards against request smuggling and a forwarded caller deadline."""
        head = requests.decode_request(
            "POST",
            b"/a/b?c=d",
            [
                (b"host", b"Site.Example:80"),
                (b"request-id", b"a1"),
                (b"deadline-ms", b"900"),
                (b"expect-instance", b"other"),
                (b"transfer-encoding", b"chunked"),
                (b"connection", b"close"),
                (b"shard-key", b"65535"),
                (b"x-own", b"kept"),
            ],
        )
        assert (head.host, head.path) == ("site.example", "/a/b")
        assert (head.deadline_ms, head.key) == (900.0, 65_535)
        request = requests.encode_request(head, 3, "s1", 812.7).lower()
        assert request.startswith(b"post /a/b?c=d http/1.1\r\n")
        assert b"x-own: kept" in request
        assert b"deadline-ms: 812\r\n" in request
        assert request.count(b"expect-instance") == 1
        assert b"chunked" not in request
        assert b"connection" not in request

    def test_key_out_of_range_is_ignored(self):
        """Guards against a lookup outside the key table."""
        for value in (b"65536", b"-1", b"x", b""):
            head = requests.decode_request("GET", b"/", [(b"shard-key", value)])
            assert head.key is None

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        b"server-load",
                        b"warmup-ms",
                        b"server-limit",
                        b"server-leaving",
                        b"retry-after",
                        b"keep-alive",
                        b"content-length",
                        b"not-run",
                    ]
                ),
                st.binary(max_size=12),
            )
        ),
        st.integers(200, 599),
    )
    def test_any_response_can_be_decoded(self, headers, status):
        """Guards against a malformed header that raises an exception."""
        response = requests.decode_response(status, headers)
        assert response.status == status

    @hypothesis.given(
        st.sampled_from(("nan", "inf", "-inf", "1e999", "1" * 400)),
        st.sampled_from(
            (
                "server-load: {},0,3",
                "server-load: 1,{},3",
                "server-load: 1,0,{}",
                "server-load: 1,0,3,{}",
                "warmup-ms: {}",
                "content-length: {}",
                "keep-alive: timeout={}",
            )
        ),
    )
    def test_numbers_that_are_not_finite_are_ignored(self, number, header):
        """Guards against `nan` that ends a request or spoils an estimate."""
        name, _, value = header.format(number).partition(": ")
        response = requests.decode_response(
            200, [(name.encode(), value.encode())]
        )
        assert response.statements.load is None
        assert response.statements.cold_ms is None
        assert response.content_length is None
        assert response.keep_alive_timeout_s is None

    def test_deadline_that_is_not_finite_is_ignored(self):
        """Guards against a request that never times out, or always does."""
        for value in (b"nan", b"inf", b"1e999"):
            head = requests.decode_request(
                "GET", b"/", [(b"deadline-ms", value)]
            )
            assert head.deadline_ms is None

    def test_server_load_is_decoded(self):
        """Guards against a wrong order of the fields of `server-load`."""
        response = requests.decode_response(
            200,
            [(b"server-load", b"2,5,3,140"), (b"keep-alive", b"timeout=8")],
        )
        assert response.statements.load == models.Load(2, 5, 3, 1.4)
        assert response.keep_alive_timeout_s == 8.0


class TestRateLimit:
    """Limits that servers name in their responses."""

    def decode(
        self, value: bytes | None, *, status: int = 200, is_signed: bool = True
    ) -> models.RateLimitStatement:
        """Returns the statement in a response."""
        headers = [(b"response-seal", b"x")] if is_signed else []
        if value is not None:
            headers.append((b"server-limit", value))
        response = requests.decode_response(status, headers)
        assert all(n != b"server-limit" for n, _ in response.headers)
        return response.statements.rate_limit

    def test_limit_is_a_decimal_number(self):
        """Guards against limits below one request per second read as 0."""
        assert self.decode(b"0.2") == models.RateLimited(0.2)
        assert self.decode(b"0") == models.RateLimited(0.0)
        assert self.decode(b"1e9", status=503) == models.RateLimited(1e9)

    def test_invalid_limit_is_reported_as_such(self):
        """Guards against `nan` or a date in the arithmetic of rates."""
        for value in (b"nan", b"inf", b"-1", b"soon", b"", b"1,5"):
            assert isinstance(self.decode(value), models.RateLimitInvalid)

    @pytest.mark.parametrize(
        "value", [b"1e308,1e308,3", b"1,0,1e300", b"0,0,3,1e99", b"-1e308,0,3"]
    )
    def test_enormous_server_load_is_ignored(self, value):
        """Guards against numbers that end the dispatcher when added up."""
        head = requests.decode_response(200, [(b"server-load", value)])
        assert head.statements.load is None

    def test_only_a_response_of_the_server_itself_lifts_a_limit(self):
        """Guards against a limit lifted by a faulty or another server."""
        assert self.decode(None) == models.NotRateLimited()
        for statement in (
            self.decode(None, is_signed=False),
            self.decode(None, status=421),
            self.decode(b"5", status=421),
        ):
            assert statement == models.RateLimitUnstated()


class TestLeavingAndPause:
    """What servers say of their end, and with a rejection."""

    def decode(self, *headers, status: int = 200) -> models.ServerStatements:
        """Returns the statements in a response."""
        return requests.decode_response(status, list(headers)).statements

    def test_leaving_is_stated_by_the_server_itself(self):
        """Guards against excluding a server for another one's statement."""
        leaving = (b"server-leaving", b"1")
        assert self.decode(leaving).is_leaving
        assert self.decode(leaving, status=503).is_leaving
        assert not self.decode(leaving, status=421).is_leaving
        assert not self.decode((b"server-leaving", b"0")).is_leaving
        assert not self.decode().is_leaving

    @pytest.mark.parametrize("value", [b"nan", b"-5", b"1e300", b"soon"])
    def test_odd_warm_up_is_not_taken(self, value):
        """Guards against a server that stays cold forever."""
        assert self.decode((b"warmup-ms", value)).cold_ms is None

    def test_pause_comes_with_a_rejection(self):
        """Guards against a pause from a date, a caller's header or `nan`."""

        def pause(value: bytes, status: int = 503):
            return self.decode((b"retry-after", value), status=status).pause

        assert pause(b"1.5") == models.Pause(1.5)
        assert pause(b"0") == models.Pause(0.0)
        assert pause(b"60") == models.Pause(60.0)
        assert pause(b"1e9") == models.PauseShortened(60.0, "1e9")
        assert pause(b"2", status=200) is None
        assert self.decode(status=503).pause is None
        for value in (b"-1", b"nan", b"", b"Wed, 21 Oct 2026 07:28:00 GMT"):
            assert isinstance(pause(value), models.PauseInvalid)


class TestStoredObjects:
    """Backend servers, key tables and the gateway's other objects."""

    def test_odd_entries_of_servers_are_undecodable(self):
        """Guards against errors at each use of an entry of another writer."""
        entry = server_standin.server_spec("n", "books", 8080)
        odd_entries = [
            {**entry, "addr": address}
            for address in (
                "127.0.0.1:65536",
                "127.0.0.1:0",
                "127.0.0.1:-1",
                "127.0.0.1:" + 5000 * "9",
                "127.0.0.1: 80",
                ":80",
                "host:80",
                "80",
            )
        ]
        odd_entries += [
            {**entry, "info": {**entry["info"], "maxConcurrency": slots}}
            for slots in (-1, 0, 10**12, 10**18, 1.5, "3")
        ]
        odd_entries += [{**entry, "born": b} for b in (-1, 2**60, 1.5, None)]
        odd_entries.append(
            {**entry, "status": {"state": "ready", "warmupLeftMs": 1e300}}
        )
        for odd_entry in odd_entries:
            decoded = objects.decode_server(make_stored_object(odd_entry))
            assert isinstance(decoded, result.Err), odd_entry

    def test_deeply_nested_objects_are_undecodable(self):
        """Guards against a recursion error that ends the reading task."""
        depth = 100_000
        nested = msgspec.Raw(b'{"x":' + b"[" * depth + b"]" * depth + b"}")
        null = msgspec.Raw(b"null")
        for decode in (
            objects.decode_server,
            objects.decode_configuration,
            objects.decode_gateway_object,
            objects.decode_table,
        ):
            stored = store.build_stored_object("n", 7, nested, null)
            assert isinstance(decode(stored), result.Err)

    def test_backend_server_is_decoded(self):
        """Guards against fields that are assigned to the wrong attribute."""
        spec = server_standin.server_spec(
            "n", "books", 8080, zone="z", born_ms=5, cold_ms=9
        )
        decoded = objects.decode_server(make_stored_object(spec)).unwrap()
        assert (decoded.group, decoded.availability_zone) == ("books", "z")
        assert (decoded.instance, decoded.cold_ms) == (
            models.ServerInstance("n", 5),
            9,
        )
        assert decoded.revision == 7

    @pytest.mark.parametrize(
        "name", ["s-\u0142", "s\r\nx: y", "", "s 1", "s\x00"]
    )
    def test_server_whose_id_is_no_header_value_is_undecodable(self, name):
        """Guards against an id that ends requests, or adds headers to them."""
        spec = server_standin.server_spec("s1", "g", 80)
        stored = store.build_stored_object(
            name,
            1,
            msgspec.Raw(msgspec.json.encode(spec)),
            msgspec.Raw(b"null"),
        )
        assert isinstance(objects.decode_server(stored), result.Err)

    def test_malformed_backend_server_is_undecodable(self):
        """Guards against a server built from a malformed object."""
        valid = server_standin.server_spec("n", "books", 8080)
        for invalid in (
            None,
            7,
            {},
            valid | {"addr": "nowhere"},
            valid | {"born": "soon"},
            valid | {"status": {"state": "resting"}},
            valid | {"info": {"backend": 3}},
        ):
            decoded = objects.decode_server(make_stored_object(invalid))
            assert isinstance(decoded, result.Err), invalid

    @hypothesis.given(
        st.recursive(
            st.none() | st.text() | st.integers(),
            lambda c: (
                st.lists(c, max_size=3)
                | st.dictionaries(st.text(), c, max_size=3)
            ),
        )
    )
    def test_any_malformed_contents_return_a_failure(self, spec):
        """Guards against an object whose contents crash a store watcher."""
        for decode in (
            objects.decode_server,
            objects.decode_configuration,
            objects.decode_gateway_object,
            objects.decode_table,
        ):
            assert isinstance(decode(make_stored_object(spec)), result.Err)

    def test_vm_round_trip(self):
        """Guards against gateways that can't be forwarded to."""
        vm = models.Vm("v", "run", "10.1.0.15", 1, "a", 5, forward_port=2)
        for spec, expected in (
            (objects.encode_vm(vm), vm),
            # Written by an earlier version.
            (
                b'{"incarnation":"run","host":"10.1.0.15","port":1,'
                b'"availability_zone":"a"}',
                dataclasses.replace(vm, forward_port=0),
            ),
        ):
            stored = store.build_stored_object(
                "vm.v", 5, msgspec.Raw(spec), msgspec.Raw(b"null")
            )
            assert objects.decode_gateway_object(stored).unwrap() == expected

    def test_key_table_round_trip(self):
        """Guards against owners or tokens lost in encoding."""
        table = models.KeyTable(
            "g",
            7,
            4,
            9,
            (
                models.KeyRange(0, 99, models.ServerInstance("a", 1), 3),
                models.KeyRange(
                    100,
                    65_535,
                    models.ServerInstance("b", 2),
                    8,
                    models.ServerInstance("a", 1),
                ),
            ),
        )
        raw = msgspec.json.decode(objects.encode_table(table))
        assert objects.decode_table(make_stored_object(raw)).unwrap() == table


class TestGrantCommands:
    """Grant and release commands."""

    def test_grant_request_names_its_server(self):
        """Guards against a grant accepted by another server on that address."""
        request = grants.encode_request(
            grants.Grant(1, 9, 4, 2500, "h"), "s1", "h", 80, "c-1"
        )
        head, _, body = request.partition(b"\r\n\r\n")
        assert b"expect-instance: s1" in head
        assert b"request-id: c-1" in head
        assert msgspec.json.decode(body) == {
            "from": 1,
            "to": 9,
            "fence": 4,
            "holdMs": 2500,
            "handover": "h",
        }

    def test_responses_are_decoded(self):
        """Guards against an error status that counts as acceptance."""
        assert grants.decode_response(
            200, ((b"handover", b"x"),)
        ) == grants.Accepted("x")
        assert grants.decode_response(409, ()) == grants.Superseded()
        assert grants.decode_response(421, ()) == grants.Rejected(421)
