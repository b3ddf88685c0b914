"""What one request asks for, whatever it was written in."""

import attrs

__all__ = ['CallerRequest']


@attrs.frozen
class CallerRequest:
    """A request as the decisions see it.

    :ivar name: the caller's id of this attempt
    :ivar host: host name asked, without a port
    :ivar path: path without the query
    :ivar key_digest: SHA-256 of the caller's key in lower-case hex, empty
        if it sent none
    :ivar patience: seconds that the caller waits, None if it did not say
    :ivar model: model asked for, empty for a plain call
    :ivar prompt: prompt tokens
    :ivar answer: most tokens of the answer
    :ivar hint: the caller's estimate of the tokens of its answer, 0 for
        none
    :ivar prefix: names of the parts of its prompt, as sent
    :ivar after: last event that the caller has, None from the start
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
    after: str | None = None
