"""HTTP client of trials for completions and calls of plain services."""

import json
import time
from typing import Any, Iterator

import attrs
import urllib3

from dunlintide_adapters import boundedhttp
from dunlintide_core import outcomes

__all__ = ['Answer', 'Caller', 'LOST', 'TRUNCATED']

# Outcomes that the client adds to those that the router reports.
LOST = 'lost'  # the connection failed before a response arrived
TRUNCATED = 'truncated'  # a stream ended without its end marker

_END_MARKER = '[DONE]'
_OUTCOME_HEADER = 'Dunlintide-Outcome'
_REQUEST_ID_HEADER = 'X-Request-Id'
_READ_BYTES = 1 << 16
_CONNECT_SECONDS = 5.0
_READ_SECONDS = 90.0
_MAX_CONNECTIONS = 64


@attrs.define
class Answer:
    """Response to a request, as its caller sees it.

    :ivar status: HTTP status, 0 when the connection failed before it
    :ivar outcome: an ``outcomes.Outcome``, ``LOST`` or ``TRUNCATED``
    :ivar request_id: request id from the router, empty when unknown
    :ivar texts: texts of the tokens of a stream, in order
    :ivar text: complete text of a completion
    :ivar body: body of a response that was not streamed
    :ivar times: monotonic time of each token in seconds
    :ivar started: monotonic time of the request in seconds
    :ivar ended: monotonic time of the end of the response in seconds
    :ivar error: problem details, or the error event of a stream
    """

    status: int = 0
    outcome: str = LOST
    request_id: str = ''
    texts: list[str] = attrs.field(factory=list)
    text: str = ''
    body: bytes = b''
    times: list[float] = attrs.field(factory=list)
    started: float = 0.0
    ended: float = 0.0
    error: dict[str, Any] | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the response arrived complete."""
        return self.outcome == outcomes.Outcome.COMPLETE

    @property
    def code(self) -> str:
        """Error code of the response, empty without an error."""
        return str((self.error or {}).get('code', ''))


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    rest = b''
    while chunk := response.read1(_READ_BYTES):
        *lines, rest = (rest + chunk).split(b'\n')
        for line in lines:
            yield line.decode()


def _read_text(choice: dict[str, Any]) -> str:
    if 'delta' in choice:
        return choice['delta'].get('content') or ''
    if 'message' in choice:
        return choice['message']['content']
    return choice.get('text') or ''


def _handle_event(answer: Answer, line: str) -> None:
    data = line.removeprefix('data: ')
    if data == _END_MARKER:
        answer.outcome = outcomes.Outcome.COMPLETE
        return
    event = json.loads(data)
    if 'error' in event:
        answer.error = event['error']
        answer.outcome = event['error']['outcome']
        return
    for choice in event['choices']:
        text = _read_text(choice)
        if text:
            answer.texts.append(text)
            answer.times.append(time.monotonic())


def _read_stream(answer: Answer, response: urllib3.BaseHTTPResponse) -> None:
    answer.outcome = TRUNCATED
    for line in _read_lines(response):
        if line.startswith('data: '):
            _handle_event(answer, line)
    answer.text = ''.join(answer.texts)


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        parsed = json.loads(body)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}


def _read_body(answer: Answer, response: urllib3.BaseHTTPResponse) -> None:
    answer.body = response.read()
    outcome = response.headers.get(_OUTCOME_HEADER)
    answer.outcome = outcome or outcomes.Outcome.COMPLETE
    parsed = _parse_object(answer.body)
    if answer.outcome != outcomes.Outcome.COMPLETE:
        answer.error = parsed
    elif parsed.get('choices'):
        answer.text = _read_text(parsed['choices'][0])


def _read_answer(answer: Answer, response: urllib3.BaseHTTPResponse) -> None:
    answer.status = response.status
    answer.request_id = response.headers.get(_REQUEST_ID_HEADER, '')
    content_type = response.headers.get('Content-Type', '')
    if content_type.startswith('text/event-stream'):
        _read_stream(answer, response)
    else:
        _read_body(answer, response)


class Caller:
    """Sends requests to one entry with one team's key."""

    def __init__(
        self, url: str, key: str, *, read_seconds: float = _READ_SECONDS
    ) -> None:
        """Set the entry and the key; connections open on first use.

        :param url: base URL of the entry
        :param key: bearer key
        :param read_seconds: read timeout in seconds
        """
        self.url = url
        self._headers = {'Authorization': f'Bearer {key}'}
        timeout = urllib3.Timeout(connect=_CONNECT_SECONDS, read=read_seconds)
        # Without retries each request of a trial arrives at most once.
        self._pool = boundedhttp.build_pool(
            url, is_stream=True, maxsize=_MAX_CONNECTIONS, timeout=timeout
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        answer: Answer | None = None,
    ) -> Answer:
        """Send a request and read its response.

        :param path: path relative to the entry's URL
        :param headers: headers in addition to the authorization
        :param answer: object to fill in place, so that another thread can
            follow the response; None for a new one
        """
        answer = Answer() if answer is None else answer
        answer.started = time.monotonic()
        try:
            response = self._pool.request(
                method,
                path,
                body=body,
                redirect=False,
                headers=self._headers | (headers or {}),
                preload_content=False,
            )
            try:
                _read_answer(answer, response)
            finally:
                # A connection with a broken stream must not be reused.
                response.close()
        except (urllib3.exceptions.HTTPError, OSError):
            if answer.outcome == outcomes.Outcome.COMPLETE:
                answer.outcome = TRUNCATED
        answer.ended = time.monotonic()
        return answer

    def complete(
        self,
        prompt: str,
        *,
        model: str,
        max_tokens: int = 16,
        stream: bool = False,
        idempotency_key: str | None = None,
        answer: Answer | None = None,
    ) -> Answer:
        """Request a completion.

        :param answer: see ``send``
        """
        request = {
            'model': model,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': stream,
        }
        headers = {'Content-Type': 'application/json'}
        if idempotency_key is not None:
            headers['Idempotency-Key'] = idempotency_key
        body = json.dumps(request).encode()
        path = '/v1/completions'
        return self.send('POST', path, body, headers, answer)

    def call_service(
        self,
        service: str,
        path: str,
        *,
        method: str = 'GET',
        body: bytes | None = None,
        idempotency_key: str | None = None,
    ) -> Answer:
        """Call a plain service.

        :param path: path within the service, with a leading slash
        """
        headers = {'Content-Type': 'application/json'}
        if idempotency_key is not None:
            headers['Idempotency-Key'] = idempotency_key
        return self.send(method, f'/services/{service}{path}', body, headers)
