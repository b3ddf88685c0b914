"""Syntax of the answers of HTTP/1.1, by RFC 9110 and RFC 9112.

The parsers of the HTTP libraries accept some answers that are none. Neither
the meaning nor the length of such an answer is known, so that nothing of it
may be used.
"""

import re
from typing import Iterable

__all__ = [
    'find_field_fault',
    'find_framing_fault',
    'find_status_fault',
    'find_status_line_fault',
    'parse_chunk_size',
]

Headers = Iterable[tuple[str, str]]

# Range of valid statuses, by RFC 9110, section 15.
MIN_STATUS = 100
MAX_STATUS = 599
_SWITCHING_PROTOCOLS = 101
_VERSIONS = ('1.0', '1.1')
_TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
_REASON = re.compile(_TEXT)
_STATUS_LINE = re.compile(
    rb'HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: (' + _TEXT + rb'))?\r?\n'
)
_FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT + rb'\r?\n')
_CHUNK_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,15})(?:[\t ]*;' + _TEXT + rb')?\r\n'
)
# More digits than any length has are refused before they are converted.
_LENGTH = re.compile(r'[0-9]{1,18}')


def find_status_fault(version: str, status: int, reason: bytes) -> str | None:
    """Find what makes a status line invalid, None if it is valid.

    :param version: version of the protocol, such as ``1.1``
    """
    if version not in _VERSIONS:
        return f'version {version}'
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f'status {status:03}'
    if status == _SWITCHING_PROTOCOLS:
        return 'an upgrade that was not asked for'
    if not _REASON.fullmatch(reason):
        return 'control characters in the reason phrase'
    return None


def find_status_line_fault(line: bytes) -> str | None:
    """Find what makes a status line invalid, None if it is valid.

    :param line: with its end
    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        return 'an invalid status line'
    version, status, reason = match.groups(b'')
    return find_status_fault(version.decode(), int(status), reason)


def find_field_fault(line: bytes) -> str | None:
    """Find what makes the line of a header field invalid, None if valid.

    :param line: with its end
    """
    return None if _FIELD_LINE.fullmatch(line) else 'an invalid header line'


def parse_chunk_size(line: bytes) -> int | None:
    """Parse the line before a chunk.

    :param line: with its end
    :returns: size of the chunk in bytes, None for an invalid line
    """
    match = _CHUNK_LINE.fullmatch(line)
    return int(match[1], 16) if match else None


def find_framing_fault(headers: Headers) -> str | None:
    """Find why it is unclear where a body ends, None if it is clear.

    Requests ask for no transfer coding, so that only chunks may be used.

    :param headers: names in any case
    """
    codings, lengths = [], []
    for name, value in headers:
        lowered = name.lower()
        if lowered == 'transfer-encoding':
            codings.append(value.strip().lower())
        elif lowered == 'content-length':
            lengths.append(value.strip())
    if codings and lengths:
        return 'both a length and a transfer coding'
    if codings and codings != ['chunked']:
        return 'an unknown transfer coding'
    if len(lengths) > 1 or lengths and not _LENGTH.fullmatch(lengths[0]):
        return 'an invalid length'
    return None
