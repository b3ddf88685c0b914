"""Steps of rules.feature."""

import behave
import hypothesis
from hypothesis import strategies

from dunlintide_core import checker
from dunlintide_core import configuration
from dunlintide_core import documents
from dunlintide_core import fleet
from dunlintide_core import matching

_TEXT = '''{
"members": [{"name": "diner"}, {"name": "church"}],
"models": [{"name": "copy-7b", "layers": 24, "adapters": ["promo"]}],
"services": [{"name": "orders", "repeatable": false}],
"rules": [
%s
]}'''
_RANGES = ((0, 8, 'l4'), (8, 16, 'a100'), (16, 24, 'a100'))


def _sample(*values):
    return strategies.lists(
        strategies.sampled_from(values), max_size=2, unique=True
    ).map(tuple)


_SIZES = strategies.none() | strategies.integers(0, 3)
_WHENS = strategies.builds(
    configuration.When,
    team=_sample('a', 'b', 'c'),
    model=_sample('m', 'n'),
    service=_sample('s', 'm'),
    method=_sample('GET', 'POST'),
    path=strategies.sampled_from(
        [None, None, '/*', '/a', '/a*', '/[!a]', '/a/*', '/a/b/*', '/b/*']
    ),
    priority=_sample(0, 1),
    failure_domain=_sample('x', 'y'),
    adapter=_sample('p'),
    prompt_tokens_min=_SIZES,
    prompt_tokens_max=_SIZES,
)
_QUERIES = strategies.builds(
    matching.Query,
    team=strategies.sampled_from('abcd'),
    model=strategies.sampled_from(['', 'm', 'n']),
    service=strategies.sampled_from(['', 's', 'm']),
    method=strategies.sampled_from(['GET', 'POST']),
    path=strategies.sampled_from(['/a', '/b', '/ab', '/a/', '/a/b/c', '/b/a']),
    priority=strategies.sampled_from([None, 0, 1]),
    failure_domain=strategies.sampled_from('xy'),
    adapter=strategies.sampled_from(['', 'p']),
    prompt_tokens=strategies.integers(0, 3),
)


@behave.then('the index agrees with the scan for any rules and requests')
def compare_index(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=300
    )
    @hypothesis.given(
        strategies.lists(_WHENS, max_size=12),
        strategies.lists(_QUERIES, min_size=1, max_size=8),
    )
    def check(whens, queries):
        rules = [
            configuration.Rule(str(position), when, configuration.Then())
            for position, when in enumerate(whens)
        ]
        index = matching.RuleIndex.from_rules(rules)
        for query in queries:
            expected = matching.match_by_scan(rules, query)
            assert index.find(query) == expected
            assert matching.explain(rules, query).rule == expected

    check()


@behave.then('a rule that covers another holds wherever the other does')
def compare_covers(context):
    whens = strategies.builds(
        configuration.When,
        team=_sample('a', 'b'),
        path=strategies.sampled_from(
            [None, '/*', '/a', '/a*', '/b*', '/?', '/a/*', '/a/b*']
        ),
        prompt_tokens_min=_SIZES,
        prompt_tokens_max=_SIZES,
    )
    covered = 0

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=1000
    )
    @hypothesis.given(whens, whens, strategies.lists(_QUERIES, min_size=8))
    def check(wide, narrow, queries):
        nonlocal covered
        if not checker.covers(wide, narrow):
            return
        for query in queries:
            if matching.find_mismatch(narrow, query) is None:
                covered += 1
                assert matching.find_mismatch(wide, query) is None

    check()
    assert covered > 20, covered


@behave.given('a rules document with these rules')
def take_rules(context):
    context.rules_text = _TEXT % context.text


@behave.given('a rules document whose team has the key hash "{value}"')
def take_key_hash(context, value):
    named = '{"name": "diner"'
    keyed = f'{named}, "key_hashes": ["{value}"]'
    context.rules_text = (_TEXT % '').replace(named, keyed)


def _load(context):
    return documents.load_configuration(context.rules_text, 'rules.jsonc')


def _explain(context, team, tokens):
    rules = _load(context).unwrap().configuration.rules
    query = matching.Query(team, 'copy-7b', prompt_tokens=tokens)
    return matching.explain(rules, query)


@behave.then(
    'team "{team}" with {tokens:d} prompt tokens gets rule "{name}"'
    ' because "{first}" fails on {reason} and "{second}" on {other}'
)
def check_explanation(context, team, tokens, name, first, reason, **rest):
    found = _explain(context, team, tokens)
    assert found.rule.name == name
    failed = [(miss.rule, miss.condition) for miss in found.misses]
    assert failed == [(first, reason), (rest['second'], rest['other'])]


@behave.then('team "{team}" with {tokens:d} prompt tokens gets rule "{name}"')
def check_rule(context, team, tokens, name):
    assert _explain(context, team, tokens).rule.name == name


@behave.then('the canonical form of the rules document comes back unchanged')
def check_canonical_form(context):
    source = _load(context).unwrap().configuration
    body = documents.encode_configuration(source)
    again = documents.decode_configuration(body).unwrap()
    assert again.rules == source.rules
    assert documents.encode_configuration(again) == body
    unknown = body.replace(b'"service"', b'"servize"')
    assert documents.decode_configuration(unknown).is_err()


def _list_problems(context, ranges=_RANGES):
    engine = fleet.EndpointKind.ENGINE
    endpoints = [
        fleet.Endpoint(engine, 'copy-7b', '1', start, end, 24, accelerator)
        for start, end, accelerator in ranges
    ]
    read = _load(context)
    if read.is_err():
        return '\n'.join(map(str, read.unwrap_err()))
    return '\n'.join(map(str, checker.check(read.unwrap(), endpoints)))


@behave.then('the rules document has the problem "{problem}"')
def check_problem(context, problem):
    found = _list_problems(context)
    assert problem in found, found


@behave.then('without the middle range the problem is "{problem}"')
def check_gap(context, problem):
    assert problem not in _list_problems(context)
    found = _list_problems(context, _RANGES[:1] + _RANGES[2:])
    assert problem in found, found


@behave.then('it is refused without showing "{value}"')
def check_no_secret(context, value):
    problems = [str(problem) for problem in _load(context).unwrap_err()]
    assert problems and not any(value in text for text in problems)
