"""Parsing and validation of callers' requests."""

import hashlib
import re
from typing import Annotated, Any, Mapping

import attrs
import msgspec
import result

from dunlintide_core import outcomes

__all__ = [
    'Completion',
    'ServiceCall',
    'compute_fingerprint',
    'estimate_tokens',
    'parse_completion',
    'read_body',
    'validate_idempotency_key',
]

MAX_BODY_BYTES = 1 << 20
MAX_PROMPT_CHARS = 512 << 10
MAX_TOKENS = 8192
DEFAULT_MAX_TOKENS = 256
MAX_KEY_LENGTH = 255
MAX_NAME_LENGTH = 128
MAX_PRIORITY = 3
_FINGERPRINT_BYTES = 16
_CHARS_PER_TOKEN = 4
_KEY_PATTERN = re.compile(r'[\x21-\x7e]+')

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
_TokenCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _CompletionBody(msgspec.Struct, kw_only=True):
    model: _Name
    max_tokens: _TokenCount | None = None
    max_completion_tokens: _TokenCount | None = None
    stream: bool = False
    stream_options: _StreamOptions | None = None
    n: Annotated[int, msgspec.Meta(ge=1, le=1)] = 1
    adapter: str = ''


class _PromptBody(_CompletionBody, kw_only=True):
    prompt: Annotated[str, msgspec.Meta(min_length=1)]


class _Part(msgspec.Struct):
    type: str
    text: str = ''


class _Message(msgspec.Struct):
    role: Annotated[str, msgspec.Meta(pattern='^[a-z]{1,32}$')]
    content: str | list[_Part] | None = None


class _ChatBody(_CompletionBody, kw_only=True):
    messages: Annotated[list[_Message], msgspec.Meta(min_length=1)]


@attrs.frozen
class Completion:
    """A request for generated text.

    :ivar max_tokens: maximum number of tokens to generate
    :ivar include_usage: whether a stream ends with the token usage
    :ivar chat: whether request and answer are in chat format
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool = False
    include_usage: bool = False
    chat: bool = False
    adapter: str = ''


@attrs.frozen
class ServiceCall:
    """A call of a plain service.

    :ivar path: path after ``/services/NAME``, with the query
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def _refuse(
    detail: str, code: outcomes.FailCode = outcomes.FailCode.BAD_REQUEST
) -> result.Err[outcomes.Refusal]:
    return result.Err(outcomes.refuse(code, detail))


def _join_content(content: str | list[_Part] | None) -> str:
    if isinstance(content, list):
        return ''.join(part.text for part in content)
    return content or ''


def _join_messages(messages: list[_Message]) -> str:
    lines = [f'{one.role}: {_join_content(one.content)}' for one in messages]
    return '\n'.join([*lines, 'assistant:'])


def _is_text(message: _Message) -> bool:
    if not isinstance(message.content, list):
        return True
    return all(part.type == 'text' for part in message.content)


def parse_completion(
    body: bytes, *, chat: bool
) -> result.Result[Completion, outcomes.Refusal]:
    """Parse the JSON body of a completion.

    :param chat: whether it holds messages rather than a prompt
    :returns: the request, or a refusal that names the faulty field
    """
    kind = _ChatBody if chat else _PromptBody
    try:
        parsed: Any = msgspec.json.decode(body, type=kind)
    except (
        msgspec.DecodeError,
        RecursionError,
        UnicodeDecodeError,
    ) as error:
        # msgspec's messages name types and paths but quote no values, so
        # they reveal no content of the request.
        return _refuse(str(error))
    if chat and not all(map(_is_text, parsed.messages)):
        return _refuse('only content parts of type "text" are supported')
    prompt = _join_messages(parsed.messages) if chat else parsed.prompt
    if len(prompt) > MAX_PROMPT_CHARS:
        detail = (
            f'the prompt has {len(prompt)} characters,'
            f' at most {MAX_PROMPT_CHARS} are allowed'
        )
        return _refuse(detail, outcomes.FailCode.TOO_LARGE)
    options = parsed.stream_options
    max_tokens = parsed.max_completion_tokens or parsed.max_tokens
    return result.Ok(
        Completion(
            model=parsed.model,
            prompt=prompt,
            max_tokens=max_tokens or DEFAULT_MAX_TOKENS,
            stream=parsed.stream,
            include_usage=options is not None and options.include_usage,
            chat=chat,
            adapter=parsed.adapter,
        )
    )


def read_body(
    environ: Mapping[str, Any],
) -> result.Result[bytes, outcomes.Refusal]:
    """Read a request's body.

    :returns: the body, or a refusal when it exceeds ``MAX_BODY_BYTES``
    """
    text = environ.get('CONTENT_LENGTH') or '0'
    if not text.isdigit():
        return _refuse('Content-Length is not a number')
    if int(text) > MAX_BODY_BYTES:
        return _refuse(
            f'the body exceeds {MAX_BODY_BYTES} bytes',
            outcomes.FailCode.TOO_LARGE,
        )
    body = environ['wsgi.input'].read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        return _refuse(
            f'the body exceeds {MAX_BODY_BYTES} bytes',
            outcomes.FailCode.TOO_LARGE,
        )
    return result.Ok(body)


def validate_idempotency_key(
    key: str | None,
) -> result.Result[str, outcomes.Refusal]:
    """Validate an ``Idempotency-Key``.

    :param key: the header's value, None when there was none
    :returns: the key, empty when there was none
    """
    if key is None:
        return result.Ok('')
    if len(key) > MAX_KEY_LENGTH or not _KEY_PATTERN.fullmatch(key):
        detail = (
            'Idempotency-Key must be 1 to '
            f'{MAX_KEY_LENGTH} printable characters without spaces'
        )
        return _refuse(detail)
    return result.Ok(key)


def compute_fingerprint(team: str, *parts: str | bytes) -> bytes:
    """Return a digest of a request's content and team.

    It includes the team, so that requests of two teams never match.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (team, *parts):
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, 'big'))
        digest.update(data)
    return digest.digest()


def estimate_tokens(prompt: str) -> int:
    """Estimate a prompt's size in tokens from its length."""
    return len(prompt) // _CHARS_PER_TOKEN + 1
