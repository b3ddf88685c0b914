"""Routing of a parsed request: its rule, terms and candidate agents."""

import time
from typing import Callable, Collection

import attrs
import result

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import affinity
from dunlintide_core import configuration
from dunlintide_core import matching
from dunlintide_core import outcomes
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import claims
from dunlintide_daemon.entry import completions
from dunlintide_daemon.entry import configuration as holders
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import jobs
from dunlintide_daemon.entry import limits
from dunlintide_daemon.entry import planning
from dunlintide_daemon.entry import requests
from dunlintide_daemon.entry import routes

__all__ = [
    'Router',
]

# The claim of a request that never ran is released before its caller is
# answered, so the release must not take long.
_CLAIM_RELEASE_TIMEOUT_SECONDS = 1.0


class Router:
    """Routes requests by the configuration in force."""

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        planner: planning.Planner,
        holder: holders.Holder,
        binder: claims.Binder,
        limiter: limits.Limiter,
        failure_domain: str,
        is_quarantined: Callable[[bytes], bool] = lambda digest: False,
    ) -> None:
        """Initialize with the objects that decisions are based on.

        :param failure_domain: failure domain of this entry, for rules
        :param is_quarantined: returns whether requests with a fingerprint
            have crashed endpoints
        """
        self._is_quarantined = is_quarantined
        self._fleet = fleet_view
        self._planner = planner
        self._holder = holder
        self._binder = binder
        self._limiter = limiter
        self._failure_domain = failure_domain

    def _match_rule(
        self,
        snapshot: holders.Snapshot,
        caller: routes.Caller,
        request: matching.Query,
    ) -> result.Result[configuration.Rule, outcomes.Refusal]:
        """Find the rule and count the request against the rule's limits."""
        rule = snapshot.index.find(request)
        if rule is None:
            code = outcomes.FailCode.NO_RULE
            return routes.refuse(code, 'no rule matches the request')
        if rule.then.action is configuration.Action.REFUSE:
            code = outcomes.FailCode.REFUSED_BY_RULE
            return routes.refuse(
                code, rule.then.reason or 'a rule refuses the request'
            )
        refusal = self._limiter.admit(caller.request_id, caller.team, rule)
        if refusal is not None:
            return result.Err(refusal)
        return result.Ok(rule)

    def route_completion(
        self,
        snapshot: holders.Snapshot,
        caller: routes.Caller,
        completion: requests.Completion,
        path: str,
        content: bytes,
    ) -> result.Result[routes.CompletionRoute, outcomes.Refusal]:
        """Route a completion, binding a non-idempotent one to an executor.

        :param path: path of the HTTP request
        :param content: the body, for the fingerprint
        """
        request = routes.build_completion_query(
            caller, completion, path, self._failure_domain
        )
        matched = self._match_rule(snapshot, caller, request)
        if isinstance(matched, result.Err):
            return matched
        rule = matched.ok_value
        model = snapshot.models.get(rule.then.model or completion.model)
        if model is None:
            code = outcomes.FailCode.NOT_FOUND
            return routes.refuse(code, 'the model is not configured')
        return self._build_completion_route(
            snapshot, caller, completion, (path, content), rule, model
        )

    def _build_completion_route(
        self,
        snapshot: holders.Snapshot,
        caller: routes.Caller,
        completion: requests.Completion,
        parts: tuple[str, bytes],
        rule: configuration.Rule,
        model: configuration.Model,
    ) -> result.Result[routes.CompletionRoute, outcomes.Refusal]:
        then = rule.then
        version = then.version or model.version
        salt = snapshot.keys.get_salt(caller.team)
        adapter = then.adapter or completion.adapter
        blocks = affinity.hash_blocks(f'{salt}/{adapter}', completion.prompt)

        def choose(
            avoid: Collection[chains.AgentInstance],
            is_head: Callable[[fleet.Agent], bool] | None = None,
            keep: Collection[chains.AgentInstance] = (),
        ) -> chains.Chain | None:
            if is_head is None and not keep and not then.accelerators:
                found = self._planner.choose(
                    model.name, version, avoid, blocks
                )
                if found is not None:
                    return found
            return chains.choose_chain(
                self._fleet.list_engines(model.name, version),
                model.layers,
                accelerators=then.accelerators,
                avoid=avoid,
                is_head=is_head or (lambda agent: True),
                keep=keep,
            )

        def repair(
            chain: chains.Chain, avoid: Collection[chains.AgentInstance]
        ):
            keep = {chains.get_instance(agent) for agent in chain}
            return choose(avoid, keep=keep - set(avoid))

        at_most_once = bool(caller.key) or then.repeatable is False
        caller = routes.ensure_key(caller, at_most_once)
        fingerprint = requests.compute_fingerprint(caller.team, *parts)
        # A request under a key may already have run. Only its executor knows
        # that, so such a request is not refused here.
        if not at_most_once and self._is_quarantined(fingerprint):
            code = outcomes.FailCode.QUARANTINED
            return routes.refuse(code, 'the request has crashed endpoints')
        job = jobs.Job(
            terms=routes.build_terms(
                caller, rule, snapshot.revision, fingerprint, salt
            ),
            deadline=caller.arrived + then.deadline_seconds,
            repeatable=not at_most_once,
            is_connected=caller.is_connected,
        )
        plan = completions.Plan(
            model.name,
            version,
            adapter,
            link_pb2.Prefixes(
                blocks=blocks, characters=len(completion.prompt)
            ),
            choose,
            repair=repair,
        )
        if not at_most_once:
            return result.Ok(routes.CompletionRoute(job, plan))
        chain = choose(())
        if chain is None:
            return routes.refuse_no_capacity(
                'no chain of endpoints holds all layers of the model'
            )
        bound = self._bind(caller, rule, job, chain[0])
        if isinstance(bound, result.Err):
            return bound
        bound_claim = bound.ok_value

        def choose_claimed(avoid: Collection[chains.AgentInstance]):
            names = [agent.peer.name for agent in chain]
            current = self._fleet.pick_usable(names)
            if (
                not avoid
                and current
                and routes.is_executor(bound_claim, current[0])
            ):
                return current
            return choose(
                avoid, lambda agent: routes.is_executor(bound_claim, agent)
            )

        def repair_claimed(
            chain: chains.Chain, avoid: Collection[chains.AgentInstance]
        ):
            executor_instance = (
                bound_claim.binding.executor,
                bound_claim.binding.incarnation,
            )
            keep = {chains.get_instance(agent) for agent in chain} | {
                executor_instance
            }
            avoid = set(avoid) - {executor_instance}
            return choose(
                avoid,
                lambda agent: routes.is_executor(bound_claim, agent),
                keep - avoid,
            )

        return result.Ok(
            routes.CompletionRoute(
                routes.bind_job(job, bound_claim),
                attrs.evolve(
                    plan,
                    choose=choose_claimed,
                    repair=repair_claimed,
                    find_executor=lambda: self._find_executor(bound_claim),
                ),
                bound_claim,
            )
        )

    def route_service(
        self,
        snapshot: holders.Snapshot,
        caller: routes.Caller,
        call: requests.ServiceCall,
    ) -> result.Result[routes.ServiceRoute, outcomes.Refusal]:
        """Route a service call, binding a non-idempotent one to an agent."""
        request = routes.build_call_query(caller, call, self._failure_domain)
        service = snapshot.services.get(call.service)
        if service is None:
            code = outcomes.FailCode.NOT_FOUND
            return routes.refuse(code, 'the service is not configured')
        matched = self._match_rule(snapshot, caller, request)
        if isinstance(matched, result.Err):
            return matched
        rule = matched.ok_value
        repeatable = rule.then.repeatable
        if repeatable is None:
            repeatable = service.repeatable
        return self._build_service_route(
            snapshot, caller, call, rule, repeatable
        )

    def _build_service_route(
        self,
        snapshot: holders.Snapshot,
        caller: routes.Caller,
        call: requests.ServiceCall,
        rule: configuration.Rule,
        repeatable: bool,
    ) -> result.Result[routes.ServiceRoute, outcomes.Refusal]:
        at_most_once = not repeatable
        caller = routes.ensure_key(caller, at_most_once)
        fingerprint = requests.compute_fingerprint(
            caller.team, call.service, call.method, call.path, call.body
        )
        job = jobs.Job(
            terms=routes.build_terms(
                caller,
                rule,
                snapshot.revision,
                fingerprint,
                snapshot.keys.get_salt(caller.team),
            ),
            deadline=caller.arrived + rule.then.deadline_seconds,
            repeatable=repeatable,
            is_connected=caller.is_connected,
        )

        def choose(
            avoid: Collection[chains.AgentInstance],
        ) -> fleet.Agent | None:
            agents = self._fleet.list_services(call.service)
            return chains.choose_least_loaded(agents, avoid)

        if not at_most_once:
            return result.Ok(routes.ServiceRoute(job, choose))
        proposed = choose(())
        if proposed is None:
            return routes.refuse_no_capacity(
                'no endpoint of the service is reachable'
            )
        bound = self._bind(caller, rule, job, proposed)
        if isinstance(bound, result.Err):
            return bound
        bound_claim = bound.ok_value
        return result.Ok(
            routes.ServiceRoute(
                routes.bind_job(job, bound_claim),
                lambda avoid: self._find_executor(bound_claim),
                bound_claim,
            )
        )

    def _find_executor(
        self, bound_claim: claims.BoundClaim
    ) -> fleet.Agent | None:
        binding = bound_claim.binding
        return self._fleet.connect(binding.executor, binding.incarnation)

    def _bind(
        self,
        caller: routes.Caller,
        rule: configuration.Rule,
        job: jobs.Job,
        proposed: fleet.Agent,
    ) -> result.Result[claims.BoundClaim, outcomes.Refusal]:
        left = job.deadline - time.monotonic()
        bound = self._binder.bind(
            caller.team,
            caller.key,
            job.terms.fingerprint,
            proposed,
            rule.then.retention_seconds,
            max(0.0, left),
        )
        if isinstance(bound, result.Ok) and bound.ok_value.executor is None:
            return routes.refuse_executor_gone()
        return bound

    def release_claim(self, bound_claim: claims.BoundClaim) -> None:
        """Release the key of a request that never ran and never will."""
        self._binder.release(bound_claim, _CLAIM_RELEASE_TIMEOUT_SECONDS)
