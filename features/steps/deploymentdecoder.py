"""Steps for decoding configurations in steps, one after another."""

import asyncio
import json
from unittest import mock

import behave
from dunlintide_core import matching
from dunlintide_core import steps
from dunlintide_daemon.gateway import configurationloader
from dunlintide_platform import configurations
from dunlintide_standins.fleet import operators
import edge_settings
import hypothesis
from hypothesis import strategies

EXAMPLES = 60
PREFIXES = ('/a/', '/a/b/', '/[x]/', '/b/')
HOSTS = ('One.example', 'two.example')


def _encode(count, version=7):
    made = operators.make_configuration(version)
    return json.dumps(operators.add_routes(made, count)).encode()


def _make_route(number, prefix, host, timeout):
    return {
        'name': f'r{number}',
        'hostname': host,
        'prefix': prefix,
        'route_type': 'idempotent',
        'timeout_ms': timeout,
        'service': 'web',
    }


ROUTES = strategies.lists(
    strategies.builds(
        _make_route,
        strategies.integers(0, 5),
        strategies.sampled_from(PREFIXES),
        strategies.sampled_from(HOSTS),
        strategies.sampled_from((100, 200)),
    ),
    max_size=8,
    unique_by=lambda each: each['name'],
)
QUERIES = [
    matching.Query('t', path=f'{prefix}x', host=host.lower())
    for prefix in PREFIXES
    for host in HOSTS
]


def _check_series(series):
    decoder = configurations.DeploymentDecoder()
    for version, routes in enumerate(series):
        document = {'version': version, 'route_list': routes}
        value = json.dumps(document).encode()
        found = steps.finish(decoder.decode(value)).unwrap()
        fresh = configurations.decode_deployment(value).unwrap()
        assert found.source == fresh.source
        for query in QUERIES:
            rule = matching.match_by_scan(fresh.source.rules, query)
            assert found.find_rule(query) == rule, (query, rule)


@behave.when('one decoder decodes any series of versions')
def decode_series(context):
    settings = hypothesis.settings(
        max_examples=EXAMPLES, derandomize=True, database=None, deadline=None
    )
    given = hypothesis.given(strategies.lists(ROUTES, max_size=5))
    context.check_series = settings(given(_check_series))


@behave.then('each version is the same as from a fresh decoder')
def check_series(context):
    context.check_series()


@behave.given('a decoder that has decoded {count:d} routes')
def prepare_decoder(context, count):
    context.count = count
    context.decoder = configurations.DeploymentDecoder()
    steps.finish(context.decoder.decode(_encode(count)))


@behave.when('a version with {more:d} routes more is decoded')
def decode_more(context, more):
    value = _encode(context.count + more, 8)
    context.built = []
    context.compiled = []
    with (
        mock.patch.object(
            configurations,
            '_build_rule',
            side_effect=configurations._build_rule,
        ) as build,
        mock.patch.object(
            matching,
            '_list_conditions',
            side_effect=matching._list_conditions,
        ) as compile_rule,
    ):
        made = context.decoder.decode(value)
        while True:
            built = build.call_count
            compiled = compile_rule.call_count
            try:
                next(made)
            except StopIteration as ended:
                context.deployment = ended.value.unwrap()
                break
            finally:
                context.built.append(build.call_count - built)
                context.compiled.append(compile_rule.call_count - compiled)


@behave.then('{built:d} rules are built and {compiled:d} are compiled')
def check_built(context, built, compiled):
    assert sum(context.built) == built, context.built
    assert sum(context.compiled) == compiled, context.compiled


@behave.then('no step builds more than {most:d} rules')
def check_steps(context, most):
    rules = len(context.deployment.source.rules)
    # Each rule is built in one step and indexed in another.
    assert len(context.built) >= 2 * (rules // most), len(context.built)


@behave.given('a task that counts turns of the event loop')
def prepare_task(context):
    context.turns = 0


@behave.when('a configuration of {count:d} new routes is loaded')
def load(context, count):
    context.state = edge_settings.make_state()
    loader = configurationloader.ConfigurationLoader(context.state)

    async def count_turns():
        while True:
            context.turns += 1
            await asyncio.sleep(0)

    async def run():
        counting = asyncio.ensure_future(count_turns())
        context.loaded = await loader.load(_encode(count), 'store')
        counting.cancel()

    asyncio.run(run())


@behave.then('the task had {turns:d} turns at least meanwhile')
def check_turns(context, turns):
    assert context.turns >= turns, context.turns


@behave.then('the configuration is in force')
def check_loaded(context):
    assert context.loaded.unwrap() is True
    assert context.state.version == 7
