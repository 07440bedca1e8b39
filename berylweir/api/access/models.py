"""Operators and their roles."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Administrator:
    """An operator who may change every object."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class TeamMember:
    """An operator who may change one team's groups, servers and selectors."""

    name: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """An operator who may only read."""

    name: str


Principal = Administrator | TeamMember | Reader


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """The digest of a bearer token and the operator who holds it.

    Attributes:
        digest: SHA-256 of the token.
        principal: The operator.
    """

    digest: bytes
    principal: Principal
