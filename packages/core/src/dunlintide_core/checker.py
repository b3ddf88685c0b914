"""Checks for rules and definitions that are valid but have no effect.

Finds rules that can never match, fields that are never used, and models
or services that no endpoint can serve. ``validation`` checks the values
themselves.
"""

import fnmatch
from typing import Iterator, Sequence

import attrs

from dunlintide_core import configuration
from dunlintide_core import coverage
from dunlintide_core import documents
from dunlintide_core import fleet
from dunlintide_core import jsonc
from dunlintide_core import matching

__all__ = ['check', 'covers']

_GLOB_CHARACTERS = '*?['
_CHOICES = (
    'team',
    'model',
    'service',
    'method',
    'priority',
    'failure_domain',
    'adapter',
    'host',
)
# Conditions that only requests to a model can satisfy.
_MODEL_CONDITIONS = ('model', 'adapter')
_PROMPT_CONDITIONS = ('prompt_tokens_min', 'prompt_tokens_max')
_MODEL_TERMS = ('model', 'version', 'adapter', 'accelerators')

Fault = tuple[jsonc.Path, str, jsonc.Level]


def _get_prefix(glob: str) -> str:
    for index, char in enumerate(glob):
        if char in _GLOB_CHARACTERS:
            return glob[:index]
    return glob


def _covers_path(wide: str | None, narrow: str | None) -> bool:
    if wide is None or wide == narrow:
        return True
    if narrow is None:
        return False
    prefix = _get_prefix(narrow)
    if prefix == narrow:
        return fnmatch.fnmatchcase(narrow, wide)
    head = _get_prefix(wide)
    return wide == f'{head}*' and prefix.startswith(head)


def covers(wide: configuration.When, narrow: configuration.When) -> bool:
    """Return whether one rule matches every request that another matches.

    Sound but not complete: a later glob counts as covered only by the
    same glob or by a literal prefix followed by ``*``.

    :param wide: conditions of the earlier rule
    :param narrow: conditions of the later rule
    """
    for field in _CHOICES:
        allowed, asked = getattr(wide, field), getattr(narrow, field)
        if allowed and not (asked and set(asked) <= set(allowed)):
            return False
    least, most = wide.prompt_tokens_min, wide.prompt_tokens_max
    if least and (narrow.prompt_tokens_min or 0) < least:
        return False
    if most is not None:
        if narrow.prompt_tokens_max is None or narrow.prompt_tokens_max > most:
            return False
    return _covers_path(wide.path, narrow.path)


def _find_cover(
    index: matching.RuleIndex,
    rules: Sequence[configuration.Rule],
    position: int,
) -> int | None:
    # A rule that covers this one matches each team and target that this
    # one names, so the candidates for the first of them include it.
    when = rules[position].when
    team = when.team[0] if when.team else None
    targets = dict.fromkeys((matching.list_targets(when)[0], None))
    for earlier in index.list_candidates(team, targets, when.path):
        if earlier >= position:
            return None
        if covers(rules[earlier].when, when):
            return earlier
    return None


def _check_reachability(
    rules: Sequence[configuration.Rule],
) -> Iterator[Fault]:
    index = matching.RuleIndex.from_rules(rules)
    for position, rule in enumerate(rules):
        cover = _find_cover(index, rules, position)
        if cover is not None:
            text = (
                f'rule "{rule.name}" is unreachable: rules[{cover}]'
                f' "{rules[cover].name}" matches all of its requests'
            )
            yield ('rules', position), text, jsonc.Level.ERROR


def _check_catch_all(rules: Sequence[configuration.Rule]) -> Iterator[Fault]:
    if not any(rule.when == configuration.CATCH_ALL for rule in rules):
        text = (
            'no rule has an empty "when": a request that matches no rule'
            ' is refused'
        )
        yield ('rules',), text, jsonc.Level.WARNING


def _list_set_fields(holder: object, names: Sequence[str]) -> list[str]:
    fields = attrs.fields_dict(type(holder))
    return [n for n in names if getattr(holder, n) != fields[n].default]


def _check_when(rule: configuration.Rule) -> Iterator[tuple[str, str]]:
    when = rule.when
    if not when.service:
        return
    clashing = _list_set_fields(when, _MODEL_CONDITIONS + _PROMPT_CONDITIONS)
    for name in clashing:
        text = (
            'a service request never satisfies this condition, so the rule'
            ' never matches'
        )
        yield name, text


def _check_then(rule: configuration.Rule) -> Iterator[tuple[str, str]]:
    then = rule.then
    if then.action is configuration.Action.REFUSE:
        names = [field.name for field in attrs.fields(type(then))]
        others = [n for n in names if n not in ('action', 'reason')]
        for name in _list_set_fields(then, others):
            yield name, 'has no effect in a rule that refuses'
    elif then.reason:
        yield 'reason', 'has an effect only in a rule that refuses'
    elif rule.when.service:
        for name in _list_set_fields(then, _MODEL_TERMS):
            yield name, 'has no effect on a service request'


def _check_fields(rules: Sequence[configuration.Rule]) -> Iterator[Fault]:
    for position, rule in enumerate(rules):
        path = ('rules', position)
        for name, text in _check_when(rule):
            yield (*path, 'when', name), text, jsonc.Level.ERROR
        for name, text in _check_then(rule):
            yield (*path, 'then', name), text, jsonc.Level.WARNING


def check(
    draft: documents.Draft, endpoints: Sequence[fleet.Endpoint] | None = None
) -> list[jsonc.Problem]:
    """List errors and warnings about a draft, ordered by position.

    :param endpoints: all endpoints of the deployment; None skips the
        checks against them
    """
    source = draft.configuration
    faults = [
        *_check_reachability(source.rules),
        *_check_catch_all(source.rules),
        *_check_fields(source.rules),
    ]
    if endpoints is not None:
        faults += [
            (path, text, jsonc.Level.WARNING)
            for path, text in coverage.list_faults(source, endpoints)
        ]
    problems = [
        draft.document.report(path, text, level)
        for path, text, level in faults
    ]
    return jsonc.sort_problems(problems)
