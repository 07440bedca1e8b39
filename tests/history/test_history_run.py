"""Tests of a short recorded history over real sockets."""

import random
import uuid

from berylweir.history import models
from berylweir.history import task


class TestRun:
    """Callers, fault injection and the checker together."""

    async def test_short_run_has_no_violations(self):
        """Guards against two owners and repeated executions during faults."""
        violations, invocations, runs = await task.run_history(8.0, seed=1)
        assert violations == ()
        assert runs
        assert models.Outcome.DONE in {i.outcome for i in invocations}


class TestRequestId:
    """Ids of requests."""

    def test_is_a_uuid_of_version_7(self):
        """Guards against ids that every home VM would refuse."""
        request_id = uuid.UUID(task.new_request_id(1234.5, random.Random(1)))
        assert request_id.version == 7
        assert request_id.variant == uuid.RFC_4122
        assert request_id.int >> 80 == 1_234_500
