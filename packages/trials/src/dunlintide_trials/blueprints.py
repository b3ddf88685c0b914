"""Deployment files: which processes a trial deployment has."""

import pathlib

import attrs

from dunlintide_core import jsonc
from dunlintide_core import schemas
from dunlintide_core import settings

__all__ = [
    'CRASH_MARKER',
    'Blueprint',
    'BlueprintError',
    'Pipeline',
    'PlainService',
    'Stage',
    'load_blueprint',
    'make_crash_word',
    'shrink',
]

# A prompt that holds this crashes the stand-in engine that runs it.
CRASH_MARKER = 'crash-this-engine'
SMALL_REPLICAS = 2
SMALL_SERVICES = 2


class BlueprintError(ValueError):
    """A deployment file has errors; the text lists them with places."""


@attrs.frozen
class Stage:
    """Endpoints that hold one range of layers.

    :ivar replicas: number of engines, spread over the failure domains
    :ivar tokens_per_second: declared capacity of one
    :ivar step_seconds: fixed time of one step of the engine
    :ivar token_seconds: time that a token adds to a step
    :ivar step_tokens: bound on the tokens of a step
    :ivar max_in_flight: bound on its concurrent requests, 0 for none
    :ivar kv_tokens: positions that its KV cache holds
    :ivar preempts: whether it makes room by running the newest again
    :ivar checks_fence: whether it refuses orders with an old fence
    """

    layer_start: int
    layer_end: int
    replicas: int
    accelerator: str = ''
    tokens_per_second: float = 0.0
    step_seconds: float = 0.002
    token_seconds: float = 0.0001
    step_tokens: int = 8192
    max_in_flight: int = 0
    kv_tokens: int = 100_000
    preempts: bool = False
    checks_fence: bool = False


@attrs.frozen
class Pipeline:
    """One model version in stages.

    :ivar spares: engines beside them that hold nothing
    """

    model: str
    layers: int
    stages: tuple[Stage, ...]
    version: str = '1'
    spares: int = 0


@attrs.frozen
class PlainService:
    """One plain service and the number of its runners.

    :ivar path: a path under which it takes calls, for trials
    """

    name: str
    replicas: int = 1
    path: str = '/'


@attrs.frozen
class Blueprint:
    """A deployment of processes on one machine.

    :ivar rules: operators' configuration, a path beside the file
    :ivar placement: that part of the entries' settings
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    entries: int
    rules: str
    pipelines: tuple[Pipeline, ...]
    services: tuple[PlainService, ...]
    placement: settings.Placement = settings.Placement()


def make_crash_word(layer_start: int) -> str:
    """Give the first word of a prompt that crashes one later stage."""
    return f'crash-layer-{layer_start}'


def load_blueprint(path: pathlib.Path) -> Blueprint:
    """Read a deployment file.

    :raises BlueprintError: when it doesn't fit the format
    """
    parsed = jsonc.parse(path.read_text(), str(path))
    read = parsed.and_then(
        lambda document: schemas.structure(
            document, Blueprint, schemas.make_converter()
        )
    )
    if read.is_err():
        raise BlueprintError('\n'.join(map(str, read.unwrap_err())))
    return read.unwrap()


def shrink(blueprint: Blueprint) -> Blueprint:
    """Keep one model with two replicas a stage, and two services."""
    pipeline = blueprint.pipelines[0]
    stages = tuple(
        attrs.evolve(stage, replicas=min(stage.replicas, SMALL_REPLICAS))
        for stage in pipeline.stages
    )
    services = blueprint.services[:SMALL_SERVICES]
    return attrs.evolve(
        blueprint,
        pipelines=(attrs.evolve(pipeline, stages=stages),),
        services=tuple(attrs.evolve(one, replicas=1) for one in services),
    )
