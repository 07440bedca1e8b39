"""Reads settings and reports all faults of a file at once."""

import configparser
import pathlib
import sys
import typing

import msgspec
import result

from berylweir import process
from berylweir.conf import checks
from berylweir.conf import exceptions
from berylweir.conf import schemas

Faults = tuple[exceptions.SettingsFault, ...]


def load(path: pathlib.Path) -> result.Result[schemas.Settings, Faults]:
    """Returns the settings in the INI file at `path`, or all of its faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return result.Err(
            (
                exceptions.SettingsFault(
                    "conf.E001",
                    "",
                    "",
                    str(path),
                    f"the file can't be read: {error.strerror}",
                    "set the path of a readable file",
                ),
            )
        )
    return parse(text)


def load_or_exit(path: pathlib.Path) -> schemas.Settings:
    """Returns the settings in a file, or prints all of its faults.

    Raises:
        SystemExit: If the settings have faults, with status 2.
    """
    match load(path):
        case result.Ok(settings):
            return settings
        case result.Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            raise SystemExit(process.EXIT_INVALID_SETTINGS)


def parse(text: str) -> result.Result[schemas.Settings, Faults]:
    """Returns the settings in the INI text, or all of its faults.

    Settings are checked against each other only if each one is valid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Err(
            (
                exceptions.SettingsFault(
                    "conf.E002",
                    "",
                    "",
                    "",
                    f"the file isn't valid INI: {error.message}",
                    "write options as `name = value` below a [section]",
                ),
            )
        )
    faults: list[exceptions.SettingsFault] = []
    section_models = typing.get_type_hints(schemas.Settings)
    for section in parser.sections():
        if section not in section_models:
            faults.append(
                exceptions.SettingsFault(
                    "conf.E003",
                    section,
                    "",
                    "",
                    "unknown section",
                    f"use one of: {', '.join(section_models)}",
                )
            )
    values_by_section = {}
    for name, model in section_models.items():
        options = dict(parser[name]) if parser.has_section(name) else {}
        values_by_section[name] = _parse_section(name, model, options, faults)
    if faults:
        return result.Err(tuple(faults))
    settings = schemas.Settings(**values_by_section)
    faults_between_settings = checks.check(settings)
    return (
        result.Err(faults_between_settings)
        if faults_between_settings
        else result.Ok(settings)
    )


def _parse_section(
    section: str,
    model: type[msgspec.Struct],
    options: dict[str, str],
    faults: list[exceptions.SettingsFault],
) -> typing.Any:
    """Returns the settings of one section, or None if it has faults.

    Args:
        section: Name of the section.
        model: Model of the section.
        options: Values in the file by option.
        faults: List to which faults are added.
    """
    option_types = typing.get_type_hints(model, include_extras=True)
    fields_by_name = {f.name: f for f in msgspec.structs.fields(model)}
    values = {}
    for option, value in options.items():
        if option not in fields_by_name:
            faults.append(
                exceptions.SettingsFault(
                    "conf.E004",
                    section,
                    option,
                    value,
                    "unknown option",
                    f"use one of: {', '.join(fields_by_name)}",
                )
            )
            continue
        try:
            values[option] = msgspec.convert(
                value, option_types[option], strict=False
            )
        except msgspec.ValidationError as error:
            faults.append(
                exceptions.SettingsFault(
                    "conf.E005",
                    section,
                    option,
                    value,
                    str(error),
                    "see docs/reference/settings.md",
                )
            )
    missing_options = [
        n for n, f in fields_by_name.items() if f.required and n not in options
    ]
    for option in missing_options:
        faults.append(
            exceptions.SettingsFault(
                "conf.E006",
                section,
                option,
                "",
                "the option is required",
                f"add `{option} = ...` to [{section}]",
            )
        )
    if missing_options or len(values) < len(options):
        return None
    return model(**values)
