"""Deployment files, which define the processes of a trial deployment."""

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

# A prompt that contains this text crashes the stand-in engine that runs it.
CRASH_MARKER = 'crash-this-engine'
SMALL_REPLICAS = 2
SMALL_SERVICES = 2


class BlueprintError(ValueError):
    """A deployment file is invalid; the text lists errors and positions."""


@attrs.frozen
class Stage:
    """Endpoints that serve one range of layers.

    :ivar replicas: number of engines, spread over the failure domains
    :ivar tokens_per_second: declared capacity of each engine
    :ivar step_seconds: fixed time of an engine step, in seconds
    :ivar token_seconds: seconds that each token adds to a step
    :ivar step_tokens: maximum tokens in a step
    :ivar max_in_flight: maximum concurrent requests of an engine, 0 for
        no limit
    :ivar kv_tokens: capacity of an engine's KV cache in token positions
    :ivar preempts: whether a full KV cache preempts the newest request
        and recomputes it later
    :ivar checks_fence: whether an engine rejects orders with a stale
        fencing token
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
    """One model version, split into stages.

    :ivar spares: number of additional engines without layers
    """

    model: str
    layers: int
    stages: tuple[Stage, ...]
    version: str = '1'
    spares: int = 0


@attrs.frozen
class PlainService:
    """One plain service and the number of its replicas.

    :ivar path: path that trials call
    """

    name: str
    replicas: int = 1
    path: str = '/'


@attrs.frozen
class Blueprint:
    """A deployment of processes on one machine.

    :ivar rules: path of the operators' configuration, relative to the
        deployment file
    :ivar placement: the ``placement`` part of the entries' settings
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
    """Build the first word of a prompt that crashes one stage.

    :param layer_start: first layer of the stage that crashes
    """
    return f'crash-layer-{layer_start}'


def load_blueprint(path: pathlib.Path) -> Blueprint:
    """Read a deployment file.

    :raises BlueprintError: when the file doesn't match the schema
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
    """Reduce a blueprint to the size of a small trial.

    It keeps the first model with at most two replicas of each stage, and
    the first two services with one replica each.
    """
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
