"""WSGI application for callers."""

import random
import time
from typing import Any, Callable, Iterable, Mapping

import attrs
import result
import uuid_utils

from dunlintide_adapters import httpchannel
from dunlintide_adapters import httpgate
from dunlintide_core import outcomes
from dunlintide_daemon.entry import answers
from dunlintide_daemon.entry import configuration as holders
from dunlintide_daemon.entry import headers
from dunlintide_daemon.entry import history
from dunlintide_daemon.entry import jobs
from dunlintide_daemon.entry import limits
from dunlintide_daemon.entry import meter
from dunlintide_daemon.entry import openai
from dunlintide_daemon.entry import problems
from dunlintide_daemon.entry import requests
from dunlintide_daemon.entry import router
from dunlintide_daemon.entry import routes
from dunlintide_daemon.entry import services
from dunlintide_daemon.entry import table

__all__ = [
    'Front',
    'Parts',
]

PRIORITY_HEADER = 'HTTP_DUNLINTIDE_PRIORITY'
HEARTBEAT_SECONDS = 5.0
# What is left to send at the deadline may take this long.
SENDING_SECONDS = 1.0
_NO_CONFIGURATION_RETRY_SECONDS = 2.0
_CROWDED_RETRY_SECONDS = 1.0

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@attrs.frozen
class Parts:
    """What the front works with.

    :ivar heartbeat: longest pause in a stream, in seconds
    """

    context: jobs.Context
    holder: holders.Holder
    router: router.Router
    history: history.History
    limiter: limits.Limits
    meter: meter.Meter
    rng: random.Random
    heartbeat: float = HEARTBEAT_SECONDS


@attrs.frozen
class _Exchange:
    """One request and the answer that it is given."""

    environ: Mapping[str, Any]
    caller: routes.Caller
    snapshot: holders.Snapshot


def _read_priority(
    environ: Mapping[str, Any],
) -> result.Result[int | None, outcomes.Refusal]:
    text = environ.get(PRIORITY_HEADER)
    if text is None:
        return result.Ok(None)
    if text.isdecimal() and int(text) <= requests.MAX_PRIORITY:
        return result.Ok(int(text))
    code = outcomes.FailCode.BAD_REQUEST
    detail = f'Dunlintide-Priority must be 0 to {requests.MAX_PRIORITY}'
    return result.Err(outcomes.refuse(code, detail))


def _watch_caller(environ: Mapping[str, Any]) -> Callable[[], bool]:
    is_gone = environ.get('waitress.client_disconnected')
    if is_gone is None:
        return lambda: True
    return lambda: not is_gone()


def _send_never(data: bytes) -> bool:
    return False


def _limit_sending(environ: Mapping[str, Any], deadline: float) -> None:
    """Have a caller that reads too slowly cut off behind the deadline."""
    end_by = environ.get(httpchannel.END_BY)
    if end_by is not None:
        end_by(deadline + SENDING_SECONDS)


def _join(environ: Mapping[str, Any], team: str) -> outcomes.Refusal | None:
    """Count a request to its team; no team takes all threads."""
    join = environ.get(httpgate.JOIN)
    if join is None or join(team):
        return None
    return outcomes.refuse(
        outcomes.FailCode.QUEUE_FULL,
        'too many requests of the team are in flight at this entry',
        retry_after=_CROWDED_RETRY_SECONDS,
    )


def _refuse(
    code: outcomes.FailCode, detail: str
) -> result.Err[outcomes.Refusal]:
    return result.Err(outcomes.refuse(code, detail))


class Front:
    """Callers' requests in, answers out."""

    def __init__(self, parts: Parts) -> None:
        """Serve with the given parts."""
        self._parts = parts
        self._ledger = answers.Ledger(
            parts.history, parts.router, parts.limiter, parts.meter
        )

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer a request, as WSGI has it."""
        request_id = str(uuid_utils.uuid7())
        response = self._answer(environ, request_id)
        if isinstance(response, result.Err):
            response = self._render(response.err_value, request_id)
        else:
            response = response.ok_value
        start_response(response.status, response.headers)
        return response.body

    def _render(
        self, refusal: outcomes.Refusal, request_id: str
    ) -> problems.Response:
        return problems.render(refusal, request_id, self._parts.rng)

    def _answer(
        self, environ: Mapping[str, Any], request_id: str
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        snapshot = self._parts.holder.snapshot
        if snapshot is None:
            return result.Err(
                outcomes.refuse(
                    outcomes.FailCode.NO_CAPACITY,
                    'this entry has no configuration yet',
                    retry_after=_NO_CONFIGURATION_RETRY_SECONDS,
                )
            )
        exchange = self._identify(environ, request_id, snapshot)
        if isinstance(exchange, result.Err):
            return exchange
        return self._dispatch(exchange.ok_value)

    def _identify(
        self,
        environ: Mapping[str, Any],
        request_id: str,
        snapshot: holders.Snapshot,
    ) -> result.Result[_Exchange, outcomes.Refusal]:
        team = snapshot.keys.find(environ.get('HTTP_AUTHORIZATION', ''))
        if isinstance(team, result.Err):
            return team
        crowded = _join(environ, team.ok_value)
        if crowded is not None:
            return result.Err(crowded)
        key = requests.check_key(environ.get('HTTP_IDEMPOTENCY_KEY'))
        if isinstance(key, result.Err):
            return key
        priority = _read_priority(environ)
        if isinstance(priority, result.Err):
            return priority
        caller = routes.Caller(
            request_id=request_id,
            team=team.ok_value,
            key=key.ok_value,
            priority=priority.ok_value,
            is_connected=_watch_caller(environ),
            send_now=environ.get(httpchannel.SEND_NOW, _send_never),
        )
        return result.Ok(_Exchange(environ, caller, snapshot))

    def _dispatch(
        self, exchange: _Exchange
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        environ = exchange.environ
        method = environ['REQUEST_METHOD']
        target = table.find_target(method, environ.get('PATH_INFO', ''))
        match target.endpoint:
            case table.Endpoint.COMPLETION:
                return self._complete(exchange, chat=False)
            case table.Endpoint.CHAT:
                return self._complete(exchange, chat=True)
            case table.Endpoint.SERVICE:
                return self._call(exchange, target)
            case table.Endpoint.MODELS:
                return self._list_models(exchange)
            case table.Endpoint.REQUEST:
                return self._show_request(exchange, target.name)
            case table.Endpoint.WRONG_METHOD:
                code = outcomes.FailCode.BAD_REQUEST
                return _refuse(code, 'the path does not take this method')
        return _refuse(outcomes.FailCode.NOT_FOUND, 'there is no such path')

    def _list_models(
        self, exchange: _Exchange
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        body = openai.list_models(sorted(exchange.snapshot.models))
        return result.Ok(
            answers.respond_json(body, exchange.caller.request_id)
        )

    def _show_request(
        self, exchange: _Exchange, request_id: str
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        team = exchange.caller.team
        record = self._parts.history.find(request_id, team)
        if record is None:
            code = outcomes.FailCode.NOT_FOUND
            return _refuse(code, 'this entry knows no such request')
        body = record.render(request_id)
        return result.Ok(
            answers.respond_json(body, exchange.caller.request_id)
        )

    def _call(
        self, exchange: _Exchange, target: table.Target
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        environ, caller = exchange.environ, exchange.caller
        body = requests.read_body(environ)
        if isinstance(body, result.Err):
            return body
        query = environ.get('QUERY_STRING')
        call = requests.ServiceCall(
            service=target.name,
            method=environ['REQUEST_METHOD'],
            path=f'{target.rest}?{query}' if query else target.rest,
            headers=headers.read_request_headers(environ),
            body=body.ok_value,
        )
        self._parts.history.begin(caller.request_id, caller.team)
        routed = self._parts.router.route_service(
            exchange.snapshot, caller, call
        )
        if isinstance(routed, result.Err):
            self._ledger.end(caller, routed.err_value)
            return routed
        route = routed.ok_value
        _limit_sending(environ, route.job.deadline)
        answer = services.run(
            self._parts.context, route.job, call, route.choose
        )
        if isinstance(answer, outcomes.Refusal):
            self._ledger.release(route, answer)
            self._ledger.end(caller, answer)
            return result.Err(answer)
        self._ledger.end(caller, None)
        room = self._parts.context.answer_room
        return result.Ok(
            answers.respond_service(
                answer,
                caller.request_id,
                lambda: room.give_back(len(answer.body)),
            )
        )

    def _complete(
        self, exchange: _Exchange, *, chat: bool
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        caller = exchange.caller
        body = requests.read_body(exchange.environ)
        if isinstance(body, result.Err):
            return body
        parsed = requests.parse_completion(body.ok_value, chat=chat)
        if isinstance(parsed, result.Err):
            return parsed
        completion = parsed.ok_value
        self._parts.history.begin(caller.request_id, caller.team)
        routed = self._parts.router.route_completion(
            exchange.snapshot,
            caller,
            completion,
            exchange.environ['PATH_INFO'],
            body.ok_value,
        )
        if isinstance(routed, result.Err):
            self._ledger.end(caller, routed.err_value)
            return routed
        deadline = routed.ok_value.job.deadline
        _limit_sending(exchange.environ, deadline)
        rendering = openai.Rendering(
            caller.request_id, completion.model, int(time.time()), chat
        )
        answer = answers.CompletionAnswer(
            self._parts.context,
            self._ledger,
            caller,
            completion,
            routed.ok_value,
            rendering,
            self._parts.heartbeat,
        )
        return answer.stream() if completion.stream else answer.gather()
