"""What the commands share: options and the configuration they act on."""

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
    """What is wrong with the arguments or the environment."""

    message: str

    def __str__(self) -> str:
        return self.message


class Command(command.Command):
    """A command of ``dunlintide``."""

    @property
    def as_json(self) -> bool:
        """Whether JSON was asked for."""
        return self.option('json')

    def open_store(self) -> result.Result[configstore.ConfigStore, UsageError]:
        """Open the store that the options or the environment name."""
        url = self.option('store') or os.environ.get(STORE_VARIABLE)
        if not url:
            text = f'no store: give --store URL or set {STORE_VARIABLE}'
            return result.Err(UsageError(text))
        return result.Ok(configstore.ConfigStore.from_url(url))

    def fail(self, message: object) -> int:
        """Print why the command failed and give its exit code."""
        output.print_error(f'dunlintide: {message}')
        if isinstance(message, UsageError):
            return output.ExitCode.BAD_INPUT
        return output.ExitCode.FAILED

    def reject(self, message: object) -> int:
        """Print what is wrong with the arguments and give the exit code."""
        return self.fail(UsageError(str(message)))
