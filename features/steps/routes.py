"""Steps for decoding a new version of a large configuration."""

import json

import behave
from dunlintide_core import steps
from dunlintide_platform import configurations


def make_route(index, service='web'):
    return {
        'name': f'r-{index}',
        'hostname': 'signs.example',
        'prefix': f'/p{index}/',
        'route_type': 'idempotent',
        'timeout_ms': 1500,
        'traffic_split': [{'service': service, 'weight': 1.0}],
    }


def decode(decoder, version, routes):
    services = [{'name': name} for name in ('web', 'other')]
    value = {'version': version, 'services': services, 'route_list': routes}
    decoded = steps.finish(decoder.decode(json.dumps(value).encode()))
    return {rule.name: rule for rule in decoded.unwrap().source.rules}


@behave.given('a configuration of {count:d} routes')
def make_configuration(context, count):
    context.routes = [make_route(index) for index in range(count)]
    context.decoder = configurations.DeploymentDecoder()
    context.before = decode(context.decoder, 1, context.routes)


@behave.when('a version comes that changes one of them and adds one')
def change(context):
    context.routes[7] = make_route(7, 'other')
    context.routes.append(make_route(len(context.routes)))
    context.after = decode(context.decoder, 2, context.routes)


@behave.then(
    'the others are the same rules as before, and these two are right'
)
def check_rules(context):
    added = f'r-{len(context.routes) - 1}'
    assert set(context.after) == {*context.before, added}
    for name, rule in context.after.items():
        assert (rule is context.before.get(name)) == (
            name not in ('r-7', added)
        ), name
    assert context.after['r-7'].then.services[0].service == 'other'
    assert context.after[added].when.path == f'/p{len(context.routes) - 1}/*'
