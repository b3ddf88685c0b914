"""Commands that read the configuration: show, diff, history, teams."""

import datetime
import json
from typing import Any, Iterable

import result

from dunlintide_adapters import configstore
from dunlintide_cli import commands
from dunlintide_cli import files
from dunlintide_cli import output
from dunlintide_cli import sources
from dunlintide_core import configuration
from dunlintide_core import documents
from dunlintide_core import revisions

__all__ = [
    'Diff',
    'History',
    'Teams',
    'Show',
]


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds).astimezone()
    return moment.isoformat(' ', 'seconds')


class Show(sources.ReadCommand):
    """``rules show``."""

    name = 'rules show'
    description = 'Print the document in force, or an earlier one.'
    options = [
        commands.JSON,
        commands.STORE,
        commands.build_option('revision', 'Revision to print.'),
    ]

    def handle(self) -> int:
        """Print the document, preceded by a comment with its revision."""
        revision = self.option('revision')
        if revision and not revision.isdecimal():
            return self.reject(
                f'--revision: expected a number, got {revision}'
            )
        read = self._read(int(revision)) if revision else self.read_current()
        if read.is_err():
            return self.fail(read.err_value)
        snapshot = read.ok_value
        if snapshot is None:
            return self.fail('no such revision in the store')
        document = json.loads(snapshot.document)
        if self.as_json:
            output.print_json({'head': snapshot.head, 'document': document})
        else:
            output.print_text(
                files.format_base_comment(snapshot.head.revision)
            )
            output.print_json(document)
        return output.ExitCode.OK

    def _read(
        self, revision: int
    ) -> result.Result[configstore.Snapshot | None, object]:
        return self.open_store().and_then(
            lambda store: store.read_revision(revision).map_err(
                lambda error: error.message
            )
        )


class Diff(sources.ReadCommand):
    """``rules diff``."""

    name = 'rules diff'
    description = 'Print what applying a document would change.'
    arguments = [sources.FILE]
    options = [commands.STORE]

    def handle(self) -> int:
        """Print a unified diff from the document in force to the file."""
        draft = files.read_draft(self.argument('file'))
        if draft.is_err():
            return output.print_problems(draft.err_value)
        read = self.read_current()
        if read.is_err():
            return self.fail(read.err_value)
        old = read.ok_value.document if read.ok_value else b''
        new = documents.encode_configuration(draft.ok_value.configuration)
        text = revisions.diff_documents(old, new)
        output.print_text(text or 'no difference')
        return output.ExitCode.OK


class History(sources.ReadCommand):
    """``rules history``."""

    name = 'rules history'
    description = 'List the stored revisions, newest first.'
    options = [commands.JSON, commands.STORE]

    def handle(self) -> int:
        """Print a row for each revision."""
        read = self.open_store().and_then(
            lambda store: store.list_history().map_err(
                lambda error: error.message
            )
        )
        if read.is_err():
            return self.fail(read.err_value)
        if self.as_json:
            output.print_json(list(read.ok_value))
            return output.ExitCode.OK
        rows = [
            (head.revision, _format_time(head.time), head.author, head.comment)
            for head in read.ok_value
        ]
        output.print_table(('revision', 'time', 'author', 'comment'), rows)
        return output.ExitCode.OK


def _list_teams(
    source: configuration.Configuration,
) -> Iterable[dict[str, Any]]:
    rules: dict[str, list[str]] = {}
    for rule in source.rules:
        for name in rule.when.team:
            rules.setdefault(name, []).append(rule.name)
    for team in source.teams:
        yield {
            'name': team.name,
            'keys': len(team.key_hashes),
            'rules': rules.get(team.name, []),
        }


class Teams(sources.ReadCommand):
    """``members``."""

    name = 'members'
    description = 'List teams, their number of keys and their rules.'
    arguments = [sources.OPTIONAL_FILE]
    options = [commands.JSON, commands.STORE]

    def handle(self) -> int:
        """Print a row for each team."""
        source = self.read_source()
        if source.is_err():
            return source.err_value
        teams = list(_list_teams(source.ok_value))
        if self.as_json:
            output.print_json(teams)
            return output.ExitCode.OK
        rows = [
            (team_row['name'], team_row['keys'], ', '.join(team_row['rules']))
            for team_row in teams
        ]
        output.print_table(('member', 'keys', 'rules that name it'), rows)
        return output.ExitCode.OK
