"""Attributes of a caller's request, independent of its encoding."""

import attrs

__all__ = ['CallerRequest']


@attrs.frozen
class CallerRequest:
    """A decoded caller request, as the routing decisions read it.

    :ivar name: the caller's id of this attempt
    :ivar host: requested host name, without a port
    :ivar path: path without the query
    :ivar method: HTTP method
    :ivar key_digest: SHA-256 of the caller's API key in lower-case hex, empty
        if the request carries none
    :ivar patience: the caller's deadline in seconds from arrival, None if it
        names none
    :ivar model: requested model, empty for a plain call
    :ivar prompt: length of the prompt, in tokens
    :ivar answer: maximum length of the answer, in tokens
    :ivar hint: the caller's estimate of the length of the answer, in tokens, 0
        for none
    :ivar prefix: names of the prompt's prefix parts, as sent
    :ivar shared_parts: ids of the prompt's parts that other requests may
        have too, in order
    :ivar after: id of the last event that the caller has received, None to
        stream from the start
    """

    name: str
    host: str
    path: str
    method: str
    key_digest: str = ''
    patience: float | None = None
    model: str = ''
    prompt: int = 0
    answer: int = 0
    hint: int = 0
    prefix: str = ''
    shared_parts: tuple[str, ...] = ()
    after: str | None = None
