"""Admits callers' requests and routes them to services by rules."""

import asyncio
import contextlib
import hashlib
import math
import zlib

from dunlintide_adapters import callermessages
from dunlintide_core import configuration
from dunlintide_core import matching
from dunlintide_core.pipeline import callerrequests
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import refusalhistory
from dunlintide_core.pipeline import shutdown
from dunlintide_daemon.gateway import admission
from dunlintide_daemon.gateway import calls
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import openrequests
from dunlintide_daemon.gateway import reservations
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
# Time after SIGTERM from which all streams are refused, in seconds. Later ones
# could not end before the process must, and by then the load balancer has
# twice seen that the entry is not ready.
STREAM_CUTOFF_SECONDS = 2.8
# Time before the process must end from which calls are refused too, in
# seconds.
CALL_CUTOFF_SECONDS = 1.5
# Longest id of an event that is read as a number, in digits. Python refuses to
# convert more than 4,300.
MAX_EVENT_DIGITS = 18


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
            with self.open_requests.track(exchange):
                outcome = await self._serve(exchange)
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
        if self._is_too_late(exchange, now):
            pause = self._choose_stopping_retry_after(exchange, now)
            self._deny(reply, caller_request, 503, 'stopping', pause)
            return None
        self._state.get_retry_budget(exchange.service).record_request(now)
        refusals = self._state.refusal_history
        if self._state.has(mechanisms.Mechanism.RETURNED):
            exchange.was_refused = refusals.was_refused(exchange.digest, now)
        refusals.record_request(now)
        return exchange

    def _choose_stopping_retry_after(
        self, exchange: exchange_module.Exchange, now: float
    ) -> float:
        state = self._state
        pause = refusalhistory.choose_shutdown_delay(
            len(state.listed_entries),
            state.stopping_since + state.settings.grace - now,
        )
        # Callers do not honour a longer one.
        return min(
            pause,
            (exchange.deadline - now) * refusalhistory.MAX_DELAY_FRACTION,
        )

    def _is_too_late(
        self, exchange: exchange_module.Exchange, now: float
    ) -> bool:
        """Return whether the process ends before it could answer."""
        state = self._state
        if not state.stopping:
            return False
        if exchange.terms.stream:
            elapsed = now - state.stopping_since
            if elapsed > STREAM_CUTOFF_SECONDS:
                return True
            return not self._can_finish(exchange, elapsed)
        last = state.settings.grace - CALL_CUTOFF_SECONDS
        return now - state.stopping_since > last

    def _can_finish(
        self, exchange: exchange_module.Exchange, elapsed: float
    ) -> bool:
        """Return whether a stream is expected to end before it is cut off.

        It counts as such if no other entry is listed that could take it, or
        if its length is unknown.

        :param elapsed: time since SIGTERM, in seconds
        """
        state = self._state
        if not (
            state.settings.demand.stop_by_length
            and state.has(mechanisms.Mechanism.STOP_BY_LENGTH)
            and state.listed_entries
        ):
            return True
        expected = self._estimate_duration(exchange)
        if expected is None:
            return True
        remaining = shutdown.compute_remaining(state.settings.grace, elapsed)
        return shutdown.can_finish(
            remaining, expected, shutdown.MARGIN_SECONDS
        )

    def _estimate_duration(
        self, exchange: exchange_module.Exchange
    ) -> float | None:
        """Return how long a stream will take in seconds, None if unknown."""
        state = self._state
        service = state.deployment.services.get(exchange.service)
        if service is None or service.engine is None:
            return None
        request, profile = exchange.caller_request, service.engine
        # A caller that resumes a stream names the number of its last event.
        after = request.after or ''
        is_number = after.isdecimal() and len(after) <= MAX_EVENT_DIGITS
        received = int(after) if is_number else 0
        stride = max(1, profile.stride)
        tokens = chainfinder.estimate_answer(
            request, profile, received * stride
        )
        return shutdown.estimate_duration(
            state.first_event_delays.typical,
            math.ceil(tokens / stride),
            state.get_event_seconds(exchange.service).typical,
        )

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
    digest.update(request.body)
    return digest.hexdigest()


def _make_digest(
    fingerprint: str, request: callerrequests.CallerRequest
) -> int:
    """Hash a request such that those with equal bodies mostly differ."""
    text = f'{fingerprint} {request.prompt} {request.answer} {request.prefix}'
    return zlib.crc32(text.encode('latin-1'))
