"""Takes callers' requests: finds the rule, the team and who serves."""

import asyncio
import contextlib
import hashlib
import zlib

from dunlintide_adapters import callermessages
from dunlintide_core import configuration
from dunlintide_core import matching
from dunlintide_core.pipeline import asks
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import returns
from dunlintide_daemon.gateway import calls
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import streams
from dunlintide_platform import requests

__all__ = ['Front']

Outcome = exchange_module.Outcome

# When to return to an entry that knows no configuration yet, in seconds.
UNREADY_SECONDS = 0.5
# How long a request waits for the first reading of the store, in seconds.
# When a host restarts, what connects before its process knows anything would
# be turned away with its caller's last try.
FIRST_READING_SECONDS = 0.3
# Time after SIGTERM from which on streams are refused, in seconds: later
# ones could not end before the process must, and by then the balancer has
# had two answers that the entry isn't ready.
LAST_STREAM_SECONDS = 2.8
# Time before the process must end from which on calls are refused too.
LAST_CALL_SECONDS = 1.5
# When to return with a request that seems to crash endpoints, in seconds.
CRASHER_SECONDS = 5.0


class Front:
    """Answers each request of a caller."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._streams = streams.StreamServer(state)
        self._calls = calls.CallServer(state)

    async def handle(
        self, request: callermessages.Request, reply: callermessages.Reply
    ) -> None:
        """Answer one request."""
        ask = requests.decode(request)
        await self._wait_for_first_reading()
        exchange = self._admit(request, reply, ask)
        if exchange is None:
            return
        terms = exchange.terms
        kind = 'stream' if terms.stream else 'call'
        outcome = Outcome.GONE
        try:
            outcome = await self._serve(exchange)
        except asyncio.CancelledError:
            if not reply.is_disconnected:
                raise
        finally:
            self._note_end(exchange, kind, outcome)

    async def _wait_for_first_reading(self) -> None:
        state = self._state
        if state.is_informed:
            return
        if not state.has(mechanisms.Mechanism.FIRST_READING):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_READING_SECONDS):
                await state.informed.wait()

    def _note_end(
        self,
        exchange: exchange_module.Exchange,
        kind: str,
        outcome: Outcome,
    ) -> None:
        state = self._state
        seconds = state.now - exchange.request.received_at
        state.counters.requests.labels(kind, outcome).inc()
        state.counters.request_seconds.labels(kind).observe(seconds)
        state.log.write(
            'request ended',
            request=exchange.ask.name,
            outcome=outcome,
            rule=exchange.rule.name,
            service=exchange.service,
            sends=exchange.sends,
            seconds=round(seconds, 4),
            events=exchange.events,
            first_event=exchange.first_event,
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
        ask: asks.Ask,
    ) -> exchange_module.Exchange | None:
        """Find the terms of a request, or refuse it at once."""
        deployment = self._state.deployment
        if not self._state.is_informed:
            self._deny(reply, ask, 503, 'no configuration', UNREADY_SECONDS)
            return None
        owner = deployment.find_owner(ask.key_digest)
        rule = self._find_rule(deployment, ask, owner)
        if rule is None:
            self._deny(reply, ask, 404, 'no rule matches')
            return None
        if owner is None and deployment.needs_keys and not rule.then.public:
            self._deny(reply, ask, 401, 'unknown key')
            return None
        exchange = self._build(deployment, request, reply, ask, rule, owner)
        now = self._state.now
        if self._state.crashers.is_refused(exchange.fingerprint, now):
            self._deny(
                reply, ask, 503, 'seems to crash endpoints', CRASHER_SECONDS
            )
            return None
        if self._is_too_late(exchange, now):
            pause = self._choose_stopping_pause(exchange, now)
            self._deny(reply, ask, 503, 'stopping', pause)
            return None
        self._state.get_budget(exchange.service).earn(now)
        refusals = self._state.returns
        if self._state.has(mechanisms.Mechanism.RETURNED):
            exchange.returned = refusals.has_returned(exchange.digest, now)
        refusals.ask(now)
        return exchange

    def _choose_stopping_pause(
        self, exchange: exchange_module.Exchange, now: float
    ) -> float:
        state = self._state
        pause = returns.choose_stopping_pause(
            len(state.others),
            state.stopping_at + state.settings.grace - now,
        )
        # Callers honour no longer one.
        return min(pause, (exchange.deadline - now) * returns.LEFT_PART)

    def _is_too_late(
        self, exchange: exchange_module.Exchange, now: float
    ) -> bool:
        """Tell whether the process ends before it could answer."""
        state = self._state
        if not state.stopping:
            return False
        if exchange.terms.stream:
            return now - state.stopping_at > LAST_STREAM_SECONDS
        last = state.settings.grace - LAST_CALL_SECONDS
        return now - state.stopping_at > last

    def _find_rule(
        self,
        deployment: deployments.Deployment,
        ask: asks.Ask,
        owner: configuration.Team | None,
    ) -> configuration.Rule | None:
        query = matching.Query(
            team=owner.name if owner else '',
            model=ask.model,
            method=ask.method,
            path=ask.path,
            failure_domain=self._state.settings.failure_domain,
            prompt_tokens=ask.prompt,
            host=ask.host,
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
        ask: asks.Ask,
        rule: configuration.Rule,
        owner: configuration.Team | None,
    ) -> exchange_module.Exchange:
        limit = rule.then.deadline_seconds
        if ask.patience is not None:
            limit = min(limit, ask.patience)
        priority = rule.then.priority
        if owner is not None and owner.priority is not None:
            priority = owner.priority
        fingerprint = _make_fingerprint(request, ask)
        return exchange_module.Exchange(
            request=request,
            reply=reply,
            ask=ask,
            rule=rule,
            service=self._draw_service(rule),
            deadline=request.received_at + limit,
            version=deployment.version,
            priority=priority,
            fingerprint=fingerprint,
            digest=_make_digest(fingerprint, ask),
            team=owner.name if owner else None,
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
        ask: asks.Ask,
        status: int,
        reason: str,
        retry_after: float | None = None,
    ) -> None:
        deployment = self._state.deployment
        self._state.counters.requests.labels('any', Outcome.DENIED).inc()
        self._state.log.write(
            'request denied',
            request=ask.name,
            status=status,
            reason=reason,
            retry_after=retry_after,
            caller_host=ask.host,
            version=deployment.version if deployment else None,
            configuration_age=round(
                self._state.now - self._state.configuration_at, 3
            ),
        )
        exchange_module.refuse(reply, status, retry_after)


def _make_fingerprint(request: callermessages.Request, ask: asks.Ask) -> str:
    """Name a request by what stays when its caller sends it again."""
    digest = hashlib.blake2b(digest_size=9)
    for part in (ask.host, request.target, ask.key_digest):
        digest.update(part.encode('latin-1'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def _make_digest(fingerprint: str, ask: asks.Ask) -> int:
    """Tell a request from others with the same path, caller and body."""
    text = f'{fingerprint} {ask.prompt} {ask.answer} {ask.prefix}'
    return zlib.crc32(text.encode('latin-1'))
