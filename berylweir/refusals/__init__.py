"""The closed set of error responses that the router returns to a caller."""

from berylweir.refusals.decisions import outcome_of
from berylweir.refusals.decisions import problem_of
from berylweir.refusals.decisions import status_of
from berylweir.refusals.models import Refusal

__all__ = ["Refusal", "outcome_of", "problem_of", "status_of"]
