"""Bodies of answers, read up to a size and for a time.

A timeout of a read alone bounds neither: bytes may go on arriving.
"""

import time

import urllib3

__all__ = ['BodyError', 'MAX_SERVICE_ANSWER_BYTES', 'read']

# Largest answer of a plain service that is passed on, in bytes. Entries hold
# it whole, so that a caller gets either all of it or a refusal.
MAX_SERVICE_ANSWER_BYTES = 8 << 20

_READ_BYTES = 64 << 10


class BodyError(urllib3.exceptions.HTTPError):
    """A body that is too large or takes too long."""


def read(
    answer: urllib3.BaseHTTPResponse, limit: int, seconds: float
) -> bytes:
    """Read the body of an answer whose content was not preloaded.

    Its connection is kept only if the body was read to its end.

    :param limit: largest size in bytes
    :param seconds: longest time in seconds, beside that of one read
    :raises urllib3.exceptions.HTTPError: when the body is truncated, too large
        or takes too long
    """
    expires = time.monotonic() + seconds
    body = bytearray()
    is_whole = False
    try:
        while part := answer.read1(_READ_BYTES):
            body += part
            if len(body) > limit:
                raise BodyError(f'a body of over {limit} bytes')
            if time.monotonic() > expires:
                raise BodyError(f'a body that takes over {seconds} s')
        is_whole = True
    finally:
        if not is_whole:
            answer.close()
        answer.release_conn()
    return bytes(body)
