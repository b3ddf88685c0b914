"""Routes of requests, and the terms and rule queries they are built of."""

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
    """The caller of a request, and values of the request's headers.

    :ivar key: idempotency key, empty for none
    :ivar arrived: monotonic time in seconds
    :ivar is_connected: returns whether the caller is still connected
    :ivar send_now: sends a chunk of a started stream without blocking;
        returns False, with nothing sent, when it could not
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
    """Terms of a completion and selection of its chain.

    :ivar bound_claim: claim of a non-idempotent request, else None
    """

    job: jobs.Job
    plan: completions.Plan
    bound_claim: claims.BoundClaim | None = None


@attrs.frozen
class ServiceRoute:
    """Terms of a service call and selection of its agent.

    :ivar choose: returns an agent other than the given ones, or None
    :ivar bound_claim: claim of a non-idempotent request, else None
    """

    job: jobs.Job
    choose: Callable[[Collection[chains.AgentInstance]], fleet.Agent | None]
    bound_claim: claims.BoundClaim | None = None


def refuse(
    code: outcomes.FailCode, detail: str, retry_after: float | None = None
) -> result.Err[outcomes.Refusal]:
    """Build the refusal of a request of which nothing ran.

    :param detail: one sentence for the caller
    :param retry_after: seconds after which a repeat makes sense
    """
    return result.Err(outcomes.refuse(code, detail, retry_after=retry_after))


def refuse_no_capacity(detail: str) -> result.Err[outcomes.Refusal]:
    """Build the refusal of a request that no agent can run now."""
    code = outcomes.FailCode.NO_CAPACITY
    return refuse(code, detail, jobs.RETRY_AFTER_SECONDS)


def refuse_executor_gone() -> result.Err[outcomes.Refusal]:
    """Build the refusal of a request whose executor is gone.

    The request may have run there.
    """
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
    """Build the terms of a request, which all its attempts share.

    :param revision: configuration revision that the rule is from
    :param fingerprint: digest of the content, which detects a key that is
        reused for another request
    :param salt: salt of the team's prefix hashes
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
    """Build the query that finds the rule of a completion.

    :param failure_domain: failure domain of this entry
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
    """Build the query that finds the rule of a service call.

    :param failure_domain: failure domain of this entry
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
    # A larger number is a lower priority. A caller may lower the priority
    # that its rule grants, never raise it.
    return max(then.priority, caller.priority or 0)


def ensure_key(caller: Caller, at_most_once: bool) -> Caller:
    """Generate a key for a request that must not run twice and has none.

    Without a key from the caller, a repeat by the caller looks like a new
    request. The generated key only keeps the router itself from running
    the request a second time.
    """
    if not at_most_once or caller.key:
        return caller
    return attrs.evolve(caller, key=f'server-{uuid_utils.uuid7()}')


def bind_job(job: jobs.Job, bound_claim: claims.BoundClaim) -> jobs.Job:
    """Return a copy of a job that carries its claim."""
    return attrs.evolve(
        job, claim=bound_claim.build_claim(), repeated=bound_claim.repeated
    )


def is_executor(bound_claim: claims.BoundClaim, agent: fleet.Agent) -> bool:
    """Tell whether an agent is the incarnation that a claim names."""
    binding = bound_claim.binding
    return chains.get_instance(agent) == (
        binding.executor,
        binding.incarnation,
    )
