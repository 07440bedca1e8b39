"""Tests of the load under which a fleet is replaced."""

from berylweir.soak import fleet_replacement


class TestReplacement:
    """A fleet whose gateways are replaced once."""

    async def test_callers_are_refused(self):
        """Guards against an upgrade that costs callers their answers."""
        experiment = fleet_replacement.Experiment(
            2, 1, fleet_replacement.Order.HOLDER_LAST, 0.5
        )
        measured = await experiment.run()
        assert sum(experiment.statuses.values()) == measured.sent
        assert experiment.statuses[200] == measured.served
        assert measured.served > 0.95 * measured.sent
        assert measured.lease_changes >= 1
