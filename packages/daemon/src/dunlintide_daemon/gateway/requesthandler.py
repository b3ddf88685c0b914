"""Admits callers' requests and routes them to services by rules."""

import asyncio
import contextlib
import hashlib
import zlib

from dunlintide_adapters import callermessages
from dunlintide_core import configuration
from dunlintide_core import matching
from dunlintide_core.pipeline import callerrequests
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import mechanisms
from dunlintide_daemon.gateway import admission
from dunlintide_daemon.gateway import calls
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import openrequests
from dunlintide_daemon.gateway import reservations
from dunlintide_daemon.gateway import shutdowns
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import streams
from dunlintide_daemon.gateway import suspicions
from dunlintide_platform import requests

__all__ = ['RequestHandler']

Outcome = exchange_module.Outcome

# Retry-After while the entry has no configuration yet, in seconds.
UNREADY_RETRY_SECONDS = 0.5
# How long a request waits for the first read of the store, in seconds. Without
# it a request that arrives just after a restart would be refused, often at
# its caller's last try.
FIRST_READING_TIMEOUT_SECONDS = 0.3


class RequestHandler:
    """Answers the requests of callers.

    :ivar open_requests: requests that are not answered yet
    """

    def __init__(self, state: state_module.State) -> None:
        self.open_requests = openrequests.OpenRequests(state)
        self._state = state
        self._streams = streams.StreamServer(state)
        self._calls = calls.CallServer(state)

    async def handle(
        self, request: callermessages.Request, reply: callermessages.Reply
    ) -> None:
        """Answer one request."""
        caller_request = requests.decode(request)
        await self._wait_for_first_reading()
        exchange = self._admit(request, reply, caller_request)
        if exchange is None:
            return
        terms = exchange.terms
        kind = 'stream' if terms.stream else 'call'
        reservations.record_arrival(self._state, exchange)
        outcome = Outcome.GONE
        try:
            outcome = await self.open_requests.run(exchange, self._serve)
        except asyncio.CancelledError:
            if not reply.is_disconnected:
                raise
        finally:
            self._record_end(exchange, kind, outcome)

    async def _wait_for_first_reading(self) -> None:
        state = self._state
        if state.is_initialized:
            return
        if not state.has(mechanisms.Mechanism.FIRST_READING):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_READING_TIMEOUT_SECONDS):
                await state.initialized.wait()

    def _record_end(
        self,
        exchange: exchange_module.Exchange,
        kind: str,
        outcome: Outcome,
    ) -> None:
        state = self._state
        reservations.record_end(state, exchange, outcome)
        seconds = state.now - exchange.request.received_at
        state.counters.requests.labels(kind, outcome).inc()
        state.counters.request_seconds.labels(kind).observe(seconds)
        state.log.write(
            'request ended',
            request=exchange.caller_request.name,
            outcome=outcome,
            rule=exchange.rule.name,
            service=exchange.service,
            sends=exchange.sends,
            seconds=round(seconds, 4),
            events=exchange.events,
            first_event=exchange.first_event_delay,
            longest_gap=round(exchange.longest_gap, 4),
            target=exchange.terms.target_seconds,
            pause=exchange.terms.gap_seconds,
            version=exchange.version,
        )

    async def _serve(self, exchange: exchange_module.Exchange) -> Outcome:
        service = self._state.deployment.services.get(exchange.service)
        if service is not None and service.engine is not None:
            return await self._streams.serve(exchange, service.engine)
        return await self._calls.serve(exchange)

    def _admit(
        self,
        request: callermessages.Request,
        reply: callermessages.Reply,
        caller_request: callerrequests.CallerRequest,
    ) -> exchange_module.Exchange | None:
        """Build the exchange of a request, None if it was refused."""
        deployment = self._state.deployment
        if not self._state.is_initialized:
            self._deny(
                reply,
                caller_request,
                503,
                'no configuration',
                UNREADY_RETRY_SECONDS,
            )
            return None
        owner = deployment.find_owner(caller_request.key_digest)
        rule = self._find_rule(deployment, caller_request, owner)
        if rule is None:
            self._deny(reply, caller_request, 404, 'no rule matches')
            return None
        if owner is None and deployment.needs_keys and not rule.then.public:
            self._deny(reply, caller_request, 401, 'unknown key')
            return None
        exchange = self._build(
            deployment, request, reply, caller_request, rule, owner
        )
        now = self._state.now
        suspicion = suspicions.find_refusal(self._state, exchange)
        if suspicion:
            pause = suspicions.RETRY_SECONDS
            self._deny(reply, caller_request, 503, suspicion, pause)
            return None
        if self._state.stopping and not self._accept(exchange, now):
            return None
        self._state.get_retry_budget(exchange.service).record_request(now)
        refusals = self._state.refusal_history
        if self._state.has(mechanisms.Mechanism.RETURNED):
            exchange.was_refused = refusals.was_refused(exchange.digest, now)
        refusals.record_request(now)
        return exchange

    def _accept(self, exchange: exchange_module.Exchange, now: float) -> bool:
        """Accept a request while the entry shuts down, or refuse it."""
        state = self._state
        found = shutdowns.assess(state, exchange)
        known = {
            'remaining': round(state.shutdown.ends - now, 3),
            'deadline_in': round(exchange.deadline - now, 3),
            'expected': found.expected and round(found.expected, 3),
            'longest': found.longest and round(found.longest, 3),
        }
        if now <= found.latest_start:
            state.log.write(
                'accepted while stopping',
                request=exchange.caller_request.name,
                **known,
            )
            return True
        self._deny(
            exchange.reply,
            exchange.caller_request,
            503,
            shutdowns.REASON,
            shutdowns.choose_retry_after(state, exchange, now),
            **known,
        )
        return False

    def _find_rule(
        self,
        deployment: deployments.Deployment,
        caller_request: callerrequests.CallerRequest,
        owner: configuration.Team | None,
    ) -> configuration.Rule | None:
        query = matching.Query(
            team=owner.name if owner else '',
            model=caller_request.model,
            method=caller_request.method,
            path=caller_request.path,
            failure_domain=self._state.settings.failure_domain,
            prompt_tokens=caller_request.prompt,
            host=caller_request.host,
        )
        rule = deployment.find_rule(query)
        if rule is None or rule.then.action is configuration.Action.REFUSE:
            return None
        return rule

    def _build(
        self,
        deployment: deployments.Deployment,
        request: callermessages.Request,
        reply: callermessages.Reply,
        caller_request: callerrequests.CallerRequest,
        rule: configuration.Rule,
        owner: configuration.Team | None,
    ) -> exchange_module.Exchange:
        limit = rule.then.deadline_seconds
        if caller_request.patience is not None:
            limit = min(limit, caller_request.patience)
        service = self._draw_service(rule)
        if self._state.is_shared(service):
            priority = deployment.get_priority(service, rule, owner)
        else:
            priority = deployment.get_unshared_priority(rule, owner)
        fingerprint = _make_fingerprint(request, caller_request)
        return exchange_module.Exchange(
            request=request,
            reply=reply,
            caller_request=caller_request,
            rule=rule,
            service=service,
            deadline=request.received_at + limit,
            version=deployment.version,
            priority=priority,
            fingerprint=fingerprint,
            digest=_make_digest(fingerprint, caller_request),
            team=owner.name if owner else None,
            max_refusals=admission.choose_max_refusals(self._state, service),
        )

    def _draw_service(self, rule: configuration.Rule) -> str:
        shares = rule.then.services
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        drawn = self._state.random.choices(shares, weights)
        return drawn[0].service

    def _deny(
        self,
        reply: callermessages.Reply,
        caller_request: callerrequests.CallerRequest,
        status: int,
        reason: str,
        retry_after: float | None = None,
        **inputs: object,
    ) -> None:
        deployment = self._state.deployment
        self._state.counters.requests.labels('any', Outcome.DENIED).inc()
        self._state.log.write(
            'request denied',
            request=caller_request.name,
            status=status,
            reason=reason,
            retry_after=retry_after,
            caller_host=caller_request.host,
            version=deployment.version if deployment else None,
            configuration_age=round(
                self._state.now - self._state.configuration_at, 3
            ),
            **inputs,
        )
        exchange_module.refuse(reply, status, retry_after)


def _make_fingerprint(
    request: callermessages.Request,
    caller_request: callerrequests.CallerRequest,
) -> str:
    """Hash what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=9)
    for part in (
        caller_request.host,
        request.target,
        caller_request.key_digest,
    ):
        digest.update(part.encode('latin-1'))
        digest.update(b'\0')
    for part in request.parts:
        digest.update(part)
    return digest.hexdigest()


def _make_digest(
    fingerprint: str, request: callerrequests.CallerRequest
) -> int:
    """Hash a request such that those with equal bodies mostly differ."""
    text = f'{fingerprint} {request.prompt} {request.answer} {request.prefix}'
    return zlib.crc32(text.encode('latin-1'))
