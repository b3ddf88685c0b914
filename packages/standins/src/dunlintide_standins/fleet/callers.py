"""Callers of the platform that send and read raw HTTP/1.1."""

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
        """
        status = int(self._read_line().split()[1])
        headers = {}
        while line := self._read_line().strip():
            name, _, value = line.decode('latin-1').partition(':')
            headers[name.lower()] = value.strip()
        return status, headers

    def _read_line(self) -> bytes:
        """Read a line with its end.

        :raises ConnectionResetError: if the connection closes first
        """
        line = self.file.readline()
        if not line.endswith(b'\n'):
            raise ConnectionResetError('connection closed within a response')
        return line

    def read_answer(self) -> Answer:
        """Read a response, which may be truncated within its body."""
        status, headers = self.read_head()
        body = bytearray()
        try:
            if headers.get('transfer-encoding') == 'chunked':
                while size := int(self._read_line(), 16):
                    body += self.file.read(size)
                    self._read_line()
                self._read_line()
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
