"""Commands that look at rules: check, explain, show, diff, history."""

import datetime
import json
from typing import Any, Iterable, Iterator

from cleo import helpers
import result

from dunlintide_adapters import configstore
from dunlintide_cli import commands
from dunlintide_cli import daemons
from dunlintide_cli import files
from dunlintide_cli import output
from dunlintide_core import checker
from dunlintide_core import configuration
from dunlintide_core import documents
from dunlintide_core import fleet
from dunlintide_core import matching
from dunlintide_core import revisions
from dunlintide_core import schemas

__all__ = [
    'Check',
    'Diff',
    'Explain',
    'History',
    'Members',
    'Show',
]

_MAX_WANTED = 4

FILE = helpers.argument('file', 'Document, JSON with comments.')
OPTIONAL_FILE = helpers.argument(
    'file', 'Document; the one in force if left out.', optional=True
)


def _value(name: str, description: str) -> Any:
    return helpers.option(name, description=description, flag=False)


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds).astimezone()
    return moment.isoformat(' ', 'seconds')


class Check(commands.Command):
    """``rules check``."""

    name = 'rules check'
    description = 'Check a document without applying it.'
    arguments = [FILE]
    options = [commands.JSON, commands.ADMIN]

    def handle(self) -> int:
        """Print errors and warnings; fail on errors."""
        draft = files.read_draft(self.argument('file'))
        if draft.is_err():
            return output.print_problems(draft.err_value, self.as_json)
        endpoints = self._read_endpoints()
        if endpoints.is_err():
            return self.fail(endpoints.err_value)
        problems = checker.check(draft.ok_value, endpoints.ok_value)
        return output.print_problems(problems, self.as_json)

    def _read_endpoints(
        self,
    ) -> result.Result[list[fleet.Endpoint] | None, daemons.Unreachable]:
        found: list[fleet.Endpoint] = []
        for url in self.option('admin'):
            read = daemons.read_state(url)
            if read.is_err():
                return read
            listed = read.ok_value.list_endpoints()
            if listed.is_err():
                return listed
            found.extend(listed.ok_value)
        return result.Ok(found if self.option('admin') else None)


class _Reader(commands.Command):
    """Reads a file, or what is in force."""

    def read_current(
        self,
    ) -> result.Result[configstore.Snapshot | None, object]:
        """Read what is in force from the store."""
        return self.open_store().and_then(
            lambda store: store.read().map_err(lambda fault: fault.message)
        )

    def read_source(
        self,
    ) -> result.Result[configuration.Configuration, int]:
        """Read the configuration of the file, or the one in force.

        :returns: the configuration, or the exit code after printing why
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
        return decoded.map_err(lambda damage: self.fail(damage.message))


def _describe_miss(miss: matching.Miss) -> str:
    wanted = miss.wanted
    if not isinstance(wanted, tuple):
        wanted = (wanted,)
    listed = ', '.join(map(schemas.describe_value, wanted[:_MAX_WANTED]))
    if len(wanted) > _MAX_WANTED:
        listed += f' and {len(wanted) - _MAX_WANTED} more'
    found = schemas.describe_value(miss.found)
    return f'{miss.condition} is {listed}, but the request has {found}'


def _list_unknown(
    source: configuration.Configuration, query: matching.Query
) -> Iterator[str]:
    for kind, items in (
        ('member', source.members),
        ('model', source.models),
        ('service', source.services),
    ):
        name = getattr(query, kind)
        known = {item.name for item in items}
        if name and name not in known:
            hint = schemas.suggest(name, known)
            yield f'unknown {kind} "{name}"{hint}'


class Explain(_Reader):
    """``rules explain``."""

    name = 'rules explain'
    description = 'Tell which rule decides a request, and why.'
    arguments = [OPTIONAL_FILE]
    options = [
        commands.JSON,
        commands.STORE,
        _value('member', 'Member that sends the request.'),
        _value('model', 'Model asked for.'),
        _value('service', 'Service called.'),
        _value('method', 'HTTP method; POST if left out.'),
        _value('path', 'Path of the request.'),
        _value('priority', 'Priority asked for, 0 to 3.'),
        _value('failure-domain', 'Failure domain of the entry.'),
        _value('adapter', 'Adapter asked for.'),
        _value('prompt-tokens', 'Size of the prompt, in tokens.'),
    ]

    def handle(self) -> int:
        """Print the rule and why each earlier one does not match."""
        built = self._build_query()
        if built.is_err():
            return self.reject(built.err_value)
        query = built.ok_value
        source = self.read_source()
        if source.is_err():
            return source.err_value
        for text in _list_unknown(source.ok_value, query):
            output.print_error(f'dunlintide: warning: {text}')
        found = matching.explain(source.ok_value.rules, query)
        if self.as_json:
            output.print_json(found)
        else:
            self._print(found)
        return output.ExitCode.OK

    def _build_query(self) -> result.Result[matching.Query, str]:
        if not self.option('member'):
            return result.Err('give the --member that sends the request')
        if bool(self.option('model')) == bool(self.option('service')):
            return result.Err('give either --model or --service')
        numbers: dict[str, int] = {}
        for name in ('priority', 'prompt-tokens'):
            text = self.option(name)
            if text and not text.isdecimal():
                return result.Err(f'--{name}: expected a number, got {text}')
            if text:
                numbers[name.replace('-', '_')] = int(text)
        return result.Ok(
            matching.Query(
                member=self.option('member'),
                model=self.option('model') or '',
                service=self.option('service') or '',
                method=self.option('method') or 'POST',
                path=self.option('path') or self._guess_path(),
                failure_domain=self.option('failure-domain') or '',
                adapter=self.option('adapter') or '',
                **numbers,
            )
        )

    def _guess_path(self) -> str:
        service = self.option('service')
        return f'/services/{service}/' if service else '/v1/completions'

    def _print(self, found: matching.Explanation) -> None:
        if found.misses:
            rows = [
                (miss.position, miss.rule, _describe_miss(miss))
                for miss in found.misses
            ]
            output.print_table(('rule', 'name', 'does not match'), rows)
        if found.rule is None:
            output.print_text('no rule matches: the request is refused')
            return
        output.print_text(
            f'rule {len(found.misses)} "{found.rule.name}" decides:'
        )
        output.print_json(found.rule.then)


class Show(_Reader):
    """``rules show``."""

    name = 'rules show'
    description = 'Print the document in force, or an earlier one.'
    options = [
        commands.JSON,
        commands.STORE,
        _value('revision', 'Revision to print.'),
    ]

    def handle(self) -> int:
        """Print the document under a comment with its revision."""
        revision = self.option('revision')
        if revision and not revision.isdecimal():
            return self.reject(f'--revision: not a number: {revision}')
        read = self._read(int(revision)) if revision else self.read_current()
        if read.is_err():
            return self.fail(read.err_value)
        snapshot = read.ok_value
        if snapshot is None:
            return self.fail('there is no such revision in the store')
        document = json.loads(snapshot.document)
        if self.as_json:
            output.print_json({'head': snapshot.head, 'document': document})
        else:
            output.print_text(files.build_base_mark(snapshot.head.revision))
            output.print_json(document)
        return output.ExitCode.OK

    def _read(
        self, revision: int
    ) -> result.Result[configstore.Snapshot | None, object]:
        return self.open_store().and_then(
            lambda store: store.read_revision(revision).map_err(
                lambda fault: fault.message
            )
        )


class Diff(_Reader):
    """``rules diff``."""

    name = 'rules diff'
    description = 'Print what applying a document would change.'
    arguments = [FILE]
    options = [commands.STORE]

    def handle(self) -> int:
        """Print a unified diff with one item on each line."""
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


class History(_Reader):
    """``rules history``."""

    name = 'rules history'
    description = 'List the revisions that are kept, the newest first.'
    options = [commands.JSON, commands.STORE]

    def handle(self) -> int:
        """Print a row for each revision."""
        read = self.open_store().and_then(
            lambda store: store.history().map_err(lambda fault: fault.message)
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


def _list_members(
    source: configuration.Configuration,
) -> Iterable[dict[str, Any]]:
    rules: dict[str, list[str]] = {}
    for rule in source.rules:
        for name in rule.when.member:
            rules.setdefault(name, []).append(rule.name)
    for member in source.members:
        yield {
            'name': member.name,
            'keys': len(member.key_hashes),
            'rules': rules.get(member.name, []),
        }


class Members(_Reader):
    """``members``."""

    name = 'members'
    description = 'List members, their number of keys and their rules.'
    arguments = [OPTIONAL_FILE]
    options = [commands.JSON, commands.STORE]

    def handle(self) -> int:
        """Print a row for each member."""
        source = self.read_source()
        if source.is_err():
            return source.err_value
        members = list(_list_members(source.ok_value))
        if self.as_json:
            output.print_json(members)
            return output.ExitCode.OK
        rows = [
            (one['name'], one['keys'], ', '.join(one['rules']))
            for one in members
        ]
        output.print_table(('member', 'keys', 'rules that name it'), rows)
        return output.ExitCode.OK
