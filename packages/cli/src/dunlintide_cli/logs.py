"""Commands that read the entries' logs."""

import pathlib
from typing import Iterator

import attrs
from cleo import helpers

from dunlintide_cli import commands
from dunlintide_cli import output
from dunlintide_core.pipeline import shortfalls

__all__ = ['Losses']


def _read(paths: list[str]) -> Iterator[str]:
    for path in paths:
        with pathlib.Path(path).open(encoding='utf-8') as file:
            yield from file


class Losses(commands.Command):
    """``losses``."""

    name = 'losses'
    description = "Tell why requests fell short, from the entries' logs."
    arguments = [
        helpers.argument(
            'logs', "Logs of entries, each host's in order.", multiple=True
        )
    ]
    options = [commands.JSON]

    def handle(self) -> int:
        """Print causes with their numbers, or all requests as JSON."""
        try:
            report = shortfalls.read_lines(_read(self.argument('logs')))
        except (OSError, UnicodeDecodeError) as error:
            return self.reject(error)
        if not report.read:
            return self.reject(
                f'no line of an entry\'s log in {report.unreadable} lines'
            )
        if self.as_json:
            output.print_json(attrs.asdict(report))
            return output.ExitCode.OK
        rows = [
            (number, cause, f'{worst:.2f}', moment)
            for cause, number, worst, moment in report.count()
        ]
        output.print_text(f'{report.served} served in time')
        output.print_table(
            ('requests', 'cause', 'worst delay, s', 'most in a second'), rows
        )
        if report.unreadable:
            output.print_error(f'{report.unreadable} lines were not read')
        return output.ExitCode.OK
