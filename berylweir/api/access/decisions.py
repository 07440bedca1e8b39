"""Pure functions that authenticate operators and check permissions."""

from collections.abc import Mapping
from collections.abc import Sequence
import configparser
import hashlib
import hmac

import msgspec
import result

from berylweir.api.access import models
from berylweir.api.access import schemas
from berylweir.conf import exceptions
from berylweir.objects import schemas as objects

Faults = tuple[exceptions.SettingsFault, ...]


def parse_tokens(
    text: str,
) -> result.Result[tuple[models.Token, ...], Faults]:
    """Returns the tokens of a tokens file, or all faults in it.

    Args:
        text: Content of the file, in INI format.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Err(
            (_token_fault("", "", f"not valid INI: {error.message}"),)
        )
    tokens = []
    faults = []
    for name in parser.sections():
        try:
            section = msgspec.convert(
                dict(parser[name]), schemas.TokenSection, strict=False
            )
        except msgspec.ValidationError as error:
            faults.append(_token_fault(name, "", str(error)))
            continue
        principal: models.Principal
        match section:
            case schemas.TokenSection(role="administrator"):
                principal = models.Administrator(name)
            case schemas.TokenSection(role="team", team=str(team)):
                principal = models.TeamMember(name, team)
            case schemas.TokenSection(role="team"):
                faults.append(
                    _token_fault(
                        name, "team", "the role `team` needs the option `team`"
                    )
                )
                continue
            case _:
                principal = models.Reader(name)
        tokens.append(
            models.Token(bytes.fromhex(section.token_sha256), principal)
        )
    return result.Err(tuple(faults)) if faults else result.Ok(tuple(tokens))


def _token_fault(
    section: str, option: str, message: str
) -> exceptions.SettingsFault:
    return exceptions.SettingsFault(
        "conf.E110",
        section,
        option,
        "",
        message,
        "a section has token_sha256, role and, for the role team, team",
    )


def authenticate(
    tokens: Sequence[models.Token], authorization: str
) -> models.Principal | None:
    """Returns the operator whose token is in an Authorization header.

    Compares the token's digest with all known digests, each in constant time,
    so that the response time doesn't reveal how much of a token is correct.

    Returns:
        None if the header has no bearer token or an unknown one.
    """
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token:
        return None
    digest = hashlib.sha256(token.strip().encode()).digest()
    principal: models.Principal | None = None
    for entry in tokens:
        if hmac.compare_digest(entry.digest, digest):
            principal = entry.principal
    return principal


def may_change(
    principal: models.Principal,
    value: objects.ConfigObject,
    groups: Mapping[str, objects.ServerGroup],
) -> bool:
    """Returns whether an operator is permitted to change an object.

    Args:
        principal: The operator.
        value: The object, before or after the change.
        groups: Server groups by name.
    """
    match principal:
        case models.Administrator():
            return True
        case models.Reader():
            return False
        case models.TeamMember(team=team):
            return _team_may_change(team, value, groups)


def _team_may_change(
    team: str,
    value: objects.ConfigObject,
    groups: Mapping[str, objects.ServerGroup],
) -> bool:
    match value:
        case objects.ServerGroup(team=owner):
            return owner == team
        case objects.Selector(team=owner, group=group):
            return owner == team and _owns_group(team, group, groups)
        case objects.BackendServer(group=group):
            return _owns_group(team, group, groups)
        case objects.AvailabilityZone() | objects.Vm():
            return False


def _owns_group(
    team: str, name: str, groups: Mapping[str, objects.ServerGroup]
) -> bool:
    group = groups.get(name)
    return group is not None and group.team == team
