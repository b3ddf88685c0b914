"""The daemon: reads its settings and runs its role."""

import argparse
import importlib
import pathlib
import sys
from typing import Sequence

import result

from dunlintide_adapters import logs
from dunlintide_adapters import tlschecks
from dunlintide_core import fleet
from dunlintide_core import jsonc
from dunlintide_core import settings
from dunlintide_core import settingsfile

__all__ = [
    'main',
]

PROGRAM = 'dunlintided'
BAD_SETTINGS = 2
# Loaded by name, so that an entry need not carry an agent's code.
_MODULES = {
    fleet.Role.ENTRY: 'dunlintide_daemon.entry.process',
    fleet.Role.AGENT: 'dunlintide_daemon.agent.process',
}


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        PROGRAM, description='Run the entry or agent role of dunlintide.'
    )
    parser.add_argument(
        'settings', type=pathlib.Path, help='settings, JSON with comments'
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and stop'
    )
    return parser.parse_args(arguments)


def _load(
    path: pathlib.Path,
) -> result.Result[settings.Settings, list[jsonc.Problem]]:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return result.Err([jsonc.Problem(str(path), 1, 1, '', str(error))])
    return settingsfile.load_settings(text, str(path), tlschecks.find_faults)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: command line without the program, None for the
        process's own
    :returns: exit status; 2 for bad settings
    """
    parsed = _parse_arguments(arguments)
    loaded = _load(parsed.settings)
    if isinstance(loaded, result.Err):
        for problem in loaded.err_value:
            print(problem, file=sys.stderr)
        return BAD_SETTINGS
    if parsed.check:
        return 0
    found = loaded.ok_value
    logs.configure(
        found.name,
        found.role,
        found.failure_domain,
        found.log.level,
        found.log.format,
    )
    role = importlib.import_module(_MODULES[found.role])
    return role.run(found)


if __name__ == '__main__':
    sys.exit(main())
