"""Tests of the responses for all refusals."""

import dataclasses
import typing

import msgspec
import pytest

from berylweir import refusals
from berylweir.refusals import decisions
from berylweir.refusals import models

_SAMPLE_VALUES = {str: "x", int: 1, float: 1.0, bool: True}


def _build_all_refusals() -> list[models.Refusal]:
    return [
        refusal_class(
            **{
                f.name: _SAMPLE_VALUES[
                    typing.get_type_hints(refusal_class)[f.name]
                ]
                for f in dataclasses.fields(refusal_class)
            }
        )
        for refusal_class in typing.get_args(models.Refusal)
    ]


class TestProblem:
    """Status, outcome and body of each refusal."""

    @pytest.mark.parametrize(
        "refusal", _build_all_refusals(), ids=decisions.name_of
    )
    def test_each_refusal_has_a_machine_readable_body(
        self, refusal: models.Refusal
    ):
        """Guards against a refusal without status, type or outcome."""
        problem = msgspec.json.decode(
            msgspec.json.encode(refusals.problem_of(refusal))
        )
        assert 400 <= problem["status"] < 600
        assert problem["outcome"] in ("not-run", "unknown", "done")
        assert problem["type"].endswith(decisions.name_of(refusal))
