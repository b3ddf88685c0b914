"""Callers of the platform that send and read raw HTTP/1.1.

They take no answer that departs from it.
"""

import re
import socket
from typing import Sequence

import attrs

from dunlintide_standins.fleet import operators

__all__ = [
    'Answer',
    'Caller',
    'build_request',
    'build_stream',
]

WAIT_SECONDS = 10
_STATUS_LINE = re.compile(
    rb'HTTP/1\.1 ([1-5][0-9]{2}) ([\t -~\x80-\xff]*)\r\n'
)
_FIELD_LINE = re.compile(
    rb"([!#-'*+\-.0-9A-Z^_`a-z|~]+):([\t -~\x80-\xff]*)\r\n"
)
_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,8})\r\n')
_LENGTH = re.compile(r'[0-9]{1,9}')
_FRAMING = {'content-length', 'transfer-encoding'}
_SWITCHING_PROTOCOLS = 101


def _match(pattern: re.Pattern, line: bytes) -> re.Match:
    match = pattern.fullmatch(line)
    if match is None:
        raise ValueError(f'malformed line {line!r}')
    return match


@attrs.frozen
class Answer:
    """A response as received.

    :ivar headers: headers by lower-case name
    :ivar is_complete: whether the body ended as its framing announced
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class Caller:
    """A connection that sends raw bytes and reads responses."""

    def __init__(self, address: str) -> None:
        """Connect.

        :param address: ``host:port``
        :raises OSError: if the connection fails
        """
        host, _, port = address.rpartition(':')
        self.socket = socket.create_connection((host, int(port)))
        self.socket.settimeout(WAIT_SECONDS)
        self.file = self.socket.makefile('rb')

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.socket.sendall(data)

    def read_head(self) -> tuple[int, dict[str, str]]:
        """Read the status and the headers of a response.

        :raises ConnectionResetError: if the connection closes first
        :raises ValueError: if the head is malformed
        """
        status = int(_match(_STATUS_LINE, self._read_line())[1])
        if status == _SWITCHING_PROTOCOLS:
            raise ValueError(f'status {status}')
        headers = {}
        while (line := self._read_line()) != b'\r\n':
            match = _match(_FIELD_LINE, line)
            name, value = match[1].decode().lower(), match[2].decode('latin-1')
            if name in headers and name in _FRAMING:
                raise ValueError(f'two headers {name}')
            headers[name] = value.strip()
        if headers.get('transfer-encoding', 'chunked') != 'chunked' or (
            len(_FRAMING & headers.keys()) > 1
        ):
            raise ValueError(f'framing {headers}')
        if not _LENGTH.fullmatch(headers.get('content-length', '0')):
            raise ValueError(f'length {headers["content-length"]}')
        return status, headers

    def _read_line(self) -> bytes:
        """Read a line with its end.

        :raises ConnectionResetError: if the connection closes first
        """
        line = self.file.readline()
        if not line.endswith(b'\n'):
            raise ConnectionResetError('connection closed within a response')
        return line

    def _read_chunk_size(self) -> int:
        return int(_match(_CHUNK_LINE, self._read_line())[1], 16)

    def _read_end(self) -> None:
        """Read the end of a chunk, or of a body without trailers."""
        line = self._read_line()
        if line != b'\r\n':
            raise ValueError(f'{line!r} behind a chunk')

    def read_answer(self) -> Answer:
        """Read a response, which may be truncated within its body.

        :raises ConnectionResetError: if the connection closes before
        :raises ValueError: if the head is malformed
        """
        status, headers = self.read_head()
        body = bytearray()
        try:
            if headers.get('transfer-encoding') == 'chunked':
                while size := self._read_chunk_size():
                    body += self.file.read(size)
                    self._read_end()
                self._read_end()
            elif 'content-length' in headers:
                length = int(headers['content-length'])
                body += self.file.read(length)
                if len(body) < length:
                    return Answer(status, headers, bytes(body), False)
        except (OSError, ValueError):
            return Answer(status, headers, bytes(body), False)
        return Answer(status, headers, bytes(body), True)

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.socket.close()


def build_request(
    name: str,
    path: str,
    method: str = 'POST',
    body: bytes = b'',
    key: str | None = operators.KEY,
    **headers: str,
) -> bytes:
    """Build a request; underscores in header names become dashes.

    :param name: value of ``Attempt-Id``
    :param key: API key, None for a request without one
    """
    fields = {
        'Host': operators.HOST,
        'Attempt-Id': name,
        'Deadline-Ms': '8000',
        'Content-Length': str(len(body)),
    }
    if key:
        fields['Authorization'] = f'Bearer {key}'
    for field, value in headers.items():
        fields[field.replace('_', '-')] = value
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{field}: {value}' for field, value in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def build_stream(
    name: str,
    count: int,
    parts: Sequence[str] = ('5c',),
    body: bytes = b'a prompt',
    key: str = operators.KEY,
    path: str = '/copy/x',
    **headers: str,
) -> bytes:
    """Build a request for a stream of ``count`` events.

    :param parts: ids of the parts of its prompt, at least one
    :param headers: further headers
    """
    tokens = 100 // len(parts)
    return build_request(
        name,
        path,
        body=body,
        key=key,
        Model='m0',
        Token_Count=f'{tokens * len(parts)},{count}',
        Prefix_Hash=','.join(f'{part}:{tokens}' for part in parts),
        **headers,
    )
