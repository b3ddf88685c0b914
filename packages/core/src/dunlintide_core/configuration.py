"""Configuration that operators edit: teams, models, services and rules."""

import enum

import attrs

from dunlintide_core import schemas

__all__ = [
    'CATCH_ALL',
    'Action',
    'Configuration',
    'Model',
    'Rule',
    'Service',
    'Share',
    'Team',
    'Then',
    'When',
    'name_condition',
]

DEFAULT_WEIGHT = 1.0
DEFAULT_PRIORITY = 1
DEFAULT_DEADLINE_SECONDS = 60.0
DEFAULT_RETENTION_SECONDS = 3600.0


class Action(enum.StrEnum):
    """Action that a rule applies to matching requests."""

    ROUTE = 'route'
    REFUSE = 'refuse'


@attrs.frozen
class Team:
    """A team (a customer), which sends requests.

    :ivar name: unique name
    :ivar key_hashes: SHA-256 of each of its bearer keys, lower-case hex
    :ivar priority: 0 (highest) and up; takes precedence over a rule's
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    priority: int | None = None


@attrs.frozen
class Model:
    """A model version that callers can ask for by name.

    :ivar name: name in requests and rules
    :ivar version: version that is served
    :ivar layers: number of layers, numbered from 0
    :ivar adapters: adapters that endpoints may load on the model
    :ivar replicas: target number of endpoints per layer range, limited by
        the spare engines available
    """

    name: str
    layers: int
    version: str = '1'
    adapters: tuple[str, ...] = ()
    replicas: int = 1


@attrs.frozen
class Service:
    """A plain HTTP service behind ``/services/NAME/``.

    :ivar repeatable: whether requests may be retried by default
    """

    name: str
    repeatable: bool = True


@attrs.frozen
class Share:
    """A service and its weight in a traffic split.

    :ivar weight: share of the requests, relative to the other weights
    """

    service: str
    weight: float = DEFAULT_WEIGHT


@attrs.frozen
class When:
    """Conditions of a rule; an omitted condition matches every request.

    Several values in one field are alternatives; all fields must match.
    :ivar host: requested host name, without a port
    :ivar path: glob that the request's path must match
    :ivar prompt_tokens_min: least estimated prompt size, in tokens
    :ivar prompt_tokens_max: largest estimated prompt size, in tokens
    :ivar failure_domain: failure domain of the entry that received the
        request
    """

    team: tuple[str, ...] = attrs.field(
        default=(), metadata=schemas.rename('member')
    )
    model: tuple[str, ...] = ()
    service: tuple[str, ...] = ()
    method: tuple[str, ...] = ()
    path: str | None = None
    priority: tuple[int, ...] = ()
    failure_domain: tuple[str, ...] = ()
    adapter: tuple[str, ...] = ()
    prompt_tokens_min: int | None = None
    prompt_tokens_max: int | None = None
    host: tuple[str, ...] = ()


CATCH_ALL = When()


def name_condition(field: str) -> str:
    """Return the name of a condition in configuration documents.

    :param field: name of the field of :class:`When`
    """
    return schemas.get_document_name(getattr(attrs.fields(When), field))


@attrs.frozen
class Then:
    """Action and parameters that a rule applies to a matched request.

    :ivar model: model to use instead of the requested one
    :ivar version: model version to use
    :ivar accelerators: accelerator kinds allowed to serve the request,
        empty for any
    :ivar weight: weight of the team in fair queueing, above 0
    :ivar rate: rate limit of the team over all entries, in requests per
        second; None for no limit
    :ivar concurrency: limit on the team's requests in flight over all
        entries; None for no limit
    :ivar deadline_seconds: time from arrival to the complete response
    :ivar priority: 0 (highest) to 3 (lowest)
    :ivar repeatable: whether the router may retry the request
    :ivar retention_seconds: how long an idempotency key is remembered
    :ivar reason: explanation that a refused caller gets
    :ivar services: services among which the requests are split, empty for
        the requested one
    :ivar public: whether requests need no key
    :ivar stream: whether responses are event streams
    :ivar resumable: whether another endpoint may resume a broken stream
    :ivar attempts: maximum number of endpoints that one request is sent to
    :ivar target_seconds: target latency to the response, or to the first
        event of a stream
    :ivar gap_seconds: target for the longest pause between two events of a
        stream
    """

    action: Action = Action.ROUTE
    model: str | None = None
    version: str | None = None
    adapter: str | None = None
    accelerators: tuple[str, ...] = ()
    weight: float = DEFAULT_WEIGHT
    rate: float | None = None
    concurrency: int | None = None
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    priority: int = DEFAULT_PRIORITY
    repeatable: bool | None = None
    retention_seconds: float = DEFAULT_RETENTION_SECONDS
    reason: str = ''
    services: tuple[Share, ...] = ()
    public: bool = False
    stream: bool = False
    resumable: bool = False
    attempts: int = 1
    target_seconds: float | None = None
    gap_seconds: float | None = None


@attrs.frozen
class Rule:
    """A routing rule; the first rule that matches a request applies."""

    name: str
    when: When
    then: Then


@attrs.frozen
class Configuration:
    """Configuration that operators edit as one document."""

    teams: tuple[Team, ...] = attrs.field(
        default=(), metadata=schemas.rename('members')
    )
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
