"""Checks of settings that depend on each other or on files."""

import pathlib
import ssl

import result

from berylweir import tls
from berylweir.api.access import decisions as access
from berylweir.conf import exceptions
from berylweir.conf import schemas
from berylweir.peers import authentication

# Keys of a lost backend server or home must be served again within this time.
RECOVERY_TARGET_S = 3.0
# Largest relative difference between the rates of two VMs' clocks.
MAX_CLOCK_RATE_DIFFERENCE = 0.05


def check(
    settings: schemas.Settings,
) -> tuple[exceptions.SettingsFault, ...]:
    """Returns all faults that the check of single options doesn't find."""
    return (
        *_check_lease(settings.lease),
        *_check_ports(settings),
        *_check_default_deadline(settings.router),
        *_check_peer_keys(settings.keeper),
        *_check_files(settings),
    )


def _check_lease(
    lease: schemas.LeaseSection,
) -> tuple[exceptions.SettingsFault, ...]:
    faults = []
    if lease.renew_s * 3 > lease.lease_s:
        faults.append(
            exceptions.SettingsFault(
                "conf.E101",
                "lease",
                "renew_s",
                str(lease.renew_s),
                "a lease must last at least three renewal intervals, so that "
                "it doesn't expire because of one lost message",
                f"set at most {lease.lease_s / 3:.3f}",
            )
        )
    if lease.margin_s < lease.lease_s * MAX_CLOCK_RATE_DIFFERENCE:
        faults.append(
            exceptions.SettingsFault(
                "conf.E102",
                "lease",
                "margin_s",
                str(lease.margin_s),
                "the margin is too small for clocks whose rates differ by 5%",
                f"set at least {lease.lease_s * MAX_CLOCK_RATE_DIFFERENCE:.3f}",
            )
        )
    if lease.server_loss_s < 2 * lease.renew_s:
        faults.append(
            exceptions.SettingsFault(
                "conf.E113",
                "lease",
                "server_loss_s",
                str(lease.server_loss_s),
                "a server responds every renew_s, so it would count as lost "
                "between two responses",
                f"set at least {2 * lease.renew_s:.3f}",
            )
        )
    recovery_s = lease.server_loss_s + lease.lease_s + lease.margin_s
    if recovery_s >= RECOVERY_TARGET_S:
        faults.append(
            exceptions.SettingsFault(
                "conf.E103",
                "lease",
                "lease_s",
                str(lease.lease_s),
                f"recovery may take longer than {recovery_s:.1f} s",
                f"server_loss_s + lease_s + margin_s must be less than "
                f"{RECOVERY_TARGET_S} s",
            )
        )
    return tuple(faults)


def _check_ports(
    settings: schemas.Settings,
) -> tuple[exceptions.SettingsFault, ...]:
    faults = []
    listeners: dict[int, str] = {}
    for section, option, port in (
        ("keeper", "port", settings.keeper.port),
        ("keeper", "link_port", settings.keeper.link_port),
        ("keeper", "status_port", settings.keeper.status_port),
        ("router", "port", settings.router.port),
        ("router", "peer_port", settings.router.peer_port),
        ("api", "port", settings.api.port),
    ):
        if port in listeners:
            faults.append(
                exceptions.SettingsFault(
                    "conf.E104",
                    section,
                    option,
                    str(port),
                    f"the port is already used by {listeners[port]}",
                    "set a different port for each listener",
                )
            )
        listeners[port] = f"[{section}] {option}"
    return tuple(faults)


def _check_default_deadline(
    router: schemas.RouterSection,
) -> tuple[exceptions.SettingsFault, ...]:
    if router.default_deadline_s <= router.max_deadline_s:
        return ()
    return (
        exceptions.SettingsFault(
            "conf.E105",
            "router",
            "default_deadline_s",
            str(router.default_deadline_s),
            "the default deadline is longer than max_deadline_s",
            f"set at most {router.max_deadline_s}",
        ),
    )


def _check_peer_keys(
    keeper: schemas.KeeperSection,
) -> tuple[exceptions.SettingsFault, ...]:
    faults = []
    key_ids = []
    for option, key_text in (
        ("peer_key", keeper.peer_key),
        ("further_peer_key", keeper.further_peer_key),
    ):
        if not key_text:
            continue
        try:
            key_ids.append(authentication.parse_key(key_text).id)
        except ValueError as error:
            faults.append(
                exceptions.SettingsFault(
                    "conf.E106",
                    "keeper",
                    option,
                    "",  # Error messages must not contain the secret.
                    str(error),
                    "for example 2026a:00112233445566778899aabbccddeeff",
                )
            )
    if keeper.further_peer_key and not keeper.peer_key:
        faults.append(
            exceptions.SettingsFault(
                "conf.E107",
                "keeper",
                "further_peer_key",
                "",
                "without peer_key there is no key to sign messages with",
                "set peer_key too",
            )
        )
    if len(set(key_ids)) < len(key_ids):
        faults.append(
            exceptions.SettingsFault(
                "conf.E108",
                "keeper",
                "further_peer_key",
                "",
                "peer_key and further_peer_key have the same id",
                "use a different id for each key",
            )
        )
    return tuple(faults)


def _check_files(
    settings: schemas.Settings,
) -> tuple[exceptions.SettingsFault, ...]:
    faults = []
    for section, certificate, private_key in (
        ("router", settings.router.certificate, settings.router.private_key),
        ("api", settings.api.certificate, settings.api.private_key),
    ):
        if bool(certificate) != bool(private_key):
            faults.append(
                exceptions.SettingsFault(
                    "conf.E109",
                    section,
                    "certificate" if private_key else "private_key",
                    "",
                    "one of certificate and private_key is missing",
                    "set both options, or neither",
                )
            )
        elif certificate:
            faults += _check_certificate(section, certificate, private_key)
    if settings.api.tokens:
        faults += _check_tokens(settings.api.tokens)
    return tuple(faults)


def _check_certificate(
    section: str, certificate: str, private_key: str
) -> list[exceptions.SettingsFault]:
    try:
        tls.load_context(certificate, private_key)
    except (OSError, ssl.SSLError) as error:
        return [
            exceptions.SettingsFault(
                "conf.E111",
                section,
                "certificate",
                certificate,
                f"the certificate can't be loaded: {error}",
                "set the paths of a PEM certificate and its private key",
            )
        ]
    return []


def _check_tokens(path: str) -> list[exceptions.SettingsFault]:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [
            exceptions.SettingsFault(
                "conf.E112",
                "api",
                "tokens",
                path,
                f"the file can't be read: {error}",
                "set the path of a readable UTF-8 file",
            )
        ]
    match access.parse_tokens(text):
        case result.Ok(_):
            return []
        case result.Err(faults):
            return list(faults)
