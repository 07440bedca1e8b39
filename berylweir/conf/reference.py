"""Prints the settings reference, made from the docstrings of the models.

Run `python -m berylweir.conf.reference > docs/reference/settings.md`.
"""

import inspect
import re
import typing

import msgspec

from berylweir.conf import schemas

_PAGE_HEAD = """# Settings

Each program reads one INI file; `--check` names all of its faults at once.
Options whose name ends in `_s` are in seconds, those in `_bytes` in bytes.
This page is made by `python -m berylweir.conf.reference`.
"""


def render() -> str:
    """Returns the reference as Markdown."""
    parts = [_PAGE_HEAD]
    for section, model in typing.get_type_hints(schemas.Settings).items():
        summary, options = parse_docstring(model)
        parts.append(f"\n## [{section}]\n\n{summary}\n")
        parts.append("\n| option | default | meaning |\n|---|---|---|\n")
        for field in msgspec.structs.fields(model):
            meaning = options[field.name].replace("|", "\\|")
            parts.append(
                f"| `{field.name}` | {_format_default(field)} | {meaning} |\n"
            )
    return "".join(parts)


def parse_docstring(model: type[msgspec.Struct]) -> tuple[str, dict[str, str]]:
    """Returns the summary of a model and the meaning of each attribute."""
    docstring = inspect.cleandoc(model.__doc__ or "")
    summary, _, attributes = docstring.partition("Attributes:")
    options: dict[str, str] = {}
    name = ""
    for line in attributes.splitlines():
        attribute_start = re.match(r"^    (\w+): (.*)$", line)
        if attribute_start:
            name = attribute_start[1]
            options[name] = attribute_start[2]
        elif line.strip() and name:
            options[name] += f" {line.strip()}"
    return " ".join(summary.split()), options


def _format_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    return "empty" if field.default == "" else f"`{field.default}`"


if __name__ == "__main__":
    print(render(), end="")
