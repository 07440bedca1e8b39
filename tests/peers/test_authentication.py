"""Tests of the authentication of messages between keepers."""

import asyncio

import msgspec
import pytest

from berylweir.conf import loading
from berylweir.conf import schemas as conf
from berylweir.keeper import supervisor
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import authentication
from berylweir.peers import messages
from berylweir.standin import deployment
from berylweir.standin import ports as ports_module

_OLD_KEY = "old:" + "11" * 16
_NEW_KEY = "new:" + "22" * 16
_RECEIVER = "127.0.0.1:7101"


def unsigned_envelope(sequence: int, nonce: str = "n") -> messages.Envelope:
    """Returns an unsigned envelope."""
    return messages.Envelope(
        schemas.Incarnation("vm-0", nonce), "a", b"body", sequence
    )


def signed_envelope(
    sequence: int, key: str = _OLD_KEY, to: str = _RECEIVER
) -> messages.Envelope:
    """Returns an envelope signed with a key."""
    return authentication.sign(
        unsigned_envelope(sequence), to, authentication.parse_keyring(key)
    )


@pytest.fixture
def verifier() -> authentication.Verifier:
    return authentication.Verifier(
        authentication.parse_keyring(_OLD_KEY), _RECEIVER
    )


class TestVerifier:
    """The verification of received messages."""

    def test_each_message_is_accepted_once_and_in_order(
        self, verifier: authentication.Verifier
    ):
        """Guards against a replay to the same keeper."""
        assert verifier.verify(signed_envelope(1)).is_ok()
        assert verifier.verify(signed_envelope(3)).is_ok()
        for sequence in (1, 2, 3):
            rejection = verifier.verify(signed_envelope(sequence)).unwrap_err()
            assert rejection == authentication.Replayed(sequence, 3)

    def test_new_incarnation_starts_over(
        self, verifier: authentication.Verifier
    ):
        """Guards against dropping all messages of a restarted keeper.

        Its sequence numbers start at 1 again, under a new nonce.
        """
        assert verifier.verify(signed_envelope(9)).is_ok()
        after_restart = authentication.sign(
            unsigned_envelope(1, "other"),
            _RECEIVER,
            authentication.parse_keyring(_OLD_KEY),
        )
        assert verifier.verify(after_restart).is_ok()
        assert verifier.verify(signed_envelope(9)).is_err()

    @pytest.mark.parametrize(
        "change",
        [
            {"body": b"other"},
            {"sequence": 2},
            {"availability_zone": "b"},
            {"sender": schemas.Incarnation("vm-1", "n")},
        ],
    )
    def test_changed_message_is_dropped(
        self, verifier: authentication.Verifier, change: dict[str, object]
    ):
        """Guards against a field that the MAC doesn't cover."""
        forged = msgspec.structs.replace(signed_envelope(1), **change)
        rejection = verifier.verify(forged).unwrap_err()
        assert rejection == authentication.InvalidMac()

    def test_message_to_another_receiver_is_dropped(
        self, verifier: authentication.Verifier
    ):
        """Guards against a replay to another keeper."""
        for_another_receiver = signed_envelope(1, to="127.0.0.1:7201")
        assert (
            verifier.verify(for_another_receiver).unwrap_err()
            == authentication.InvalidMac()
        )

    def test_unsigned_and_unknown_keys_are_dropped(
        self, verifier: authentication.Verifier
    ):
        """Guards against accepting a sender without the key."""
        assert (
            verifier.verify(unsigned_envelope(1)).unwrap_err()
            == authentication.Unsigned()
        )
        assert verifier.verify(
            signed_envelope(1, _NEW_KEY)
        ).unwrap_err() == authentication.UnknownKey("new")


class TestKeyring:
    """Parsing of keys from the settings."""

    def test_two_keys_are_valid_during_rotation(self):
        """Guards against rejecting keepers that don't have the new key yet."""
        verifier = authentication.Verifier(
            authentication.parse_keyring(_NEW_KEY, _OLD_KEY), _RECEIVER
        )
        assert verifier.verify(signed_envelope(1, _OLD_KEY)).is_ok()
        assert verifier.verify(signed_envelope(2, _NEW_KEY)).is_ok()

    def test_faults_of_keys_are_named_without_the_secret(self):
        """Guards against a secret in an error message."""
        faults = loading.parse(
            "[vm]\nname = v\navailability_zone = a\n"
            "[platform]\nurl = http://127.0.0.1:1\n"
            "[keeper]\npeer_key = a:00ff\nfurther_peer_key = b:zz\n"
        ).unwrap_err()
        assert [f.id for f in faults] == ["conf.E106", "conf.E106"]
        assert "00ff" not in " ".join(map(str, faults))


class TestKeepers:
    """Keepers that authenticate each other over real sockets."""

    async def test_keeper_with_another_key_is_not_heard(self):
        """Guards against keepers that don't verify messages."""
        async with deployment.Deployment((), vms=1) as cluster:
            settings_of_first = cluster.vms["vm-0"].settings
            keepers = []
            metrics_of_keepers = []
            for index, key in enumerate((_OLD_KEY, _OLD_KEY, _NEW_KEY)):
                ports = ports_module.free_ports(3)
                metrics = counters.Counters()
                settings = msgspec.structs.replace(
                    settings_of_first,
                    vm=conf.VmSection(f"key-{index}", "a"),
                    keeper=conf.KeeperSection(*ports, peer_key=key),
                )
                cluster.put(
                    schemas.Vm(settings.vm.name, "a", "127.0.0.1", 9, ports[0])
                )
                keeper = deployment.ChildRunner(
                    supervisor.build(settings, metrics).run
                )
                await keeper.start()
                keepers.append(keeper)
                metrics_of_keepers.append(metrics)
            async with asyncio.timeout(10):
                while not (
                    metrics_of_keepers[0].counts.get("keeper.peer.unknown_key")
                    and metrics_of_keepers[2].counts.get(
                        "keeper.peer.unknown_key"
                    )
                    and metrics_of_keepers[0].counts["keeper.peer.received"]
                    > metrics_of_keepers[0].counts["keeper.peer.unknown_key"]
                    + metrics_of_keepers[0].counts.get(
                        "keeper.peer.unsigned", 0
                    )
                ):
                    await asyncio.sleep(0.02)
            assert not metrics_of_keepers[0].counts.get(
                "keeper.peer.wrong_code"
            )
            for keeper in keepers:
                await keeper.kill()
