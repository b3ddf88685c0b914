"""Commands that read the logs of entries."""

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
    description = "Show why requests were not served in time, from entry logs."
    arguments = [
        helpers.argument(
            'logs', "Logs of entries, each host's in order.", multiple=True
        )
    ]
    options = [commands.JSON]

    def handle(self) -> int:
        """Print causes with their counts, or all requests as JSON."""
        try:
            report = shortfalls.read_lines(_read(self.argument('logs')))
        except (OSError, UnicodeDecodeError) as error:
            return self.reject(error)
        if not report.read:
            return self.reject(
                f'none of {report.unreadable} lines is a line of an entry log'
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
            output.print_error(
                f'skipped {report.unreadable} lines that are not log lines'
            )
        return output.ExitCode.OK
