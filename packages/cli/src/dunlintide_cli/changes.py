"""Commands that change the configuration: apply and rollback."""

import getpass
import time
from typing import Sequence

import attrs
from cleo import helpers
import result
import uuid_utils

from dunlintide_adapters import configstore
from dunlintide_cli import commands
from dunlintide_cli import daemons
from dunlintide_cli import files
from dunlintide_cli import output
from dunlintide_core import checker
from dunlintide_core import documents
from dunlintide_core import jsonc
from dunlintide_core import revisions

__all__ = [
    'Apply',
    'Rollback',
]

_POLL_SECONDS = 0.1


_CHANGE_OPTIONS = [
    commands.JSON,
    commands.STORE,
    commands.ADMIN,
    commands.build_option(
        'wait', 'Seconds to wait until every --admin has the change.'
    ),
    commands.build_option(
        'author', 'Who makes the change; the user if left out.'
    ),
    commands.build_option('comment', 'Why the change is made.'),
]


@attrs.frozen
class _Change:
    document: bytes
    base: int
    comment: str


def _list_unconfirmed(
    urls: Sequence[str], revision: int, deadline: float
) -> list[str]:
    """Poll daemons until all have a revision; list those that do not.

    :param urls: base URLs of the operators' ports
    :param deadline: monotonic time at which polling ends, in seconds
    :returns: a message for each daemon without the revision
    """
    waiting = {url: 'not asked' for url in urls}
    while waiting:
        asked = list(waiting)
        for url, state in zip(asked, daemons.read_states(asked)):
            if state.is_err():
                waiting[url] = str(state.err_value)
                continue
            reported = state.ok_value.revision
            if reported is None:
                waiting[url] = f'{url}: tells no revision'
            elif reported >= revision:
                del waiting[url]
            else:
                waiting[url] = f'{url}: still at revision {reported}'
        if time.monotonic() >= deadline:
            break
        if waiting:
            time.sleep(_POLL_SECONDS)
    return list(waiting.values())


class _ChangeCommand(commands.Command):
    """Base of commands that apply a change and wait until it is in force."""

    def read_wait(self) -> result.Result[float | None, str]:
        """Return the value of ``--wait`` in seconds, None without it."""
        text = self.option('wait')
        if not text:
            return result.Ok(None)
        try:
            seconds = float(text)
        except ValueError:
            return result.Err(f'--wait: expected seconds, got {text}')
        if not 0 <= seconds < float('inf'):
            return result.Err(f'--wait: expected seconds, got {text}')
        if not self.option('admin'):
            return result.Err('--wait requires at least one --admin URL')
        return result.Ok(seconds)

    def find_highest_revision(self) -> int:
        """Return the highest revision that a daemon reports.

        The new revision must exceed it even if the store was restored from
        an older backup.
        """
        floor = 0
        for state in daemons.read_states(self.option('admin')):
            if state.is_ok():
                floor = max(floor, state.ok_value.revision or 0)
            else:
                output.print_error(f'dunlintide: warning: {state.err_value}')
        return floor

    def apply_change(
        self,
        store: configstore.ConfigStore,
        change: _Change,
        wait: float | None,
    ) -> int:
        """Apply a change, print the result and return the exit code."""
        change_id = str(uuid_utils.uuid7())
        applied = store.apply(
            change.document,
            change.base,
            change_id,
            self.option('author') or getpass.getuser(),
            self.option('comment') or change.comment,
            floor=self.find_highest_revision(),
        )
        if applied.is_ok():
            return self._confirm(applied.ok_value, wait)
        if isinstance(applied.err_value, configstore.Conflict):
            return self._show_conflict(store, change, applied.err_value)
        failure = applied.err_value
        if failure.maybe_applied:
            return self.fail(
                f'{failure.message}; the change may be in force: look for'
                f' change_id {change_id} in "rules history --json"'
            )
        return self.fail(f'{failure.message}; nothing was changed')

    def on_accepted(self, head: revisions.Head) -> None:
        """Handle acceptance of the change; does nothing by default."""

    def _confirm(self, head: revisions.Head, wait: float | None) -> int:
        self.on_accepted(head)
        if self.as_json:
            output.print_json(head)
        else:
            output.print_text(f'revision {head.revision} is accepted')
        if wait is None:
            return output.ExitCode.OK
        deadline = time.monotonic() + wait
        asked = self.option('admin')
        unconfirmed = _list_unconfirmed(asked, head.revision, deadline)
        for text in unconfirmed:
            output.print_error(f'dunlintide: {text}')
        if unconfirmed:
            confirmed = len(asked) - len(unconfirmed)
            output.print_error(
                f'in force at {confirmed} of {len(asked)} daemons'
            )
            return output.ExitCode.FAILED
        if not self.as_json:
            output.print_text('it is in force at every daemon asked')
        return output.ExitCode.OK

    def _show_conflict(
        self,
        store: configstore.ConfigStore,
        change: _Change,
        conflict: configstore.Conflict,
    ) -> int:
        current = conflict.current
        revision = current.head.revision if current else 0
        output.print_error(
            f'dunlintide: revision {revision} is in force, not'
            f' {change.base}; nothing was changed'
        )
        known = store.read_revision(change.base) if change.base else None
        base = known.ok_value if known and known.is_ok() else None
        old = base.document if base else b''
        new = current.document if current else b''
        if base is None and change.base:
            # The base revision was deleted: diff from the new document.
            old = change.document
        output.print_text(revisions.diff_documents(old, new))
        return output.ExitCode.CONFLICT


class Apply(_ChangeCommand):
    """``rules apply``."""

    name = 'rules apply'
    description = 'Put a document in force.'
    arguments = [helpers.argument('file', 'Document, JSON with comments.')]
    options = [
        *_CHANGE_OPTIONS,
        commands.build_option(
            'base', 'Revision that the document was made from.'
        ),
    ]

    def handle(self) -> int:
        """Check the document and apply it over its base revision."""
        wait = self.read_wait()
        store = self.open_store()
        for read in (wait, store):
            if read.is_err():
                return self.reject(read.err_value)
        draft = files.read_draft(self.argument('file'))
        if draft.is_err():
            return output.print_problems(draft.err_value)
        problems = checker.check(draft.ok_value)
        code = output.print_problems(problems)
        if code != output.ExitCode.OK:
            return code
        return self._apply(store.ok_value, draft.ok_value, wait.ok_value)

    def _apply(
        self,
        store: configstore.ConfigStore,
        draft: documents.Draft,
        wait: float | None,
    ) -> int:
        base = self._read_base()
        if base.is_err():
            return self.reject(base.err_value)
        current = store.read()
        if current.is_err():
            return self.fail(current.err_value.message)
        document = documents.encode_configuration(draft.configuration)
        snapshot = current.ok_value
        if snapshot and snapshot.document == document:
            if not self.as_json:
                output.print_text('no difference: nothing to change')
            return self._confirm(snapshot.head, wait)
        revision = base.ok_value
        if revision is None:
            revision = snapshot.head.revision if snapshot else 0
        return self.apply_change(store, _Change(document, revision, ''), wait)

    def on_accepted(self, head: revisions.Head) -> None:
        """Record the accepted revision as the base of the document file."""
        file = self.argument('file')
        replaced = files.update_base_comment(file, head.revision)
        if replaced.is_err():
            output.print_error(f'dunlintide: {replaced.err_value}')

    def _read_base(self) -> result.Result[int | None, str]:
        given = self.option('base')
        if given:
            if not given.isdecimal():
                return result.Err(f'--base: expected a revision, got {given}')
            return result.Ok(int(given))
        text = files.read_text(self.argument('file'))
        return text.map(files.parse_base_revision).map_err(_describe_problems)


def _describe_problems(problems: list[jsonc.Problem]) -> str:
    return '\n'.join(str(problem) for problem in problems)


class Rollback(_ChangeCommand):
    """``rules rollback``."""

    name = 'rules rollback'
    description = 'Put an earlier document in force, as a new revision.'
    arguments = [helpers.argument('revision', 'Revision to go back to.')]
    options = _CHANGE_OPTIONS

    def handle(self) -> int:
        """Apply the document of an earlier revision."""
        wait = self.read_wait()
        store = self.open_store()
        for read in (wait, store):
            if read.is_err():
                return self.reject(read.err_value)
        text = self.argument('revision')
        if not text.isdecimal():
            return self.reject(f'expected a revision, got {text}')
        return self._roll_back(store.ok_value, int(text), wait.ok_value)

    def _roll_back(
        self,
        store: configstore.ConfigStore,
        revision: int,
        wait: float | None,
    ) -> int:
        earlier = store.read_revision(revision)
        current = store.read()
        for read in (earlier, current):
            if read.is_err():
                return self.fail(read.err_value.message)
        if earlier.ok_value is None or current.ok_value is None:
            return self.fail(f'revision {revision} is no longer in the store')
        base = current.ok_value.head.revision
        comment = f'roll back to revision {revision}'
        change = _Change(earlier.ok_value.document, base, comment)
        return self.apply_change(store, change, wait)
