"""Command line of the daemon: reads the settings and runs the role."""

import argparse
import importlib
import os
import pathlib
import socket
import sys
from typing import Sequence

import result

from dunlintide_core import fleet
from dunlintide_core import jsonc
from dunlintide_core import settings
from dunlintide_core import settingsfile

__all__ = [
    'main',
    'run_edge',
]

PROGRAM = 'dunlintided'
BAD_SETTINGS = 2
# Environment variable for the settings file, if the command line has none.
SETTINGS_VARIABLE = 'DUNLINTIDE_NODE_FILE'
# Role of an entry that uses a platform's store; its settings differ.
EDGE = 'edge'
# Loaded by name, so that an entry does not import an agent's code.
_ROLE_MODULES = {
    fleet.Role.ENTRY: 'dunlintide_daemon.entry.process',
    fleet.Role.AGENT: 'dunlintide_daemon.agent.process',
}


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        PROGRAM, description='Run the entry or agent role of dunlintide.'
    )
    parser.add_argument(
        'settings',
        type=pathlib.Path,
        nargs='?',
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f'settings, JSON with comments; else by {SETTINGS_VARIABLE}',
    )
    parser.add_argument(
        '--role', choices=[EDGE], help='role that has settings of its own'
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and stop'
    )
    return parser.parse_args(arguments)


def _read(
    path: pathlib.Path,
) -> result.Result[str, list[jsonc.Problem]]:
    try:
        return result.Ok(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        return result.Err([jsonc.Problem(str(path), 1, 1, '', str(error))])


def _print_problems(problems: list[jsonc.Problem]) -> int:
    for problem in problems:
        print(problem, file=sys.stderr)
    return BAD_SETTINGS


def run_edge(listener: socket.socket | None) -> int:
    """Run the edge role with the settings file from the environment.

    :param listener: open listening socket, None to open it by the settings
    :returns: exit status; 2 for bad settings
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f'{PROGRAM}: {SETTINGS_VARIABLE} is not set', file=sys.stderr)
        return BAD_SETTINGS
    return _run_edge(pathlib.Path(path), False, listener)


def _run_edge(
    path: pathlib.Path,
    check: bool,
    listener: socket.socket | None = None,
) -> int:
    """Run the edge role.

    Only this role's code is imported, since it runs on small hosts.

    :param check: only validate the settings
    :param listener: open listening socket, None to open it by the settings
    """
    loader = importlib.import_module('dunlintide_core.pipeline.settings')
    read = _read(path)
    loaded = read.and_then(lambda text: loader.load_settings(text, str(path)))
    if isinstance(loaded, result.Err):
        return _print_problems(loaded.err_value)
    if check:
        return 0
    process = importlib.import_module('dunlintide_daemon.gateway.process')
    return process.run(loaded.ok_value, path, read.ok_value, listener)


def _load(
    path: pathlib.Path,
) -> result.Result[settings.Settings, list[jsonc.Problem]]:
    tlschecks = importlib.import_module('dunlintide_adapters.tlschecks')
    return _read(path).and_then(
        lambda text: settingsfile.load_settings(
            text, str(path), tlschecks.find_faults
        )
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: command line without the program, None for the
        process's own
    :returns: exit status; 2 for bad settings
    """
    parsed = _parse_arguments(arguments)
    if parsed.settings is None:
        print(f'{PROGRAM}: no settings file is named', file=sys.stderr)
        return BAD_SETTINGS
    if parsed.role == EDGE:
        return _run_edge(parsed.settings, parsed.check)
    loaded = _load(parsed.settings)
    if isinstance(loaded, result.Err):
        return _print_problems(loaded.err_value)
    if parsed.check:
        return 0
    loaded_settings = loaded.ok_value
    logs = importlib.import_module('dunlintide_adapters.logs')
    logs.configure(
        loaded_settings.name,
        loaded_settings.role,
        loaded_settings.failure_domain,
        loaded_settings.log.level,
        loaded_settings.log.format,
    )
    role = importlib.import_module(_ROLE_MODULES[loaded_settings.role])
    return role.run(loaded_settings)


if __name__ == '__main__':
    sys.exit(main())
