"""The operators' command line, ``dunlintide``."""

import sys
from typing import Sequence

from cleo import application
from cleo import exceptions
from cleo.io.inputs import argv_input

from dunlintide_cli import changes
from dunlintide_cli import checking
from dunlintide_cli import demand
from dunlintide_cli import logs
from dunlintide_cli import output
from dunlintide_cli import processes
from dunlintide_cli import reading

__all__ = ['main']

PROGRAM = 'dunlintide'

_COMMANDS = (
    checking.Check,
    checking.Explain,
    reading.Show,
    reading.Diff,
    reading.History,
    reading.Teams,
    changes.Apply,
    changes.Rollback,
    processes.Status,
    processes.Dump,
    processes.Drain,
    demand.Demand,
    logs.Losses,
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: command line without the program name, ``sys.argv``
        if None
    :returns: exit code, see ``output.ExitCode``
    """
    if arguments is None:
        arguments = sys.argv[1:]
    program = application.Application(PROGRAM)
    program.auto_exits(False)
    program.catch_exceptions(False)
    for command in _COMMANDS:
        program.add(command())
    try:
        return program.run(argv_input.ArgvInput([PROGRAM, *arguments]))
    except exceptions.CleoError as error:
        output.print_error(f'{PROGRAM}: {error}')
        return output.ExitCode.BAD_INPUT


if __name__ == '__main__':
    sys.exit(main())
