"""Tests of the trace generator and the trace format."""

import pathlib
import uuid

import pytest

from berylweir.replay import deployments
from berylweir.replay import generator
from berylweir.replay import schemas

_TRACES = pathlib.Path(__file__).parents[2] / "bench" / "traces"
_MAIPO = deployments.DEPLOYMENTS["maipo"]


class TestGenerator:
    """Traces generated from a seed."""

    @pytest.mark.parametrize("name", sorted(deployments.DEPLOYMENTS))
    @pytest.mark.parametrize("scenario", generator.SCENARIOS)
    def test_committed_trace_is_what_the_generator_writes(self, scenario, name):
        """Guards against committed traces that can't be reproduced."""
        content = (_TRACES / f"{scenario}.{name}.jsonl").read_bytes()
        seed = schemas.decode_trace(content).header.seed
        trace = generator.generate_trace(
            scenario, deployments.DEPLOYMENTS[name], seed
        )
        assert schemas.encode_trace(trace) == content

    def test_other_seed_gives_other_requests(self):
        """Guards against a seed that has no effect."""
        first = generator.generate_trace("steady", _MAIPO, 1)
        second = generator.generate_trace("steady", _MAIPO, 2)
        assert first.requests != second.requests

    def test_repeats_carry_the_id_and_its_time(self):
        """Guards against repeats that an idempotency table can't match.

        A repeat has the id of its request, and the id's time is that of the
        first sending.
        """
        trace = generator.generate_trace("steady", _MAIPO, 1)
        requests_by_id = {}
        for request in trace.requests:
            if request.request_id:
                requests_by_id.setdefault(request.request_id, []).append(
                    request
                )
        assert any(len(s) > 1 for s in requests_by_id.values())
        wall_s = generator.WALL_CLOCK_START_S + generator.SETUP_S
        for request_id, requests in requests_by_id.items():
            created_s = (uuid.UUID(request_id).int >> 80) / 1000
            age_s = wall_s + requests[0].at_ms / 1000 - created_s
            assert abs(age_s) < 0.01

    def test_unknown_scenario_is_rejected(self):
        """Guards against a misspelt scenario that yields a steady trace."""
        with pytest.raises(ValueError, match="stedy"):
            generator.generate_trace("stedy", _MAIPO, 1)


class TestTraceFormat:
    """Encoding of traces as JSON lines."""

    def test_trace_survives_its_encoding(self):
        """Guards against fields that the encoding loses."""
        trace = generator.generate_trace("zone_cut_off", _MAIPO, 1)
        content = schemas.encode_trace(trace)
        assert schemas.decode_trace(content) == trace
