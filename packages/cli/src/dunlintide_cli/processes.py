"""Commands that call daemons: status, dump and drain."""

from typing import Any, Mapping

from cleo import helpers
import result

from dunlintide_cli import commands
from dunlintide_cli import daemons
from dunlintide_cli import output
from dunlintide_core import records

__all__ = [
    'Drain',
    'Dump',
    'Status',
]

URL = helpers.argument('url', "URL of the daemon's operators' port.")
_UNKNOWN = '-'


def _list_warnings(state: Mapping[str, Any]) -> list[str]:
    """List conditions of the fleet that an operator should look into.

    :param state: section ``state`` of a dump, possibly of another version
        of the daemon, so any key may be missing
    """
    found = []
    if state.get('store_behind'):
        found.append(
            f'the store holds revision {state.get("store_revision")}, older'
            ' than the fleet'
        )
    for revision in state.get('conflicts') or ():
        found.append(f'revision {revision} has two different heads')
    for member in state.get('not_alive') or ():
        if member.get('state') == records.State.SUSPECT:
            missing = len(member.get('witnesses', ()))
            found.append(f'{member.get("name")} is missed by {missing}')
    return found


def _describe(
    url: str, read: result.Result[daemons.State, daemons.CallError]
) -> dict[str, Any]:
    row = {'url': url, 'name': '', 'ready': False, 'revision': None}
    if read.is_err():
        return row | {'reasons': [read.err_value.message], 'warnings': []}
    state = read.ok_value
    return row | {
        'name': str(state.dump.get('name', '')),
        'ready': state.ready,
        'revision': state.revision,
        'reasons': list(state.reasons),
        'warnings': _list_warnings(state.fleet_state),
    }


class Status(commands.Command):
    """``status``."""

    name = 'status'
    description = 'Show whether daemons are ready, and their revisions.'
    options = [commands.JSON, commands.ADMIN]

    def handle(self) -> int:
        """Print a row for each daemon; fail if one is not ready."""
        urls = self.option('admin')
        if not urls:
            return self.reject('at least one --admin URL is required')
        states = daemons.read_states(urls)
        rows = [_describe(*pair) for pair in zip(urls, states)]
        if self.as_json:
            output.print_json(rows)
        else:
            headers = ('daemon', 'ready', 'revision', 'reasons', 'warnings')
            output.print_table(
                headers,
                [
                    (
                        row['name'] or row['url'],
                        'yes' if row['ready'] else 'no',
                        row['revision'] or _UNKNOWN,
                        ', '.join(row['reasons']),
                        ', '.join(row['warnings']),
                    )
                    for row in rows
                ],
            )
        if all(row['ready'] for row in rows):
            return output.ExitCode.OK
        return output.ExitCode.FAILED


class Dump(commands.Command):
    """``dump``."""

    name = 'dump'
    description = 'Print the state of a daemon as JSON.'
    arguments = [URL]

    def handle(self) -> int:
        """Print the state as the daemon reports it."""
        read = daemons.read_state(self.argument('url'))
        if read.is_err():
            return self.fail(read.err_value)
        output.print_json(dict(read.ok_value.dump))
        return output.ExitCode.OK


class Drain(commands.Command):
    """``drain``."""

    name = 'drain'
    description = 'Request that a daemon finish its work and stop.'
    arguments = [URL]

    def handle(self) -> int:
        """Start the drain without waiting for the daemon to stop."""
        drained = daemons.drain(self.argument('url'))
        if drained.is_err():
            return self.fail(drained.err_value)
        output.print_text(
            'draining: the daemon accepts no new work and then stops'
        )
        return output.ExitCode.OK
