"""WSGI application for callers."""

import random
import time
from typing import Any, Callable, Iterable, Mapping

import attrs
import result
import uuid_utils

from dunlintide_adapters import httpchannel
from dunlintide_adapters import requestlimiter
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
from dunlintide_daemon.entry import routetable
from dunlintide_daemon.entry import services

__all__ = [
    'Application',
    'Dependencies',
]

PRIORITY_HEADER = 'HTTP_DUNLINTIDE_PRIORITY'
HEARTBEAT_SECONDS = 5.0
# Time after the deadline for sending the rest of an answer.
SEND_GRACE_SECONDS = 1.0
_NO_CONFIGURATION_RETRY_SECONDS = 2.0
_TEAM_LIMIT_RETRY_SECONDS = 1.0

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@attrs.frozen
class Dependencies:
    """Objects that the application works with.

    :ivar heartbeat: longest pause in a stream, in seconds
    """

    context: jobs.Context
    holder: holders.Holder
    router: router.Router
    history: history.History
    limiter: limits.Limiter
    meter: meter.Meter
    rng: random.Random
    heartbeat: float = HEARTBEAT_SECONDS


@attrs.frozen
class _AuthenticatedRequest:
    """A request whose team is known, and the configuration that applies."""

    environ: Mapping[str, Any]
    caller: routes.Caller
    snapshot: holders.Snapshot


def _parse_priority(
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


def _build_connection_check(environ: Mapping[str, Any]) -> Callable[[], bool]:
    is_gone = environ.get('waitress.client_disconnected')
    if is_gone is None:
        return lambda: True
    return lambda: not is_gone()


def _never_send_now(data: bytes) -> bool:
    return False


def _set_send_deadline(environ: Mapping[str, Any], deadline: float) -> None:
    """Have the server cut off a caller that reads too slowly.

    :param deadline: monotonic time of the request's deadline, in seconds
    """
    end_by = environ.get(httpchannel.SET_SEND_DEADLINE)
    if end_by is not None:
        end_by(deadline + SEND_GRACE_SECONDS)


def _count_for_team(
    environ: Mapping[str, Any], team: str
) -> outcomes.Refusal | None:
    """Count a request for its team, so that no team takes all threads.

    :returns: None when the team may run another request
    """
    join = environ.get(requestlimiter.JOIN_GROUP)
    if join is None or join(team):
        return None
    return outcomes.refuse(
        outcomes.FailCode.QUEUE_FULL,
        'too many requests of the team are in flight at this entry',
        retry_after=_TEAM_LIMIT_RETRY_SECONDS,
    )


def _refuse(
    code: outcomes.FailCode, detail: str
) -> result.Err[outcomes.Refusal]:
    return result.Err(outcomes.refuse(code, detail))


class Application:
    """Answers callers' requests, as a WSGI application."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Initialize with the objects that requests work with."""
        self._dependencies = dependencies
        self._recorder = answers.OutcomeRecorder(
            dependencies.history,
            dependencies.router,
            dependencies.limiter,
            dependencies.meter,
        )

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI defines it."""
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
        return problems.render(refusal, request_id, self._dependencies.rng)

    def _answer(
        self, environ: Mapping[str, Any], request_id: str
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        snapshot = self._dependencies.holder.snapshot
        if snapshot is None:
            return result.Err(
                outcomes.refuse(
                    outcomes.FailCode.NO_CAPACITY,
                    'this entry has not received a configuration yet',
                    retry_after=_NO_CONFIGURATION_RETRY_SECONDS,
                )
            )
        request = self._authenticate(environ, request_id, snapshot)
        if isinstance(request, result.Err):
            return request
        return self._dispatch(request.ok_value)

    def _authenticate(
        self,
        environ: Mapping[str, Any],
        request_id: str,
        snapshot: holders.Snapshot,
    ) -> result.Result[_AuthenticatedRequest, outcomes.Refusal]:
        team = snapshot.keys.authenticate(
            environ.get('HTTP_AUTHORIZATION', '')
        )
        if isinstance(team, result.Err):
            return team
        team_refusal = _count_for_team(environ, team.ok_value)
        if team_refusal is not None:
            return result.Err(team_refusal)
        key = requests.validate_idempotency_key(
            environ.get('HTTP_IDEMPOTENCY_KEY')
        )
        if isinstance(key, result.Err):
            return key
        priority = _parse_priority(environ)
        if isinstance(priority, result.Err):
            return priority
        caller = routes.Caller(
            request_id=request_id,
            team=team.ok_value,
            key=key.ok_value,
            priority=priority.ok_value,
            is_connected=_build_connection_check(environ),
            send_now=environ.get(httpchannel.SEND_NOW, _never_send_now),
        )
        return result.Ok(_AuthenticatedRequest(environ, caller, snapshot))

    def _dispatch(
        self, request: _AuthenticatedRequest
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        environ = request.environ
        method = environ['REQUEST_METHOD']
        target = routetable.find_target(method, environ.get('PATH_INFO', ''))
        match target.resource:
            case routetable.Resource.COMPLETION:
                return self._complete(request, chat=False)
            case routetable.Resource.CHAT:
                return self._complete(request, chat=True)
            case routetable.Resource.SERVICE:
                return self._call_service(request, target)
            case routetable.Resource.MODELS:
                return self._list_models(request)
            case routetable.Resource.REQUEST:
                return self._show_request(request, target.name)
            case routetable.Resource.WRONG_METHOD:
                code = outcomes.FailCode.BAD_REQUEST
                return _refuse(code, 'the method is not allowed for this path')
        return _refuse(outcomes.FailCode.NOT_FOUND, 'there is no such path')

    def _list_models(
        self, request: _AuthenticatedRequest
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        body = openai.list_models(sorted(request.snapshot.models))
        return result.Ok(answers.respond_json(body, request.caller.request_id))

    def _show_request(
        self, request: _AuthenticatedRequest, request_id: str
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        team = request.caller.team
        record = self._dependencies.history.find(request_id, team)
        if record is None:
            code = outcomes.FailCode.NOT_FOUND
            return _refuse(code, 'this entry knows no such request')
        body = record.render(request_id)
        return result.Ok(answers.respond_json(body, request.caller.request_id))

    def _call_service(
        self, request: _AuthenticatedRequest, target: routetable.Target
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        environ, caller = request.environ, request.caller
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
        self._dependencies.history.begin(caller.request_id, caller.team)
        routed = self._dependencies.router.route_service(
            request.snapshot, caller, call
        )
        if isinstance(routed, result.Err):
            self._recorder.record(caller, routed.err_value)
            return routed
        route = routed.ok_value
        _set_send_deadline(environ, route.job.deadline)
        answer = services.run(
            self._dependencies.context, route.job, call, route.choose
        )
        if isinstance(answer, outcomes.Refusal):
            self._recorder.release_claim(route, answer)
            self._recorder.record(caller, answer)
            return result.Err(answer)
        self._recorder.record(caller, None)
        memory = self._dependencies.context.answer_memory
        return result.Ok(
            answers.respond_service(
                answer,
                caller.request_id,
                lambda: memory.release(len(answer.body)),
            )
        )

    def _complete(
        self, request: _AuthenticatedRequest, *, chat: bool
    ) -> result.Result[problems.Response, outcomes.Refusal]:
        caller = request.caller
        body = requests.read_body(request.environ)
        if isinstance(body, result.Err):
            return body
        parsed = requests.parse_completion(body.ok_value, chat=chat)
        if isinstance(parsed, result.Err):
            return parsed
        completion = parsed.ok_value
        self._dependencies.history.begin(caller.request_id, caller.team)
        routed = self._dependencies.router.route_completion(
            request.snapshot,
            caller,
            completion,
            request.environ['PATH_INFO'],
            body.ok_value,
        )
        if isinstance(routed, result.Err):
            self._recorder.record(caller, routed.err_value)
            return routed
        deadline = routed.ok_value.job.deadline
        _set_send_deadline(request.environ, deadline)
        renderer = openai.CompletionRenderer(
            caller.request_id, completion.model, int(time.time()), chat
        )
        answer = answers.CompletionAnswer(
            self._dependencies.context,
            self._recorder,
            caller,
            completion,
            routed.ok_value,
            renderer,
            self._dependencies.heartbeat,
        )
        return answer.stream() if completion.stream else answer.gather()
