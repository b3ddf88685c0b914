"""Commands that evaluate a document: check and explain."""

import json
from typing import Iterator

import result

from dunlintide_cli import commands
from dunlintide_cli import daemons
from dunlintide_cli import files
from dunlintide_cli import output
from dunlintide_cli import sources
from dunlintide_core import checker
from dunlintide_core import configuration
from dunlintide_core import documents
from dunlintide_core import fleet
from dunlintide_core import matching
from dunlintide_core import schemas

__all__ = [
    'Check',
    'Explain',
]

_MAX_LISTED_VALUES = 4


class Check(commands.Command):
    """``rules check``."""

    name = 'rules check'
    description = 'Check a document without applying it.'
    arguments = [sources.FILE]
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
    ) -> result.Result[list[fleet.Endpoint] | None, daemons.CallError]:
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


def _describe_mismatch(miss: matching.Mismatch) -> str:
    wanted = miss.wanted
    if not isinstance(wanted, tuple):
        wanted = (wanted,)
    listed = ', '.join(
        map(schemas.describe_value, wanted[:_MAX_LISTED_VALUES])
    )
    if len(wanted) > _MAX_LISTED_VALUES:
        listed += f' and {len(wanted) - _MAX_LISTED_VALUES} more'
    found = schemas.describe_value(miss.found)
    written = configuration.name_condition(miss.condition)
    return f'{written} is {listed}, but the request has {found}'


def _list_unknown_names(
    source: configuration.Configuration, query: matching.Query
) -> Iterator[str]:
    for kind, items in (
        ('team', source.teams),
        ('model', source.models),
        ('service', source.services),
    ):
        name = getattr(query, kind)
        known = {item.name for item in items}
        if name and name not in known:
            hint = schemas.suggest(name, known)
            written = configuration.name_condition(kind)
            yield f'unknown {written} "{name}"{hint}'


class Explain(sources.ReadCommand):
    """``rules explain``."""

    name = 'rules explain'
    description = 'Show which rule applies to a request, and why.'
    arguments = [sources.OPTIONAL_FILE]
    options = [
        commands.JSON,
        commands.STORE,
        commands.ADMIN,
        commands.build_option('member', 'Team that sends the request.'),
        commands.build_option('host', 'Host name asked; for an edge.'),
        commands.build_option('model', 'Model asked for.'),
        commands.build_option('service', 'Service called.'),
        commands.build_option('method', 'HTTP method; POST if left out.'),
        commands.build_option('path', 'Path of the request.'),
        commands.build_option('priority', 'Priority asked for, 0 to 3.'),
        commands.build_option(
            'failure-domain', 'Failure domain of the entry.'
        ),
        commands.build_option('adapter', 'Adapter asked for.'),
        commands.build_option(
            'prompt-tokens', 'Size of the prompt, in tokens.'
        ),
    ]

    def handle(self) -> int:
        """Print the rule and why each earlier one does not match."""
        built = self._build_query()
        if built.is_err():
            return self.reject(built.err_value)
        query = built.ok_value
        source = self._read_rules()
        if source.is_err():
            return source.err_value
        for text in _list_unknown_names(source.ok_value, query):
            output.print_error(f'dunlintide: warning: {text}')
        found = matching.explain(source.ok_value.rules, query)
        if self.as_json:
            output.print_json(found)
        else:
            self._print(found)
        return output.ExitCode.OK

    def _read_rules(
        self,
    ) -> result.Result[configuration.Configuration, int]:
        """Read the configuration of the daemon, the file or the store."""
        if not self.option('admin'):
            return self.read_source()
        read = daemons.read_state(self.option('admin')[0])
        if read.is_err():
            return read.map_err(self.fail)
        document = read.ok_value.dump.get('document')
        if document is None:
            return result.Err(
                self.fail('the state of the daemon has no "document"')
            )
        decoded = documents.decode_configuration(json.dumps(document))
        return decoded.map_err(lambda error: self.fail(error.message))

    def _build_query(self) -> result.Result[matching.Query, str]:
        if not self.option('member'):
            return result.Err(
                '--member is required: the team that sends the request'
            )
        not_exactly_one = bool(self.option('model')) == bool(
            self.option('service')
        )
        if not_exactly_one and not self.option('host'):
            return result.Err(
                'exactly one of --model and --service is required'
                ' without --host'
            )
        numbers: dict[str, int] = {}
        for name in ('priority', 'prompt-tokens'):
            text = self.option(name)
            if text and not text.isdecimal():
                return result.Err(f'--{name}: expected a number, got {text}')
            if text:
                numbers[name.replace('-', '_')] = int(text)
        return result.Ok(
            matching.Query(
                team=self.option('member'),
                host=self.option('host') or '',
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
                (miss.position, miss.rule, _describe_mismatch(miss))
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
