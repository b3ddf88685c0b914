"""Printing of text, tables and JSON, and the exit codes."""

import enum
import json
import sys
from typing import Any, Iterable, Sequence

import attrs
from rich import console as consoles
from rich import table as tables

from dunlintide_core import jsonc

__all__ = [
    'ExitCode',
    'print_error',
    'print_json',
    'print_problems',
    'print_table',
    'print_text',
]

# Columns for a pipe or a file, wide enough that no cell is truncated.
_PIPE_WIDTH = 200


class ExitCode(enum.IntEnum):
    """Exit codes of ``dunlintide``."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3


def _make_console(*, errors: bool = False) -> consoles.Console:
    # Built for each call, as tests replace the standard streams.
    stream = sys.stderr if errors else sys.stdout
    width = None if stream.isatty() else _PIPE_WIDTH
    return consoles.Console(
        file=stream, markup=False, highlight=False, width=width
    )


def print_text(text: str) -> None:
    """Print text to the standard output, without formatting."""
    print(text, flush=True)


def print_error(text: str) -> None:
    """Print text to the standard error."""
    print(text, file=sys.stderr, flush=True)


def _to_plain(_: type, __: Any, value: Any) -> Any:
    return str(value) if isinstance(value, enum.Enum) else value


def print_json(value: Any) -> None:
    """Print a value, which may hold attrs objects, as JSON.

    :param value: attrs object, list, dict or scalar
    """

    def convert(item: Any) -> Any:
        return attrs.asdict(item, value_serializer=_to_plain)

    print_text(json.dumps(value, indent=2, default=convert))


def print_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows under headers."""
    table = tables.Table(*headers, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    _make_console().print(table)


def print_problems(
    problems: Sequence[jsonc.Problem], as_json: bool = False
) -> ExitCode:
    """Print problems; return ``BAD_INPUT`` if one of them is an error.

    Text goes to the standard error, JSON to the standard output.
    """
    if as_json:
        print_json(list(problems))
    else:
        for problem in problems:
            print_error(str(problem))
    if any(problem.level is jsonc.Level.ERROR for problem in problems):
        return ExitCode.BAD_INPUT
    return ExitCode.OK
