"""Tests of the entries of other writers, and of the check for their harm."""

import msgspec
import pytest

from berylweir.platform import objects
from berylweir.platform import store
from berylweir.soak import models
from berylweir.soak import odd_entries


class TestShapes:
    """What the entries say."""

    @pytest.mark.parametrize("shape", models.OddShape)
    def test_entry_names_no_server(self, shape):
        """Guards against faults that name a server which may be used."""
        stored = store.build_stored_object(
            "odd", 1, odd_entries.build_spec(shape), msgspec.Raw(b"null")
        )
        assert objects.decode_server(stored).is_err()


class TestViolations:
    """Gateways that serve too few requests."""

    def find(self, statuses, *disruptions: models.Disruption) -> list[str]:
        """Returns the violations of one instance, a request each 0.1 s."""
        exchanges = [
            models.Exchange(
                f"r{n}", "/safe/1", True, 0, 1, 5.0 + n / 10, 5.05 + n / 10, s
            )
            for n, s in enumerate(statuses)
        ]
        return odd_entries.find_violations(exchanges, disruptions, 0.0)

    def test_gateway_without_servers_is_a_violation(self):
        """Guards against a check that never fails."""
        assert self.find([200] * 10 + [503] * 30) == []
        (violation,) = self.find([200] * 9 + [503] * 31)
        assert "9 of 40" in violation

    def test_disrupted_gateway_is_excused(self):
        """Guards against blaming gateways that have just started."""
        assert self.find([503] * 25, models.Disruption(0, 2.0, 5.0)) == []
        assert self.find([503] * 7) == []
        assert self.find([503] * 90, models.Disruption(0, 2.0, 5.0)) != []
        assert self.find([503] * 40, models.Disruption(1, 2.0, 5.0)) != []
