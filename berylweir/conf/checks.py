"""Checks of settings against each other."""

import pathlib
import ssl

import result

from berylweir import tls
from berylweir.api.access import decisions as access
from berylweir.conf import exceptions
from berylweir.conf import schemas
from berylweir.peers import authentication

RECOVERY_TARGET_S = 3.0
MAX_CLOCK_RATE_DIFFERENCE = 0.05


def check(
    settings: schemas.Settings,
) -> tuple[exceptions.SettingsFault, ...]:
    """Returns what is wrong between the settings."""
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
                "a lease must outlast three renewals, so that one lost "
                "message doesn't end it",
                f"at most {lease.lease_s / 3:.3f}",
            )
        )
    if lease.margin_s < lease.lease_s * MAX_CLOCK_RATE_DIFFERENCE:
        faults.append(
            exceptions.SettingsFault(
                "conf.E102",
                "lease",
                "margin_s",
                str(lease.margin_s),
                "the margin doesn't cover clocks whose rates differ by 5%",
                f"at least {lease.lease_s * MAX_CLOCK_RATE_DIFFERENCE:.3f}",
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
                f"recovery would take more than {recovery_s:.1f} s",
                f"server_loss_s + lease_s + margin_s must stay below "
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
                    f"the port is also that of {listeners[port]}",
                    "give each listener a port of its own",
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
            "the default is longer than the longest allowed deadline",
            f"at most {router.max_deadline_s}",
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
                    "",  # A secret doesn't belong into an error message.
                    str(error),
                    "such as 2026a:00112233445566778899aabbccddeeff",
                )
            )
    if keeper.further_peer_key and not keeper.peer_key:
        faults.append(
            exceptions.SettingsFault(
                "conf.E107",
                "keeper",
                "further_peer_key",
                "",
                "there is no peer_key to sign own messages with",
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
                "both keys have the same id",
                "give each key an id of its own",
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
                    "a certificate and its private key belong together",
                    "name both files, or neither",
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
                f"the certificate can't be used: {error}",
                "name PEM files of a certificate and its private key",
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
                "name a file that exists and may be read",
            )
        ]
    match access.parse_tokens(text):
        case result.Ok(_):
            return []
        case result.Err(faults):
            return list(faults)
