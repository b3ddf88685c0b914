"""Where and on what terms a request runs, and how that is built."""

import time
from typing import Callable, Collection

import attrs
import result
import uuid_utils

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import configuration
from dunlintide_core import matching
from dunlintide_core import outcomes
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import claims
from dunlintide_daemon.entry import completions
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import jobs
from dunlintide_daemon.entry import requests

__all__ = [
    'Caller',
    'CompletionRoute',
    'ServiceRoute',
    'bind_job',
    'build_call_query',
    'build_completion_query',
    'build_terms',
    'ensure_key',
    'is_executor',
    'refuse',
    'refuse_executor_gone',
    'refuse_no_capacity',
]


@attrs.frozen
class Caller:
    """Who asks, and what a request's headers say.

    :ivar key: idempotency key, empty for none
    :ivar arrived: monotonic time in seconds
    :ivar is_connected: tells whether the caller still waits
    :ivar send_now: sends a piece of a stream, once it has begun, without
        waiting; False when it could not
    """

    request_id: str
    team: str
    key: str = ''
    priority: int | None = None
    arrived: float = attrs.field(factory=time.monotonic)
    is_connected: Callable[[], bool] = lambda: True
    send_now: Callable[[bytes], bool] = lambda data: False


@attrs.frozen
class CompletionRoute:
    """Where and on what terms a completion runs."""

    job: jobs.Job
    plan: completions.Plan
    bound_claim: claims.BoundClaim | None = None


@attrs.frozen
class ServiceRoute:
    """Where and on what terms a service call runs."""

    job: jobs.Job
    choose: Callable[[Collection[chains.AgentInstance]], fleet.Agent | None]
    bound_claim: claims.BoundClaim | None = None


def refuse(
    code: outcomes.FailCode, detail: str, retry_after: float | None = None
) -> result.Err[outcomes.Refusal]:
    """Refuse a request of which nothing ran.

    :param detail: one sentence for the caller
    :param retry_after: seconds after which a repeat makes sense
    """
    return result.Err(outcomes.refuse(code, detail, retry_after=retry_after))


def refuse_no_capacity(detail: str) -> result.Err[outcomes.Refusal]:
    """Refuse a request that no agent can run now."""
    code = outcomes.FailCode.NO_CAPACITY
    return refuse(code, detail, jobs.RETRY_AFTER_SECONDS)


def refuse_executor_gone() -> result.Err[outcomes.Refusal]:
    """Refuse a repeat whose executor is gone; it may have run there."""
    code = outcomes.FailCode.EXECUTOR_GONE
    detail = 'the endpoint that the key is bound to is gone'
    return result.Err(outcomes.refuse(code, detail, ran=True))


def build_terms(
    caller: Caller,
    rule: configuration.Rule,
    revision: int,
    fingerprint: bytes,
    salt: str,
) -> link_pb2.Terms:
    """Build what is fixed for the life of a request.

    :param revision: of the configuration that decided
    :param fingerprint: of the request, to tell another under its key
    :param salt: of the team's prefix caches
    """
    then = rule.then
    return link_pb2.Terms(
        request_id=caller.request_id,
        team=caller.team,
        weight=then.weight,
        priority=_choose_priority(caller, then),
        idempotency_key=caller.key,
        cache_salt=salt,
        revision=revision,
        rule=rule.name,
        team_concurrency=then.concurrency or 0,
        fingerprint=fingerprint,
    )


def build_completion_query(
    caller: Caller,
    completion: requests.Completion,
    path: str,
    failure_domain: str,
) -> matching.Query:
    """Describe a completion to the rules.

    :param failure_domain: where this entry is
    """
    return matching.Query(
        team=caller.team,
        model=completion.model,
        method='POST',
        path=path,
        priority=caller.priority,
        failure_domain=failure_domain,
        adapter=completion.adapter,
        prompt_tokens=requests.estimate_tokens(completion.prompt),
    )


def build_call_query(
    caller: Caller, call: requests.ServiceCall, failure_domain: str
) -> matching.Query:
    """Describe a service call to the rules.

    :param failure_domain: where this entry is
    """
    return matching.Query(
        team=caller.team,
        service=call.service,
        method=call.method,
        path=call.path.partition('?')[0],
        priority=caller.priority,
        failure_domain=failure_domain,
    )


def _choose_priority(caller: Caller, then: configuration.Then) -> int:
    # A caller may step back behind what its rule grants, never ahead.
    return max(then.priority, caller.priority or 0)


def ensure_key(caller: Caller, at_most_once: bool) -> Caller:
    """Give a request that must not run twice a key of its own.

    It was sent without one, so no repeat can be told from a new request;
    the key only keeps the router itself from running it again.
    """
    if not at_most_once or caller.key:
        return caller
    return attrs.evolve(caller, key=f'server-{uuid_utils.uuid7()}')


def bind_job(job: jobs.Job, bound_claim: claims.BoundClaim) -> jobs.Job:
    """Return a job that is bound to the executor of its claim."""
    return attrs.evolve(
        job, claim=bound_claim.build_claim(), repeated=bound_claim.repeated
    )


def is_executor(bound_claim: claims.BoundClaim, agent: fleet.Agent) -> bool:
    """Tell whether an agent is the executor of a claim, in its life."""
    binding = bound_claim.binding
    return chains.get_instance(agent) == (
        binding.executor,
        binding.incarnation,
    )
