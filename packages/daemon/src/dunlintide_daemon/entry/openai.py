"""Answers in OpenAI's format, as JSON bodies or server-sent events."""

import json

import attrs
import msgspec

from dunlintide_core import outcomes
from dunlintide_daemon.entry import problems

__all__ = [
    'END_MARK',
    'HEARTBEAT',
    'CompletionRenderer',
    'list_models',
    'render_error_event',
]

# A comment, which clients skip. It shows that a slow stream is alive.
HEARTBEAT = b':\n\n'
END_MARK = b'data: [DONE]\n\n'
_CHUNK_KIND = {True: 'chat.completion.chunk', False: 'text_completion'}
_BODY_KIND = {True: 'chat.completion', False: 'text_completion'}
_ID_PREFIX = {True: 'chatcmpl-', False: 'cmpl-'}
_OWNER = 'dunlintide'
_encode = msgspec.json.Encoder().encode


def _encode_event(data: object) -> bytes:
    return b'data: ' + msgspec.json.encode(data) + b'\n\n'


def render_error_event(refusal: outcomes.Refusal, request_id: str) -> bytes:
    """Return the last event of an incomplete stream.

    No end mark follows it.
    """
    fields = problems.build_fields(refusal, request_id)
    fields['message'] = fields['detail']
    return b'event: error\n' + _encode_event({'error': fields})


def list_models(names: list[str]) -> bytes:
    """Return the JSON body of the list of models."""
    models = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': _OWNER}
        for name in names
    ]
    return msgspec.json.encode({'object': 'list', 'data': models})


@attrs.frozen
class CompletionRenderer:
    """Renders the answer of one completion.

    :ivar created: time of the request in seconds since the epoch
    :ivar chat: whether to answer in the format of chat completions
    :ivar token_prefix: encoded event up to the text of a token
    :ivar token_suffix: encoded event after the text of a token
    """

    request_id: str
    model: str
    created: int
    chat: bool
    token_prefix: bytes = attrs.field(init=False)
    token_suffix: bytes = attrs.field(init=False)

    @token_prefix.default
    def _build_token_prefix(self) -> bytes:
        head = json.dumps(self._build_head(_CHUNK_KIND[self.chat]))[:-1]
        field = '"delta":{"content":' if self.chat else '"text":'
        return f'data: {head},"choices":[{{"index":0,{field}'.encode()

    @token_suffix.default
    def _build_token_suffix(self) -> bytes:
        closing = b'}' if self.chat else b''
        return closing + b',"finish_reason":null}]}\n\n'

    def _build_head(self, kind: str) -> dict[str, object]:
        return {
            'id': _ID_PREFIX[self.chat] + self.request_id,
            'object': kind,
            'created': self.created,
            'model': self.model,
        }

    def _build_usage(self, prompt: int, tokens: int) -> dict[str, int]:
        return {
            'prompt_tokens': prompt,
            'completion_tokens': tokens,
            'total_tokens': prompt + tokens,
        }

    def render_token(self, text: str) -> bytes:
        """Return the event of one token.

        It is concatenated from parts that are encoded once for each
        completion, as this runs for each token.
        """
        return self.token_prefix + _encode(text) + self.token_suffix

    def render_end(
        self,
        finish_reason: str,
        prompt_tokens: int,
        tokens: int,
        *,
        include_usage: bool,
    ) -> bytes:
        """Return the last events of a complete stream and its end mark."""
        chunk = self._build_head(_CHUNK_KIND[self.chat])
        choice: dict[str, object] = {'index': 0}
        choice |= {'delta': {}} if self.chat else {'text': ''}
        choice['finish_reason'] = finish_reason
        data = _encode_event(chunk | {'choices': [choice]})
        if include_usage:
            usage = self._build_usage(prompt_tokens, tokens)
            data += _encode_event(chunk | {'choices': [], 'usage': usage})
        return data + END_MARK

    def render_body(
        self, text: str, finish_reason: str, prompt_tokens: int, tokens: int
    ) -> bytes:
        """Return the JSON body of a complete answer."""
        choice: dict[str, object] = {'index': 0}
        if self.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        choice['finish_reason'] = finish_reason
        body = self._build_head(_BODY_KIND[self.chat])
        body['choices'] = [choice]
        body['usage'] = self._build_usage(prompt_tokens, tokens)
        return msgspec.json.encode(body)
