"""Search for the first rule that matches a request.

The index maps each combination of team, target (a model or a service) and
first path segment to the positions of the rules that name it. A lookup
merges at most eight such lists in rule order, so its cost does not depend
on rules for other teams, targets or paths.
"""

import collections
import fnmatch
import heapq
import re
from typing import Any, Callable, Iterable, Iterator, Mapping, Sequence

import attrs

from dunlintide_core import configuration
from dunlintide_core import steps

__all__ = [
    'Explanation',
    'Mismatch',
    'Query',
    'RuleIndex',
    'explain',
    'find_mismatch',
    'list_targets',
    'match_by_scan',
]

# Rules that are indexed in one step.
RULES_PER_STEP = 200
# A rule with more pairs of team and target than this is indexed by team
# only, to bound the size of the index.
MAX_PAIRS = 1024

Target = tuple[str, str]
Condition = Callable[['Query'], bool]
_Key = tuple[str | None, Target | None, str | None]
# First segment of a path or glob; no match if it contains a wildcard.
_SEGMENT = re.compile(r'/[^/*?\[]+/')


@attrs.frozen
class Query:
    """Properties of a request that rules can match.

    :ivar model: requested model, empty for a service request
    :ivar service: requested service, empty for a model request
    :ivar priority: requested priority, None if unspecified
    :ivar failure_domain: failure domain of the entry that received the
        request
    :ivar prompt_tokens: estimated prompt size, in tokens
    """

    team: str
    model: str = ''
    service: str = ''
    method: str = 'POST'
    path: str = '/'
    priority: int | None = None
    failure_domain: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    host: str = ''


@attrs.frozen
class Mismatch:
    """Reason why a rule does not match a request.

    :ivar rule: name of the rule
    :ivar position: position of the rule, from 0
    :ivar condition: first field of ``when`` that does not match
    :ivar wanted: value that the rule requires
    :ivar found: value of the request
    """

    rule: str
    position: int
    condition: str
    wanted: Any
    found: Any


@attrs.frozen
class Explanation:
    """The rule that matches and why earlier rules do not.

    :ivar rule: first matching rule, None if no rule matches
    :ivar misses: one mismatch for each earlier rule, in rule order
    """

    rule: configuration.Rule | None
    misses: tuple[Mismatch, ...]


def _make_choice(field: str, allowed: Sequence[Any]) -> Condition:
    if len(allowed) == 1:
        only = allowed[0]
        return lambda query: getattr(query, field) == only
    choices = frozenset(allowed)
    return lambda query: getattr(query, field) in choices


def _make_glob(glob: str) -> Condition:
    # fnmatch compiles the pattern at its first use and caches it; most
    # patterns are used by few requests.
    return lambda query: fnmatch.fnmatchcase(query.path, glob)


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


def _list_conditions(
    when: configuration.When,
) -> Iterator[tuple[str, Condition]]:
    for field in _CHOICES:
        allowed = getattr(when, field)
        if allowed:
            yield field, _make_choice(field, allowed)
    if when.path is not None:
        yield 'path', _make_glob(when.path)
    least, most = when.prompt_tokens_min, when.prompt_tokens_max
    if least is not None:
        yield 'prompt_tokens_min', lambda query: query.prompt_tokens >= least
    if most is not None:
        yield 'prompt_tokens_max', lambda query: query.prompt_tokens <= most


def find_mismatch(when: configuration.When, query: Query) -> str | None:
    """Return the first condition that a request does not match, or None.

    :param when: conditions of a rule
    """
    for field, condition in _list_conditions(when):
        if not condition(query):
            return field
    return None


def match_by_scan(
    rules: Sequence[configuration.Rule], query: Query
) -> configuration.Rule | None:
    """Find the first rule that matches by linear search.

    Reference implementation for the index; use ``RuleIndex`` to serve
    requests.
    """
    for rule in rules:
        if find_mismatch(rule.when, query) is None:
            return rule
    return None


def _get_found(query: Query, condition: str) -> Any:
    name = condition.removesuffix('_min').removesuffix('_max')
    return getattr(query, name)


def explain(rules: Sequence[configuration.Rule], query: Query) -> Explanation:
    """Return the matching rule and the mismatches of earlier rules."""
    misses = []
    for position, rule in enumerate(rules):
        failed = find_mismatch(rule.when, query)
        if failed is None:
            return Explanation(rule, tuple(misses))
        wanted = getattr(rule.when, failed)
        found = _get_found(query, failed)
        misses.append(Mismatch(rule.name, position, failed, wanted, found))
    return Explanation(None, tuple(misses))


def list_targets(when: configuration.When) -> list[Target | None]:
    """List the targets that a rule names; ``[None]`` if it names none."""
    if when.model:
        return [('model', name) for name in when.model]
    if when.service:
        return [('service', name) for name in when.service]
    return [None]


def _find_segment(path: str | None) -> str | None:
    found = _SEGMENT.match(path) if path else None
    return found[0] if found else None


def _list_keys(when: configuration.When) -> Iterator[_Key]:
    teams = when.team or (None,)
    targets = list_targets(when)
    segment = _find_segment(when.path)
    if len(teams) * len(targets) > MAX_PAIRS:
        targets = [None]
    for team in dict.fromkeys(teams):
        for target in dict.fromkeys(targets):
            yield team, target, segment


def _get_targets(query: Query) -> list[Target | None]:
    targets: list[Target | None] = [None]
    if query.model:
        targets.append(('model', query.model))
    if query.service:
        targets.append(('service', query.service))
    return targets


@attrs.frozen(eq=False)
class RuleIndex:
    """Index of an ordered rule list; build once per configuration."""

    _rules: tuple[configuration.Rule, ...]
    _conditions: tuple[tuple[Condition, ...], ...]
    _positions: Mapping[_Key, Sequence[int]]

    @classmethod
    def from_rules(cls, rules: Sequence[configuration.Rule]) -> 'RuleIndex':
        """Build the index of an ordered list of rules."""
        return steps.finish(cls.build(rules))

    @classmethod
    def build(
        cls,
        rules: Sequence[configuration.Rule],
        previous: 'RuleIndex | None' = None,
    ) -> steps.Steps['RuleIndex']:
        """Build the index of an ordered list of rules, in steps.

        :param previous: index whose rules may be among them, so that their
            conditions are used again
        """
        known = previous._get_conditions_by_rule() if previous else {}
        positions = collections.defaultdict(list)
        conditions = []
        for position, rule in enumerate(rules):
            listed = known.get(id(rule))
            if listed is None:
                found = _list_conditions(rule.when)
                listed = tuple(condition for _, condition in found)
            conditions.append(listed)
            for key in _list_keys(rule.when):
                positions[key].append(position)
            if position % RULES_PER_STEP == RULES_PER_STEP - 1:
                yield
        return cls(tuple(rules), tuple(conditions), dict(positions))

    def _get_conditions_by_rule(self) -> dict[int, tuple[Condition, ...]]:
        """Return the conditions of each rule object by its identity."""
        return dict(zip(map(id, self._rules), self._conditions))

    def list_candidates(
        self,
        team: str | None,
        targets: Iterable[Target | None],
        path: str | None = None,
    ) -> Iterator[int]:
        """Iterate in order over the positions of rules that may match.

        :param team: team of the request; rules without a team are included
        :param targets: targets of the request; include None for the rules
            that name no target
        :param path: path or glob; None restricts the search to rules
            without a literal first segment
        """
        segments = dict.fromkeys((_find_segment(path), None))
        lists = [
            self._positions[team_name, target, segment]
            for team_name in dict.fromkeys((team, None))
            for target in targets
            for segment in segments
            if (team_name, target, segment) in self._positions
        ]
        return iter(lists[0]) if len(lists) == 1 else heapq.merge(*lists)

    def find(self, query: Query) -> configuration.Rule | None:
        """Find the first rule that matches a request."""
        targets = _get_targets(query)
        for position in self.list_candidates(query.team, targets, query.path):
            if all(check(query) for check in self._conditions[position]):
                return self._rules[position]
        return None
