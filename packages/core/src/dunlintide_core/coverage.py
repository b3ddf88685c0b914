"""Checks of a configuration against the endpoints of the deployment."""

import collections
from typing import Iterable, Iterator, Sequence

from dunlintide_core import configuration
from dunlintide_core import fleet
from dunlintide_core import jsonc

__all__ = ['find_reach', 'list_faults']

_MAX_LISTED = 8

Fault = tuple[jsonc.Path, str]
Engines = dict[tuple[str, str], list[fleet.Endpoint]]


def find_reach(ranges: Iterable[tuple[int, int]]) -> int:
    """Return the last layer that a chain of ranges from layer 0 reaches.

    Each range of a chain starts where the previous one ends.

    :param ranges: half-open layer ranges
    """
    starts = collections.defaultdict(set)
    for start, end in ranges:
        starts[start].add(end)
    seen, waiting = {0}, [0]
    while waiting:
        new = starts[waiting.pop()] - seen
        seen |= new
        waiting.extend(new)
    return max(seen)


def _list_ranges(endpoints: Iterable[fleet.Endpoint]) -> list[tuple[int, int]]:
    return sorted({(e.layer_start, e.layer_end) for e in endpoints})


def _describe_ranges(ranges: Sequence[tuple[int, int]]) -> str:
    listed = [f'{start} to {end}' for start, end in ranges[:_MAX_LISTED]]
    if len(ranges) > _MAX_LISTED:
        listed.append('...')
    return ', '.join(listed)


def _check_model(
    model: configuration.Model, engines: Sequence[fleet.Endpoint]
) -> Iterator[str]:
    if not engines:
        yield f'no endpoint holds version "{model.version}" of this model'
        return
    fitting = [e for e in engines if e.layer_count == model.layers]
    others = sorted({e.layer_count for e in engines} - {model.layers})
    if others:
        yield (
            f'configured with {model.layers} layers, but endpoints report'
            f' {", ".join(map(str, others))}'
        )
    ranges = _list_ranges(fitting)
    reach = find_reach(ranges)
    if fitting and reach != model.layers:
        yield (
            f'the endpoints cannot tile layers 0 to {model.layers}: chains'
            f' end at layer {reach}; available layer ranges:'
            f' {_describe_ranges(ranges)}'
        )


def _group_engines(endpoints: Iterable[fleet.Endpoint]) -> Engines:
    engines = collections.defaultdict(list)
    for endpoint in endpoints:
        if endpoint.kind is fleet.EndpointKind.ENGINE:
            if endpoint.is_spare:
                continue
            engines[endpoint.model, endpoint.version].append(endpoint)
    return engines


def _list_targets(
    rule: configuration.Rule, models: Sequence[configuration.Model]
) -> list[configuration.Model]:
    names = (rule.then.model,) if rule.then.model else rule.when.model
    return [
        model
        for model in models
        if (not names or model.name in names)
        and rule.then.version in (None, model.version)
    ]


def _check_accelerators(
    rule: configuration.Rule,
    models: Sequence[configuration.Model],
    engines: Engines,
) -> Iterator[str]:
    allowed = rule.then.accelerators
    for model in _list_targets(rule, models):
        fitting = [
            endpoint
            for endpoint in engines.get((model.name, model.version), ())
            if endpoint.accelerator in allowed
            and endpoint.layer_count == model.layers
        ]
        reach = find_reach(_list_ranges(fitting))
        if reach != model.layers:
            yield (
                f'endpoints with {", ".join(allowed)} cannot tile model'
                f' "{model.name}": chains end at layer {reach} of'
                f' {model.layers}'
            )


def list_faults(
    source: configuration.Configuration, endpoints: Sequence[fleet.Endpoint]
) -> Iterator[Fault]:
    """List models, services and rules that the endpoints cannot serve.

    :param endpoints: all endpoints of the deployment
    :returns: path and description of each fault
    """
    engines = _group_engines(endpoints)
    for index, model in enumerate(source.models):
        holders = engines.get((model.name, model.version), [])
        for text in _check_model(model, holders):
            yield ('models', index), text
    served = {endpoint.service for endpoint in endpoints}
    for index, service in enumerate(source.services):
        if service.name not in served:
            yield ('services', index), 'no endpoint serves this service'
    for index, rule in enumerate(source.rules):
        if rule.then.accelerators:
            path = ('rules', index, 'then', 'accelerators')
            for text in _check_accelerators(rule, source.models, engines):
                yield path, text
