"""Client of a model engine's HTTP interface.

No call is ever repeated here: a step that may have run must not run
again without the caller knowing.
"""

import base64
import functools
import json
from typing import Any
from urllib import parse

import attrs
import result
import urllib3

__all__ = [
    'Engine',
    'EngineError',
    'EngineHolding',
    'EngineLoad',
    'Step',
    'StepResult',
    'SampledToken',
]

MAX_CONNECTIONS = 8
SHORT_TIMEOUT_SECONDS = 2.0
TRANSFER_TIMEOUT_SECONDS = 30.0
STALE_FENCE_STATUS = 409
_HTTP_OK = 200
_JSON_HEADERS = {'Content-Type': 'application/json'}
_JSON_CLOSE_HEADERS = _JSON_HEADERS | {'Connection': 'close'}
_quote = functools.partial(parse.quote, safe='')


@attrs.frozen
class EngineError:
    """A call that gave no usable answer.

    :ivar sent: whether the engine may have acted on it
    :ivar status: HTTP status, 0 without an answer
    :ivar lost: whether the connection failed and the engine is well
    :ivar ended: whether the connection was ended without an answer
    """

    detail: str
    sent: bool = True
    status: int = 0
    connection_lost: bool = False
    closed: bool = False


@attrs.frozen
class Step:
    """Work of one session: one span of positions.

    :ivar position: first position of the span
    :ivar prompt: text, for the first layer range only
    :ivar tokens: token ids behind the prompt, first layer range only
    :ivar activations: input of later layer ranges
    :ivar last_stage: asks for a sampled token
    :ivar prompt_tokens: 0 while nobody knows it yet
    :ivar truncate: drops what the engine holds behind the position
    :ivar layers: range that is to run, so that an engine which holds
        another one refuses; None to leave it out
    """

    session: str
    epoch: int
    team: str
    position: int
    idempotency_key: str = ''
    cache_salt: str = ''
    priority: int = 1
    prompt: str | None = None
    tokens: tuple[int, ...] | None = None
    activations: bytes | None = None
    last_stage: bool = False
    max_tokens: int = 0
    prompt_tokens: int = 0
    truncate: bool = False
    layers: tuple[int, int] | None = None


@attrs.frozen
class SampledToken:
    """A token that the last stage sampled."""

    id: int
    text: str
    finish_reason: str | None = None


@attrs.frozen
class StepResult:
    """What came of one step.

    :ivar count: positions that ran
    :ivar error: the engine's code, empty when it ran
    """

    session: str
    epoch: int
    position: int = 0
    count: int = 0
    activations: bytes = b''
    token: SampledToken | None = None
    error: str = ''


@attrs.frozen
class EngineLoad:
    """Load as the engine reports it, with a lag."""

    running: int = 0
    queued: int = 0
    kv_usage: float = 0.0
    kv_tokens: int = 0
    step_seconds: float = 0.0
    tokens_per_second: float = 0.0


@attrs.frozen
class EngineHolding:
    """What the engine holds.

    :ivar layer_count: layers of the whole model, 0 where it isn't told
    :ivar fence: highest fencing number that it has seen
    :ivar loading: whether it carries out an order just now
    """

    model: str = ''
    version: str = ''
    layer_start: int = 0
    layer_end: int = 0
    layer_count: int = 0
    fence: int = 0
    loading: bool = False


def _encode_step(step: Step) -> dict[str, Any]:
    fields = {
        'session': step.session,
        'epoch': step.epoch,
        'member': step.team,
        'idempotency_key': step.idempotency_key,
        'cache_salt': step.cache_salt,
        'priority': step.priority,
        'position': step.position,
        'last_stage': step.last_stage,
        'max_tokens': step.max_tokens,
        'prompt_tokens': step.prompt_tokens,
    }
    if step.truncate:
        fields['truncate'] = True
    if step.layers is not None:
        fields['layers'] = step.layers
    if step.prompt is not None:
        fields['prompt'] = step.prompt
    if step.tokens is not None:
        fields['tokens'] = step.tokens
    if step.activations is not None:
        fields['activations'] = base64.b64encode(step.activations).decode()
    return fields


def _decode_result(fields: dict[str, Any]) -> StepResult:
    token = fields.get('token')
    error = fields.get('error') or ''
    if isinstance(error, dict):
        error = str(error.get('code', 'error'))
    return StepResult(
        session=fields['session'],
        epoch=fields['epoch'],
        position=fields.get('position', 0),
        count=fields.get('count', 0),
        activations=base64.b64decode(fields.get('activations') or ''),
        token=SampledToken(**token) if token else None,
        error=error,
    )


def _decode_results(body: bytes) -> list[StepResult]:
    return [_decode_result(fields) for fields in json.loads(body)['results']]


def _decode_known_fields(body: bytes, kind: type) -> Any:
    fields = json.loads(body)
    declared = attrs.fields(kind)
    return kind(**{f.name: fields.get(f.name, f.default) for f in declared})


class Engine:
    """Connections to one engine."""

    def __init__(
        self, url: str, short_timeout: float = SHORT_TIMEOUT_SECONDS
    ) -> None:
        """Remember where the engine is; connections open on demand.

        :param url: base address, such as ``http://127.0.0.1:8000``
        :param quick: seconds for connecting and for short answers
        """
        self._url = url.rstrip('/')
        self._short_timeout = short_timeout
        self._pool = self._make_pool(MAX_CONNECTIONS)

    def _make_pool(self, size: int) -> urllib3.HTTPConnectionPool:
        return urllib3.connection_from_url(
            self._url, maxsize=size, retries=False
        )

    def reset_connections(self) -> None:
        """Use none of the idle connections again."""
        old, self._pool = self._pool, self._make_pool(MAX_CONNECTIONS)
        old.close()

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _call(
        self,
        method: str,
        path: str,
        body: Any,
        seconds: float,
        *,
        new_connection: bool = False,
    ) -> result.Result[bytes, EngineError]:
        """Call the engine.

        :param anew: over a new connection, as an idle one may be silent
        """
        if not new_connection:
            return self._request(
                self._pool, method, path, body, seconds, _JSON_HEADERS
            )
        # One that the engine is about to end must not be taken again.
        with self._make_pool(1) as pool:
            return self._request(
                pool, method, path, body, seconds, _JSON_CLOSE_HEADERS
            )

    def _request(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        path: str,
        body: Any,
        seconds: float,
        headers: dict[str, str],
    ) -> result.Result[bytes, EngineError]:
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = pool.request(
                method,
                path,
                body=data,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self._short_timeout, read=seconds
                ),
                redirect=False,
            )
        except urllib3.exceptions.ConnectTimeoutError as error:
            return result.Err(EngineError(type(error).__name__, sent=False))
        except urllib3.exceptions.NewConnectionError as error:
            return result.Err(EngineError(type(error).__name__, sent=False))
        except urllib3.exceptions.ProtocolError as error:
            return result.Err(EngineError(type(error).__name__, closed=True))
        except urllib3.exceptions.HTTPError as error:
            return result.Err(EngineError(type(error).__name__))
        if answer.status != _HTTP_OK:
            detail = f'HTTP status {answer.status}'
            return result.Err(EngineError(detail, status=answer.status))
        return result.Ok(answer.data)

    def run_steps(
        self,
        steps: list[Step],
        seconds: float,
        *,
        new_connection: bool = False,
    ) -> result.Result[list[StepResult], EngineError]:
        """Run steps as one call; it returns once all have run.

        :param seconds: how long the whole call may take
        :param anew: over a new connection
        """
        body = {'steps': [_encode_step(step) for step in steps]}
        called = self._call(
            'POST', '/v1/steps', body, seconds, new_connection=new_connection
        )
        if called.is_err():
            return called
        try:
            return result.Ok(_decode_results(called.ok_value))
        except (ValueError, KeyError, TypeError) as error:
            detail = f'unusable answer: {type(error).__name__}'
            return result.Err(EngineError(detail))

    def free(self, session: str) -> result.Result[None, EngineError]:
        """Free a session's KV cache; unknown sessions are no error.

        As it is idempotent, it is asked once more over a new connection
        when an idle one has failed.
        """
        path = f'/v1/sessions/{_quote(session)}'
        called = self._call('DELETE', path, None, self._short_timeout)
        if called.is_err() and called.err_value.sent:
            called = self._call(
                'DELETE', path, None, self._short_timeout, new_connection=True
            )
        return called.map(lambda _: None)

    def read_load(self) -> result.Result[EngineLoad, EngineError]:
        """Read the load that the engine publishes."""
        return self._read_fields('/v1/load', EngineLoad)

    def read_holding(self) -> result.Result[EngineHolding, EngineError]:
        """Read what the engine holds; status 404 where it doesn't tell."""
        return self._read_fields('/v1/holding', EngineHolding)

    def read(self, path: str) -> result.Result[bytes, EngineError]:
        """Read what the engine publishes, over a new connection."""
        return self._call(
            'GET', path, None, self._short_timeout, new_connection=True
        )

    def _read_fields(
        self, path: str, kind: type
    ) -> result.Result[Any, EngineError]:
        called = self.read(path)
        if called.is_err():
            return called
        try:
            return result.Ok(_decode_known_fields(called.ok_value, kind))
        except (ValueError, TypeError, AttributeError) as error:
            detail = f'unusable answer: {type(error).__name__}'
            return result.Err(EngineError(detail))

    def check_health(self) -> result.Result[None, EngineError]:
        """Ask the engine for its health check."""
        called = self._call(
            'GET', '/healthz', None, self._short_timeout, new_connection=True
        )
        return called.map(lambda _: None)

    def export_session(
        self, session: str
    ) -> result.Result[bytes, EngineError]:
        """Read a session's KV cache."""
        path = f'/v1/sessions/{_quote(session)}/export'
        called = self._call('POST', path, {}, TRANSFER_TIMEOUT_SECONDS)
        if called.is_err():
            return called
        try:
            state = json.loads(called.ok_value)['state']
            return result.Ok(base64.b64decode(state))
        except (ValueError, KeyError, TypeError) as error:
            detail = f'unusable answer: {type(error).__name__}'
            return result.Err(EngineError(detail))

    def import_session(
        self, session: str, state: bytes
    ) -> result.Result[None, EngineError]:
        """Give a session a KV cache that another engine exported."""
        path = f'/v1/sessions/{_quote(session)}/import'
        body = {'state': base64.b64encode(state).decode()}
        return self._call('POST', path, body, TRANSFER_TIMEOUT_SECONDS).map(
            lambda _: None
        )

    def send_order(
        self, fence: int, holding: EngineHolding, seconds: float
    ) -> result.Result[None, EngineError]:
        """Tell the engine what to hold; it answers once that is loaded.

        :param holding: model, version and layers
        :param seconds: how long loading may take
        :returns: on an old fence an error with ``OLD_FENCE_STATUS``
        """
        body = {
            'fence': fence,
            'model': holding.model,
            'version': holding.version,
            'layer_start': holding.layer_start,
            'layer_end': holding.layer_end,
            'layer_count': holding.layer_count,
        }
        called = self._call(
            'POST', '/v1/orders', body, seconds, new_connection=True
        )
        return called.map(lambda _: None)
