"""Validated model of the tokens file."""

from typing import Annotated
from typing import Literal

import msgspec

from berylweir.objects import schemas

Sha256 = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class TokenSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section of the tokens file; its name is the operator's name.

    Attributes:
        token_sha256: SHA-256 of the token, in hexadecimal.
        role: Role of the operator: `administrator` may change every object,
            `team` the objects of one team, `reader` none.
        team: Name of the team; required for the role `team`.
    """

    token_sha256: Sha256
    role: Literal["administrator", "team", "reader"]
    team: schemas.Name | None = None
