"""Operators' actions in trials: edit and apply the configuration."""

import copy
import hashlib
import pathlib
import subprocess
import sys
from typing import Any

import attrs

from dunlintide_core import jsonc

__all__ = [
    'CommandError',
    'Report',
    'apply_rules',
    'fill_keys',
    'hash_key',
    'load_rules',
    'run_command',
]

COMMAND_MODULE = 'dunlintide_cli.main'
_COMMAND_SECONDS = 30.0


class CommandError(RuntimeError):
    """The command line tool failed; the text holds its output."""


@attrs.frozen
class Report:
    """Result of a run of the command line tool."""

    arguments: tuple[str, ...]
    exit_code: int
    output: str

    def check(self) -> 'Report':
        """Return the report itself when the command succeeded.

        :raises CommandError: when the command failed
        """
        if self.exit_code:
            line = ' '.join(self.arguments)
            raise CommandError(
                f'dunlintide {line} ended with {self.exit_code}:\n'
                f'{self.output}'
            )
        return self


def run_command(*arguments: str) -> Report:
    """Run the command line tool ``dunlintide``."""
    done = subprocess.run(
        (sys.executable, '-m', COMMAND_MODULE, *arguments),
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=_COMMAND_SECONDS,
        text=True,
        check=False,
    )
    return Report(arguments, done.returncode, done.stdout)


def apply_rules(path: pathlib.Path, store_url: str) -> Report:
    """Apply the configuration in a file."""
    return run_command('rules', 'apply', str(path), '--store', store_url)


def load_rules(path: pathlib.Path) -> dict[str, Any]:
    """Read an operators' configuration as plain data.

    :raises ValueError: when it is not JSON with comments
    """
    parsed = jsonc.parse(path.read_text(), str(path))
    if parsed.is_err():
        raise ValueError('\n'.join(map(str, parsed.unwrap_err())))
    return parsed.unwrap().value


def hash_key(key: str) -> str:
    """Return the hash of a bearer key as the configuration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def fill_keys(rules: dict[str, Any], keys: dict[str, str]) -> dict[str, Any]:
    """Return a copy of the rules with the hash of each team's key added."""
    filled = copy.deepcopy(rules)
    for team in filled['members']:
        key = keys[team['name']]
        team['key_hashes'].append(hash_key(key))
    return filled
