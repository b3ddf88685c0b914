"""The operators' configuration: teams, models, services and rules."""

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
    """What a rule does with the requests that it matches."""

    ROUTE = 'route'
    REFUSE = 'refuse'


@attrs.frozen
class Team:
    """A team of the consortium, which sends requests.

    :ivar name: unique name
    :ivar key_hashes: SHA-256 of each of its bearer keys, lower-case hex
    :ivar priority: 0 (first) and up; goes before that of a rule
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
    :ivar adapters: adapters that endpoints may load on it
    :ivar replicas: endpoints wanted for each layer range, as far as
        spare ones allow
    """

    name: str
    layers: int
    version: str = '1'
    adapters: tuple[str, ...] = ()
    replicas: int = 1


@attrs.frozen
class Service:
    """A plain HTTP service behind ``/services/NAME/``.

    :ivar repeatable: whether its calls may be sent again by default
    """

    name: str
    repeatable: bool = True


@attrs.frozen
class Share:
    """A service and its part of the requests of a rule.

    :ivar weight: part of the requests, against the other weights
    """

    service: str
    weight: float = DEFAULT_WEIGHT


@attrs.frozen
class When:
    """Conditions of a rule; one that is left out matches anything.

    Several values in one field are alternatives; all fields must match.
    :ivar host: host name that was asked, without a port
    :ivar path: glob over the request's path
    :ivar prompt_tokens_min: least estimated prompt size, in tokens
    :ivar prompt_tokens_max: largest estimated prompt size, in tokens
    :ivar failure_domain: failure domain of the entry that was asked
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
    """Tell how documents call a condition.

    :param field: name of the field of :class:`When`
    """
    return schemas.get_document_name(getattr(attrs.fields(When), field))


@attrs.frozen
class Then:
    """Terms on which a matched request is served.

    :ivar model: model to use instead of the one asked for
    :ivar version: model version to use
    :ivar accelerators: accelerator kinds that may serve, empty for any
    :ivar weight: share of the team in fair queueing, above 0
    :ivar rate: requests a second for the team over all entries
    :ivar concurrency: requests in flight for the team, all entries
    :ivar deadline_seconds: time from arrival to the whole answer
    :ivar priority: 0 (first) to 3 (last)
    :ivar repeatable: whether the router may run the request again
    :ivar retention_seconds: how long an idempotency key is remembered
    :ivar reason: text of a refusal
    :ivar services: services that share the requests, empty for the one
        that was asked
    :ivar public: whether requests need no key
    :ivar stream: whether answers are streams of events
    :ivar resumable: whether a stream may go on at another endpoint
    :ivar attempts: most endpoints that one request is sent to
    :ivar target_seconds: time to the answer, or the first event of a
        stream, within which it has its full worth
    :ivar gap_seconds: longest pause between two events of a stream
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
    """One when-then rule; the first that matches decides."""

    name: str
    when: When
    then: Then


@attrs.frozen
class Configuration:
    """Everything that operators edit as one document."""

    teams: tuple[Team, ...] = attrs.field(
        default=(), metadata=schemas.rename('members')
    )
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
