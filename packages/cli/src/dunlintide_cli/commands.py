"""Base class of the commands, and options that several of them have."""

import os

import attrs
from cleo.commands import command
from cleo import helpers
from cleo.io.inputs import option
import result

from dunlintide_adapters import configstore
from dunlintide_cli import output

__all__ = [
    'ADMIN',
    'JSON',
    'STORE',
    'STORE_VARIABLE',
    'Command',
    'UsageError',
    'build_option',
]

STORE_VARIABLE = 'DUNLINTIDE_STORE'

JSON = helpers.option('json', description='Print JSON.')
STORE = helpers.option(
    'store',
    description=f'URL of the store, else that in {STORE_VARIABLE}.',
    flag=False,
)
ADMIN = helpers.option(
    'admin',
    description="URL of a daemon's operators' port; may be repeated.",
    flag=False,
    multiple=True,
)


def build_option(name: str, description: str) -> option.Option:
    """Build an option that takes one value."""
    return helpers.option(name, description=description, flag=False)


@attrs.frozen
class UsageError:
    """An error in the arguments or the environment."""

    message: str

    def __str__(self) -> str:
        return self.message


class Command(command.Command):
    """A command of ``dunlintide``."""

    @property
    def as_json(self) -> bool:
        """Whether the output is JSON."""
        return self.option('json')

    def open_store(self) -> result.Result[configstore.ConfigStore, UsageError]:
        """Open the store given by the options or the environment."""
        url = self.option('store') or os.environ.get(STORE_VARIABLE)
        if not url:
            text = f'no store: give --store URL or set {STORE_VARIABLE}'
            return result.Err(UsageError(text))
        return result.Ok(configstore.ConfigStore.from_url(url))

    def fail(self, message: object) -> int:
        """Print an error message and return the exit code for it."""
        output.print_error(f'dunlintide: {message}')
        if isinstance(message, UsageError):
            return output.ExitCode.BAD_INPUT
        return output.ExitCode.FAILED

    def reject(self, message: object) -> int:
        """Print a usage error and return its exit code."""
        return self.fail(UsageError(str(message)))
