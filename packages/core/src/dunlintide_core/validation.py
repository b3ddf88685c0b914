"""Validation of the values in a configuration, beyond field types."""

import functools
import re
from typing import Any, Callable, Iterable, Iterator

from dunlintide_core import configuration
from dunlintide_core import jsonc
from dunlintide_core import schemas

__all__ = ['list_faults']

MIN_PRIORITY, MAX_PRIORITY = 0, 3
MAX_PATH_CHARACTERS = 512
MAX_NAME_CHARACTERS = 128

Fault = tuple[jsonc.Path, str]

_NAME = re.compile(r'[!-.0-~]+')
_MODEL_NAME = re.compile(r'[!-~]+')
_METHOD = re.compile(r'[A-Z]+')
_KEY_HASH = re.compile(r'[0-9a-f]{64}')


def _expect(expected: str, value: Any) -> str:
    return f'expected {expected}, got {schemas.describe_value(value)}'


def _check_name(path: jsonc.Path, name: str, pattern: re.Pattern):
    if len(name) > MAX_NAME_CHARACTERS or not pattern.fullmatch(name):
        extra = ' and "/"' if pattern is _NAME else ''
        expected = (
            f'1 to {MAX_NAME_CHARACTERS} printable ASCII characters'
            f' without spaces{extra}'
        )
        yield path, _expect(expected, name)


def _check_above_zero(path: jsonc.Path, holder: Any, *names: str):
    for name in names:
        value = getattr(holder, name)
        if value is not None and value <= 0:
            yield (*path, name), _expect('a number above 0', value)


def _check_priority(path: jsonc.Path, value: int) -> Iterator[Fault]:
    if not MIN_PRIORITY <= value <= MAX_PRIORITY:
        expected = f'a priority from {MIN_PRIORITY} to {MAX_PRIORITY}'
        yield path, _expect(expected, value)


def _check_unique(
    section: str, keys: Iterable[Any], what: str = 'name'
) -> Iterator[Fault]:
    seen: dict[Any, int] = {}
    for index, key in enumerate(keys):
        first = seen.setdefault(key, index)
        if first != index:
            text = f'duplicate {what}, first at {section}[{first}]'
            yield (section, index, 'name'), text


def _check_teams(
    teams: tuple[configuration.Team, ...],
) -> Iterator[Fault]:
    yield from _check_unique('members', (m.name for m in teams))
    owners: dict[str, str] = {}
    for index, team in enumerate(teams):
        path = ('members', index)
        yield from _check_name((*path, 'name'), team.name, _NAME)
        for position, digest in enumerate(team.key_hashes):
            key_path = (*path, 'key_hashes', position)
            # The value is not shown, as it may be a secret key entered by
            # mistake.
            if not _KEY_HASH.fullmatch(digest):
                text = 'expected a SHA-256 of 64 lower-case hex digits'
                yield key_path, f'{text}, got {len(digest)} characters'
            elif digest in owners:
                yield key_path, f'the key is already used by {owners[digest]}'
            owners.setdefault(digest, team.name)


def _check_models(models: tuple[configuration.Model, ...]) -> Iterator[Fault]:
    keys = ((model.name, model.version) for model in models)
    yield from _check_unique('models', keys, 'name and version')
    for index, model in enumerate(models):
        path = ('models', index)
        yield from _check_name((*path, 'name'), model.name, _MODEL_NAME)
        yield from _check_above_zero(path, model, 'layers', 'replicas')


def _check_services(
    services: tuple[configuration.Service, ...],
) -> Iterator[Fault]:
    yield from _check_unique('services', (s.name for s in services))
    for index, service in enumerate(services):
        item_path = ('services', index, 'name')
        yield from _check_name(item_path, service.name, _NAME)


def _has_open_set(glob: str) -> bool:
    start = glob.find('[')
    while start >= 0:
        # As in fnmatch, a "]" directly after "[" or "[!" belongs to the set.
        first = start + 1 + glob.startswith('!', start + 1)
        end = glob.find(']', first + 1)
        if end < 0:
            return True
        start = glob.find('[', end)
    return False


def _check_glob(path: jsonc.Path, glob: str) -> Iterator[Fault]:
    if not glob or glob[0] not in '/*?[':
        yield path, _expect('a glob that starts with "/" or "*"', glob)
    if len(glob) > MAX_PATH_CHARACTERS:
        yield path, f'the glob has more than {MAX_PATH_CHARACTERS} characters'
    if _has_open_set(glob):
        yield path, _expect('a glob with "]" for each "["', glob)


def _check_when(path: jsonc.Path, when: configuration.When) -> Iterator[Fault]:
    if when.path is not None:
        yield from _check_glob((*path, 'path'), when.path)
    for index, value in enumerate(when.priority):
        yield from _check_priority((*path, 'priority', index), value)
    for index, method in enumerate(when.method):
        if not _METHOD.fullmatch(method):
            expected = 'an HTTP method in capitals'
            yield (*path, 'method', index), _expect(expected, method)
    least, most = when.prompt_tokens_min, when.prompt_tokens_max
    if least is not None and least < 0:
        yield (*path, 'prompt_tokens_min'), _expect('0 or more', least)
    if most is not None and most < (least or 0):
        yield (*path, 'prompt_tokens_max'), _expect(
            f'{least or 0} or more', most
        )


def _check_then(path: jsonc.Path, then: configuration.Then) -> Iterator[Fault]:
    names = 'weight', 'rate', 'concurrency', 'deadline_seconds'
    yield from _check_above_zero(path, then, *names, 'retention_seconds')
    yield from _check_priority((*path, 'priority'), then.priority)


def _check_known(
    path: jsonc.Path, name: str, known: frozenset[str], kind: str
) -> Iterator[Fault]:
    if name not in known:
        hint = schemas.suggest(name, known)
        yield path, f'unknown {kind} {schemas.describe_value(name)}{hint}'


def _collect(
    models: Iterable[configuration.Model], names: tuple[str, ...], field: str
) -> frozenset[str]:
    """Collect the versions or adapters of the named models.

    :param names: names of models, empty for all
    :param field: field of the model to collect
    """
    found: set[str] = set()
    for model in models:
        if not names or model.name in names:
            value = getattr(model, field)
            found.update((value,) if isinstance(value, str) else value)
    return frozenset(found)


def _make_name_checker(
    source: configuration.Configuration,
) -> Callable[[jsonc.Path, configuration.Rule], Iterator[Fault]]:
    teams = frozenset(team.name for team in source.teams)
    models = frozenset(model.name for model in source.models)
    services = frozenset(service.name for service in source.services)

    @functools.cache
    def collect(names: tuple[str, ...], field: str) -> frozenset[str]:
        return _collect(source.models, names, field)

    def check_when(path: jsonc.Path, when: configuration.When):
        adapters = collect((), 'adapters')
        for field, known in (
            ('team', teams),
            ('model', models),
            ('service', services),
            ('adapter', adapters),
        ):
            names = enumerate(getattr(when, field))
            for index, name in names:
                document_name = configuration.name_condition(field)
                item_path = (*path, document_name, index)
                yield from _check_known(item_path, name, known, document_name)

    def check_then(path: jsonc.Path, rule: configuration.Rule):
        then = rule.then
        if then.model is not None:
            yield from _check_known(
                (*path, 'model'), then.model, models, 'model'
            )
        targets = (then.model,) if then.model else rule.when.model
        for field, name, model_field in (
            ('version', then.version, 'version'),
            ('adapter', then.adapter, 'adapters'),
        ):
            if name is not None:
                known = collect(targets, model_field)
                yield from _check_known((*path, field), name, known, field)

    def check(path: jsonc.Path, rule: configuration.Rule) -> Iterator[Fault]:
        yield from check_when((*path, 'when'), rule.when)
        yield from check_then((*path, 'then'), rule)

    return check


def _check_rules(source: configuration.Configuration) -> Iterator[Fault]:
    check_names = _make_name_checker(source)
    yield from _check_unique('rules', (rule.name for rule in source.rules))
    for index, rule in enumerate(source.rules):
        path = ('rules', index)
        if not rule.name or not rule.name.isprintable():
            expected = 'a name of printable characters'
            yield (*path, 'name'), _expect(expected, rule.name)
        yield from _check_when((*path, 'when'), rule.when)
        yield from _check_then((*path, 'then'), rule.then)
        yield from check_names(path, rule)


def list_faults(source: configuration.Configuration) -> Iterator[Fault]:
    """List out-of-range values, duplicate names and unknown names.

    :returns: path and description of each fault
    """
    yield from _check_teams(source.teams)
    yield from _check_models(source.models)
    yield from _check_services(source.services)
    yield from _check_rules(source)
