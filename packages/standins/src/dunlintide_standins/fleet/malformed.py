"""Answers that are not HTTP/1.1 at one place, and sound otherwise."""

import enum

import attrs

__all__ = ['Malformed', 'WITHIN_BODY']

_STATUS_LINE = b'HTTP/1.1 200 OK'


@attrs.frozen
class _Pattern:
    """Parts of an answer.

    :ivar before: what precedes the status line
    :ivar fields: lines of further header fields
    :ivar framing: lines of the header fields that frame the body, with ``%d``
        for its length; None for a sound length
    :ivar body: the body with its framing, with ``%b`` for its bytes and
        ``%x`` for its length; None for the bytes alone
    """

    before: bytes = b''
    status_line: bytes = _STATUS_LINE
    fields: bytes = b''
    framing: bytes | None = None
    body: bytes | None = None


def _spoil_status(status: bytes) -> _Pattern:
    return _Pattern(status_line=b'HTTP/1.1 %b Odd' % status)


def _spoil_version(version: bytes) -> _Pattern:
    return _Pattern(status_line=version + b' 200 OK')


def _spoil_reason(byte: bytes) -> _Pattern:
    return _Pattern(status_line=b'HTTP/1.1 200 O%bK' % byte)


def _add_field(line: bytes) -> _Pattern:
    return _Pattern(fields=line + b'\r\n')


def _frame(framing: bytes) -> _Pattern:
    return _Pattern(framing=framing + b'\r\n')


def _interject(head: bytes) -> _Pattern:
    return _Pattern(before=head + b'\r\n\r\n')


def _chunk(before: bytes, after: bytes) -> _Pattern:
    """Send a body in chunks.

    :param before: line before the first chunk
    :param after: what comes behind it
    """
    framing = b'Transfer-Encoding: chunked\r\n'
    return _Pattern(framing=framing, body=before + b'\r\n%b' + after)


_END = b'\r\n0\r\n\r\n'


class Malformed(enum.Enum):
    """Where an answer is malformed."""

    STATUS_000 = 'a status of 000'
    STATUS_099 = 'a status of 099'
    STATUS_600 = 'a status of 600'
    STATUS_999 = 'a status of 999'
    STATUS_SHORT = 'a status of two digits'
    STATUS_LONG = 'a status of four digits'
    STATUS_SIGN = 'a status with a sign'
    STATUS_BLANK = 'a blank status'
    UPGRADE = 'an upgrade that nobody asked for'
    VERSION_0 = 'version 0.9'
    VERSION_2 = 'version 2.0'
    VERSION_9 = 'version 9.9'
    OTHER_PROTOCOL = 'another protocol'
    BLANK_LINE_START = 'a blank before the status line'
    REASON_00 = 'the byte 00 in the reason'
    REASON_01 = 'the byte 01 in the reason'
    REASON_7F = 'the byte 7f in the reason'
    REASON_CR = 'a bare CR in the reason'
    NAME_BLANK = 'a blank in a field name'
    NAME_TAB = 'a tab in a field name'
    NAME_BLANK_END = 'a blank behind a field name'
    NAME_00 = 'the byte 00 in a field name'
    NAME_01 = 'the byte 01 in a field name'
    NAME_7F = 'the byte 7f in a field name'
    NAME_80 = 'the byte 80 in a field name'
    NAME_PAREN = 'a parenthesis in a field name'
    NAME_EMPTY = 'an empty field name'
    NO_COLON = 'a field without a colon'
    LENGTH_NAME = 'a blank behind the name Content-Length'
    CODING_NAME = 'a blank in the name Transfer-Encoding'
    VALUE_00 = 'the byte 00 in a value'
    VALUE_01 = 'the byte 01 in a value'
    VALUE_CR = 'a bare CR in a value'
    VALUE_FOLD = 'a folded line'
    LENGTH_SIGN = 'a length with a sign'
    LENGTH_LIST = 'a list of lengths'
    LENGTH_TWICE = 'two lengths'
    LENGTH_HUGE = 'a length of 400 digits'
    LENGTH_AND_CHUNKS = 'a length beside chunks'
    CODING_GZIP = 'a transfer coding of gzip'
    CODING_LIST = 'two transfer codings'
    CODING_TWICE = 'chunks of chunks'
    INTERIM_STATUS = 'an interim answer with a status of 099'
    INTERIM_REASON = 'an interim answer with the byte 01 in its reason'
    INTERIM_NAME = 'an interim answer with a blank in a field name'
    CHUNK_SIGN = 'a chunk size with a sign'
    CHUNK_PREFIX = 'a chunk size with a prefix'
    CHUNK_BLANK = 'a blank before a chunk size'
    CHUNK_HUGE = 'a chunk size of 40 digits'
    CHUNK_EXTENSION = 'the byte 01 in a chunk extension'
    CHUNK_END = 'a chunk without its end'
    TRAILER_NAME = 'a blank in the name of a trailer'
    TRAILER_NO_COLON = 'a trailer without a colon'

    def encode(self, fields: dict[str, str], body: bytes) -> bytes:
        """Encode a whole answer.

        :param fields: sound header fields
        """
        pattern = _PATTERNS[self]
        framing, framed = pattern.framing, body
        if framing is None:
            framing = b'Content-Length: %d\r\n' % len(body)
        if pattern.body is not None:
            framed = pattern.body.replace(b'%x', b'%x' % len(body))
            framed = framed.replace(b'%b', body)
        sound = ''.join(f'{key}: {value}\r\n' for key, value in fields.items())
        return b''.join(
            (
                pattern.before,
                pattern.status_line + b'\r\n',
                sound.encode('latin-1'),
                pattern.fields,
                framing.replace(b'%d', b'%d' % len(body)),
                b'\r\n',
                framed,
            )
        )


_PATTERNS = {
    Malformed.STATUS_000: _spoil_status(b'000'),
    Malformed.STATUS_099: _spoil_status(b'099'),
    Malformed.STATUS_600: _spoil_status(b'600'),
    Malformed.STATUS_999: _spoil_status(b'999'),
    Malformed.STATUS_SHORT: _spoil_status(b'20'),
    Malformed.STATUS_LONG: _spoil_status(b'2000'),
    Malformed.STATUS_SIGN: _spoil_status(b'-20'),
    Malformed.STATUS_BLANK: _spoil_status(b'   '),
    Malformed.UPGRADE: _Pattern(
        status_line=b'HTTP/1.1 101 Switching Protocols',
        fields=b'Connection: upgrade\r\nUpgrade: other\r\n',
    ),
    Malformed.VERSION_0: _spoil_version(b'HTTP/0.9'),
    Malformed.VERSION_2: _spoil_version(b'HTTP/2.0'),
    Malformed.VERSION_9: _spoil_version(b'HTTP/9.9'),
    Malformed.OTHER_PROTOCOL: _spoil_version(b'RTSP/1.0'),
    Malformed.BLANK_LINE_START: _spoil_version(b' HTTP/1.1'),
    Malformed.REASON_00: _spoil_reason(b'\x00'),
    Malformed.REASON_01: _spoil_reason(b'\x01'),
    Malformed.REASON_7F: _spoil_reason(b'\x7f'),
    Malformed.REASON_CR: _spoil_reason(b'\r'),
    Malformed.NAME_BLANK: _add_field(b'X Odd: 1'),
    Malformed.NAME_TAB: _add_field(b'X\tOdd: 1'),
    Malformed.NAME_BLANK_END: _add_field(b'X-Odd : 1'),
    Malformed.NAME_00: _add_field(b'X\x00Odd: 1'),
    Malformed.NAME_01: _add_field(b'X\x01Odd: 1'),
    Malformed.NAME_7F: _add_field(b'X\x7fOdd: 1'),
    Malformed.NAME_80: _add_field(b'X\x80Odd: 1'),
    Malformed.NAME_PAREN: _add_field(b'X(Odd: 1'),
    Malformed.NAME_EMPTY: _add_field(b': 1'),
    Malformed.NO_COLON: _add_field(b'X-Odd'),
    Malformed.LENGTH_NAME: _frame(b'Content-Length : %d'),
    Malformed.CODING_NAME: _Pattern(
        framing=b'Transfer Encoding: chunked\r\n', body=b'%x\r\n%b' + _END
    ),
    Malformed.VALUE_00: _add_field(b'X-Odd: a\x00b'),
    Malformed.VALUE_01: _add_field(b'X-Odd: a\x01b'),
    Malformed.VALUE_CR: _add_field(b'X-Odd: a\rb'),
    Malformed.VALUE_FOLD: _add_field(b'X-Odd: a\r\n b'),
    Malformed.LENGTH_SIGN: _frame(b'Content-Length: +%d'),
    Malformed.LENGTH_LIST: _frame(b'Content-Length: %d, 2'),
    Malformed.LENGTH_TWICE: _frame(b'Content-Length: %d\r\nContent-Length: 2'),
    Malformed.LENGTH_HUGE: _frame(b'Content-Length: ' + b'9' * 400),
    Malformed.LENGTH_AND_CHUNKS: _Pattern(
        framing=b'Content-Length: %d\r\nTransfer-Encoding: chunked\r\n',
        body=b'%x\r\n%b' + _END,
    ),
    Malformed.CODING_GZIP: _frame(b'Transfer-Encoding: gzip'),
    Malformed.CODING_LIST: _Pattern(
        framing=b'Transfer-Encoding: gzip, chunked\r\n',
        body=b'%x\r\n%b' + _END,
    ),
    Malformed.CODING_TWICE: _Pattern(
        framing=b'Transfer-Encoding: chunked\r\n' * 2,
        body=b'%x\r\n%b' + _END,
    ),
    Malformed.INTERIM_STATUS: _interject(b'HTTP/1.1 099 Odd'),
    Malformed.INTERIM_REASON: _interject(b'HTTP/1.1 103 Ea\x01rly'),
    Malformed.INTERIM_NAME: _interject(b'HTTP/1.1 103 Early\r\nX Odd: 1'),
    Malformed.CHUNK_SIGN: _chunk(b'+%x', _END),
    Malformed.CHUNK_PREFIX: _chunk(b'0x%x', _END),
    Malformed.CHUNK_BLANK: _chunk(b' %x', _END),
    Malformed.CHUNK_HUGE: _chunk(b'9' * 40, _END),
    Malformed.CHUNK_EXTENSION: _chunk(b'%x;a=\x01', _END),
    Malformed.CHUNK_END: _chunk(b'%x', b'XX0\r\n\r\n'),
    Malformed.TRAILER_NAME: _chunk(b'%x', b'\r\n0\r\nX Odd: 1\r\n\r\n'),
    Malformed.TRAILER_NO_COLON: _chunk(b'%x', b'\r\n0\r\nX-Odd\r\n\r\n'),
}

# Kinds whose head is sound, so that a stream has begun.
WITHIN_BODY = (
    Malformed.CHUNK_SIGN,
    Malformed.CHUNK_PREFIX,
    Malformed.CHUNK_BLANK,
    Malformed.CHUNK_HUGE,
    Malformed.CHUNK_EXTENSION,
    Malformed.CHUNK_END,
    Malformed.TRAILER_NAME,
    Malformed.TRAILER_NO_COLON,
)
