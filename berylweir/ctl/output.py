"""Prints responses as tables or as JSON."""

from collections.abc import Iterable
from collections.abc import Mapping
import json
from typing import Any

import rich.console
import rich.table
import rich.text

# Columns that aren't wrapped, because operators copy their values.
_NO_WRAP_COLUMNS = frozenset({"change_id", "kind", "name"})


def _format_value(value: Any) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case dict():
            return ", ".join(
                f"{k}={_format_value(v)}" for k, v in value.items()
            )
        case list():
            return ", ".join(_format_value(v) for v in value)
        case _:
            return str(value)


def table(rows: Iterable[Mapping[str, Any]]) -> rich.table.Table:
    """Returns a table with a column for each key of the first row."""
    row_list = list(rows)
    result_table = rich.table.Table(show_edge=False, pad_edge=False)
    for column in row_list[0] if row_list else ("nothing",):
        result_table.add_column(
            column.replace("_", " "),
            overflow="fold",
            no_wrap=column in _NO_WRAP_COLUMNS,
        )
    for row in row_list:
        result_table.add_row(
            *(rich.text.Text(_format_value(v)) for v in row.values())
        )
    return result_table


def show(
    rows: Iterable[Mapping[str, Any]], response: Any, *, as_json: bool
) -> None:
    """Prints rows as a table, or the whole response as JSON."""
    if as_json:
        print(json.dumps(response, indent=2, sort_keys=True))
        return
    rich.console.Console(soft_wrap=False).print(table(rows))
