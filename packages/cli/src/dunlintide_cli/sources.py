"""Base of the commands that read a configuration without changing it."""

from cleo import helpers
import result

from dunlintide_adapters import configstore
from dunlintide_cli import commands
from dunlintide_cli import files
from dunlintide_cli import output
from dunlintide_core import configuration
from dunlintide_core import documents

__all__ = [
    'FILE',
    'OPTIONAL_FILE',
    'ReadCommand',
]

FILE = helpers.argument('file', 'Document, JSON with comments.')
OPTIONAL_FILE = helpers.argument(
    'file', 'Document; the one in force if left out.', optional=True
)


class ReadCommand(commands.Command):
    """Base of commands that read a file or the revision in force."""

    def read_current(
        self,
    ) -> result.Result[configstore.Snapshot | None, object]:
        """Read the revision in force from the store, None if there is none."""
        return self.open_store().and_then(
            lambda store: store.read().map_err(lambda error: error.message)
        )

    def read_source(
        self,
    ) -> result.Result[configuration.Configuration, int]:
        """Read the configuration of the file, or the one in force.

        :returns: the configuration, or the exit code after printing the
            error
        """
        if self.argument('file'):
            draft = files.read_draft(self.argument('file'))
            return draft.map(lambda found: found.configuration).map_err(
                output.print_problems
            )
        current = self.read_current()
        if current.is_err():
            return current.map_err(self.fail)
        if current.ok_value is None:
            return result.Ok(configuration.Configuration())
        decoded = documents.decode_configuration(current.ok_value.document)
        return decoded.map_err(lambda error: self.fail(error.message))
