"""Client of a model engine's HTTP interface.

Only ``free`` retries: a step that may have run must not run again unless the
caller decides so.
"""

import base64
import functools
import json
from typing import Annotated, Any, Callable
from urllib import parse

import attrs
import msgspec
import result
import urllib3

from dunlintide_adapters import bodies
from dunlintide_adapters import boundedhttp

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
# Largest answer of an engine, in bytes: the activations of some steps.
MAX_ANSWER_BYTES = 256 << 20
# The same for what the engine tells of itself, in bytes.
MAX_SHORT_ANSWER_BYTES = 8 << 20
SHORT_TIMEOUT_SECONDS = 2.0
TRANSFER_TIMEOUT_SECONDS = 30.0
STALE_FENCE_STATUS = 409
_HTTP_OK = 200
_JSON_HEADERS = {'Content-Type': 'application/json'}
_JSON_CLOSE_HEADERS = _JSON_HEADERS | {'Connection': 'close'}
# Errors of decoding a body.
_INVALID_BODY = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
# Bounds of what an engine tells of itself: floating point is exact up to them,
# and messages between processes hold what they carry of it.
_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1 << 53)]
_Layer = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]
_Fence = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
_quote = functools.partial(parse.quote, safe='')


@attrs.frozen
class EngineError:
    """A call without a valid answer.

    :ivar sent: whether the engine may have executed it
    :ivar status: HTTP status, 0 without an answer
    :ivar connection_lost: whether only the connection failed while the
        engine works
    :ivar closed: whether the connection was closed without an answer
    """

    detail: str
    sent: bool = True
    status: int = 0
    connection_lost: bool = False
    closed: bool = False


@attrs.frozen
class Step:
    """One span of positions of a session to run.

    :ivar position: first position of the span
    :ivar prompt: text, for the first layer range only
    :ivar tokens: token ids after the prompt, first layer range only
    :ivar activations: input of later layer ranges
    :ivar last_stage: whether to sample a token
    :ivar prompt_tokens: token count of the prompt, 0 while unknown
    :ivar truncate: whether to drop the KV cache after the position
    :ivar layers: expected layer range, so that an engine that holds another
        one refuses the step; None to skip the check
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
    """Result of one step.

    :ivar count: number of positions that ran
    :ivar error: error code of the engine, empty on success
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
    """Load as the engine reports it, with a delay."""

    running: _Count = 0
    queued: _Count = 0
    kv_usage: _Amount = 0.0
    kv_tokens: _Count = 0
    step_seconds: _Amount = 0.0
    tokens_per_second: _Amount = 0.0


@attrs.frozen
class EngineHolding:
    """Model and layer range that the engine has loaded.

    :ivar layer_count: number of layers of the complete model, 0 if unknown
    :ivar fence: highest fencing token that the engine has seen
    :ivar loading: whether the engine is executing an order
    """

    model: str = ''
    version: str = ''
    layer_start: _Layer = 0
    layer_end: _Layer = 0
    layer_count: _Layer = 0
    fence: _Fence = 0
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


def _decode_state(body: bytes) -> bytes:
    return base64.b64decode(json.loads(body)['state'])


def _decode(
    body: bytes, decode: Callable[[bytes], Any]
) -> result.Result[Any, EngineError]:
    """Decode the body of an answer, which may hold anything."""
    try:
        return result.Ok(decode(body))
    except _INVALID_BODY as error:
        detail = f'invalid answer: {type(error).__name__}'
        return result.Err(EngineError(detail))


class Engine:
    """Client of one engine, with pooled connections."""

    def __init__(
        self, url: str, short_timeout: float = SHORT_TIMEOUT_SECONDS
    ) -> None:
        """Create a client; connections are opened on demand.

        :param url: base address, such as ``http://127.0.0.1:8000``
        :param short_timeout: time-out in seconds for connecting and for calls
            with a short answer
        """
        self._url = url.rstrip('/')
        self._short_timeout = short_timeout
        self._pool = self._make_pool(MAX_CONNECTIONS)

    def _make_pool(self, size: int) -> urllib3.HTTPConnectionPool:
        return boundedhttp.build_pool(self._url, maxsize=size)

    def reset_connections(self) -> None:
        """Close the idle connections and start with an empty pool."""
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
        limit: int = MAX_SHORT_ANSWER_BYTES,
    ) -> result.Result[bytes, EngineError]:
        """Call the engine.

        :param limit: largest answer in bytes
        :param new_connection: whether to avoid pooled connections, as an idle
            one may be dead
        """
        if not new_connection:
            return self._request(
                self._pool, method, path, body, seconds, _JSON_HEADERS, limit
            )
        # The engine closes this connection after its answer, so it is kept
        # out of the shared pool.
        with self._make_pool(1) as pool:
            return self._request(
                pool, method, path, body, seconds, _JSON_CLOSE_HEADERS, limit
            )

    def _request(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        path: str,
        body: Any,
        seconds: float,
        headers: dict[str, str],
        limit: int,
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
                preload_content=False,
            )
            content = bodies.read(answer, limit, seconds)
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
        return result.Ok(content)

    def run_steps(
        self,
        steps: list[Step],
        seconds: float,
        *,
        new_connection: bool = False,
    ) -> result.Result[list[StepResult], EngineError]:
        """Run steps in one call, which returns once all have run.

        :param seconds: time-out of the call
        :param new_connection: whether to avoid pooled connections
        """
        body = {'steps': [_encode_step(step) for step in steps]}
        called = self._call(
            'POST',
            '/v1/steps',
            body,
            seconds,
            new_connection=new_connection,
            limit=MAX_ANSWER_BYTES,
        )
        if called.is_err():
            return called
        return _decode(called.ok_value, _decode_results)

    def free(self, session: str) -> result.Result[None, EngineError]:
        """Free a session's KV cache; unknown sessions are no error.

        The call is idempotent, so it is retried once over a new connection
        when a pooled one has failed.
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
        """Read the loaded layer range; status 404 if not supported."""
        return self._read_fields('/v1/holding', EngineHolding)

    def read(self, path: str) -> result.Result[bytes, EngineError]:
        """Read a resource of the engine over a new connection.

        :param path: path and query
        """
        return self._call(
            'GET', path, None, self._short_timeout, new_connection=True
        )

    def _read_fields(
        self, path: str, kind: type
    ) -> result.Result[Any, EngineError]:
        called = self.read(path)
        if called.is_err():
            return called
        return _decode(
            called.ok_value, lambda body: msgspec.json.decode(body, type=kind)
        )

    def check_health(self) -> result.Result[None, EngineError]:
        """Call the health check of the engine."""
        called = self._call(
            'GET', '/healthz', None, self._short_timeout, new_connection=True
        )
        return called.map(lambda _: None)

    def export_session(
        self, session: str
    ) -> result.Result[bytes, EngineError]:
        """Export the KV cache of a session."""
        path = f'/v1/sessions/{_quote(session)}/export'
        called = self._call(
            'POST', path, {}, TRANSFER_TIMEOUT_SECONDS, limit=MAX_ANSWER_BYTES
        )
        if called.is_err():
            return called
        return _decode(called.ok_value, _decode_state)

    def import_session(
        self, session: str, state: bytes
    ) -> result.Result[None, EngineError]:
        """Import a KV cache that another engine exported for the session."""
        path = f'/v1/sessions/{_quote(session)}/import'
        body = {'state': base64.b64encode(state).decode()}
        return self._call('POST', path, body, TRANSFER_TIMEOUT_SECONDS).map(
            lambda _: None
        )

    def send_order(
        self, fence: int, holding: EngineHolding, seconds: float
    ) -> result.Result[None, EngineError]:
        """Order the engine to load layers; it answers once they are loaded.

        :param fence: fencing token of the order
        :param holding: model, version and layers
        :param seconds: time-out of loading
        :returns: an error with ``STALE_FENCE_STATUS`` if the engine has seen
            a higher fencing token
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
