"""Configurations of an operator: routes, services and API keys."""

import random
from typing import Any, Iterable

__all__ = [
    'ACCELERATOR_MB',
    'HOST',
    'KEY',
    'LAYERS',
    'LAYER_MB',
    'add_priorities',
    'add_routes',
    'add_service',
    'add_teams',
    'add_version_routes',
    'make_invalid_configuration',
    'make_configuration',
    'remove_routes',
    'set_limits',
    'set_route_service',
    'set_route_times',
    'shuffle_routes',
]

KEY = 'key-of-the-diner'
OTHER_KEY = 'key-of-the-church'
HOST = 'screens.example'
LAYERS = 12
LAYER_MB = 1000.0
ACCELERATOR_MB = {'large': 9000.0, 'small': 5000.0}

Configuration = dict[str, Any]


def _make_route(
    name: str, prefix: str, kind: str, service: str, **fields: Any
) -> Configuration:
    route = {
        'name': name,
        'hostname': HOST,
        'prefix': prefix,
        'route_type': kind,
        'timeout_ms': 8000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
    }
    route.update(fields)
    return route


def make_configuration(version: int = 7) -> Configuration:
    """Build a configuration with a model, a service and two teams."""
    engine = {
        'slots': 16,
        'kv_capacity': 50000,
        'kv_token_bytes': 120000,
        'link_mbps': 400000.0,
        'stride': 4,
        'models': [{'name': 'm0', 'pace': 1.0, 'load_s': 1.0}],
        'step_ms': 1.0,
        'per_seq_ms': 0.01,
        'context_per_k': 0.01,
        'read_per_s': 164000.0,
        'loads_at_once': 6,
        'delays': [{'from': 'a', 'to': 'b', 'delay_ms': 0.3}],
        'usual': {'prompt': 100, 'answer': 40},
        'layers': LAYERS,
        'layer_mb': LAYER_MB,
        'act_bytes': 1000,
        'pipe_mbps': 16000.0,
        'kinds': [
            {'name': name, 'size_mb': size, 'pace': 2.0, 'read_factor': 3.0}
            for name, size in ACCELERATOR_MB.items()
        ],
    }
    return {
        'version': version,
        'route_list': [
            _make_route(
                'copy',
                '/copy/',
                'streaming',
                'llm',
                sticky=True,
                resumable=True,
                gap_target_ms=250,
            ),
            _make_route('orders', '/orders/', 'non_idempotent', 'web'),
            _make_route('lists', '/lists/', 'idempotent', 'web'),
            _make_route(
                'public', '/lists/public/', 'idempotent', 'web', public=True
            ),
        ],
        'services': [
            {'name': 'llm', 'health_path': '/h', 'engine': engine},
            {'name': 'web', 'health_path': '/h', 'max_conns': 50},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100000,
            'header_timeout_ms': 1000,
            'idle_timeout_ms': 5000,
        },
        'tenants': [
            {'name': 'diner', 'api_keys': [KEY], 'priority': 1},
            {'name': 'church', 'api_keys': [OTHER_KEY], 'priority': 1},
        ],
    }


def add_routes(configuration: Configuration, count: int) -> Configuration:
    """Add routes to the plain service; each takes about 0.2 kB in JSON."""
    configuration['route_list'] += [
        _make_route(
            f'more-{number:05}',
            f'/more{number:05}/{number % 7}/',
            'idempotent',
            'web',
        )
        for number in range(count)
    ]
    return configuration


def add_service(configuration: Configuration, name: str) -> Configuration:
    """Add a plain service, with a route for the prefix of its name."""
    configuration['services'].append({'name': name, 'health_path': '/h'})
    configuration['route_list'].append(
        _make_route(name, f'/{name}/', 'idempotent', name)
    )
    return configuration


def add_version_routes(
    configuration: Configuration, versions: Iterable[int]
) -> Configuration:
    """Add a route for each version, by which callers can tell it is known."""
    configuration['route_list'] += [
        _make_route(
            f'version-{version}', f'/version-{version}/', 'idempotent', 'web'
        )
        for version in versions
    ]
    return configuration


def add_priorities(
    configuration: Configuration, priorities: Iterable[int], **more: float
) -> Configuration:
    """Add a route for streams of each priority, whose path begins with /pN/.

    :param more: further fields of these routes
    """
    routes = configuration['route_list']
    model = next(each for each in routes if each['name'] == 'copy')
    routes += [
        {
            **model,
            'name': f'priority-{priority}',
            'prefix': f'/p{priority}/',
            'priority': priority,
            **more,
        }
        for priority in priorities
    ]
    return configuration


def add_teams(
    configuration: Configuration, names: Iterable[str]
) -> Configuration:
    """Add teams without a priority; the key of each is its name."""
    configuration['tenants'] += [
        {'name': name, 'api_keys': [name]} for name in names
    ]
    return configuration


def make_invalid_configuration(version: int) -> Configuration:
    """Build a configuration whose route lacks its required fields."""
    return {'version': version, 'route_list': [{'name': 'x'}]}


def set_route_service(
    configuration: Configuration, prefix: str, service: str
) -> Configuration:
    """Set the service of the routes with a prefix."""
    for route in configuration['route_list']:
        if route['prefix'] == prefix:
            route['service'] = service
    return configuration


def set_route_times(
    configuration: Configuration, target: float, timeout: float | None = None
) -> Configuration:
    """Set target latency and timeout of all routes, in seconds.

    :param timeout: None to leave the timeouts as they are
    """
    for route in configuration['route_list']:
        route['target_latency_ms'] = int(target * 1000)
        if timeout is not None:
            route['timeout_ms'] = int(timeout * 1000)
    return configuration


def set_limits(configuration: Configuration, **limits: int) -> Configuration:
    """Set limits on the requests of callers."""
    configuration['limits'].update(limits)
    return configuration


def remove_routes(configuration: Configuration, prefix: str) -> Configuration:
    """Remove the routes whose prefix starts with another one."""
    configuration['route_list'] = [
        route
        for route in configuration['route_list']
        if not route['prefix'].startswith(prefix)
    ]
    return configuration


def shuffle_routes(
    configuration: Configuration, rng: random.Random
) -> Configuration:
    """Shuffle the routes; their order has no effect on routing."""
    rng.shuffle(configuration['route_list'])
    return configuration
