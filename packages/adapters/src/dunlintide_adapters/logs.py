"""Logs of a process: JSON lines, or plain text on a terminal.

Bearer keys are masked in the formatted line: text that follows ``Bearer``
or ``Authorization``, and each word for which the predicate set with
``mask_keys`` is true.
"""

import enum
import logging as standard_logging
import re
import sys
from typing import Callable

from absl import flags
from absl import logging
from pythonjsonlogger import json as json_logging

__all__ = [
    'Format',
    'MASK',
    'configure',
    'mask',
    'mask_keys',
]

MASK = '[masked]'
# Shorter words are not checked; callers' keys are longer.
MIN_KEY_CHARACTERS = 8

_TEXT_FORMAT = (
    '%(asctime)s %(levelname)s %(name)s %(filename)s:%(lineno)d %(message)s'
)
_JSON_FIELDS = '%(levelname)s %(filename)s %(lineno)d %(message)s'
_JSON_RENAMES = {
    'levelname': 'level',
    'filename': 'file',
    'lineno': 'line',
}
# Quotes may be escaped, since the pattern is applied to the formatted line. A
# header may appear as "Name: value", a JSON or Python pair or an assignment.
_QUOTE = r'(?:\\*["\'])?'
_AUTHORIZATION = re.compile(
    r'((?:proxy[-_])?authorization'
    + _QUOTE
    + r'\s*[:=,]\s*(?:b(?=\\*["\']))?'
    + _QUOTE
    + r')((?:\w+\s+)?[^\s"\'\\,}\])]+)',
    re.IGNORECASE,
)
_BEARER = re.compile(r'(\bbearer[\s:=]+)[^\s"\'\\,}\])]+', re.IGNORECASE)
_WORD = re.compile(r'[A-Za-z0-9._~+/=-]{%d,}' % MIN_KEY_CHARACTERS)

_is_key: Callable[[str], bool] | None = None


class Format(enum.StrEnum):
    """Format of log lines; auto means text on a terminal, else JSON."""

    AUTO = 'auto'
    JSON = 'json'
    TEXT = 'text'


def mask_keys(is_key: Callable[[str], bool] | None) -> None:
    """Mask each word of a log line for which ``is_key`` is true.

    :param is_key: for example, a check whether a word's SHA-256 is a known
        key hash; None masks by the surrounding text alone
    """
    global _is_key
    _is_key = is_key


def mask(text: str) -> str:
    """Replace bearer keys and Authorization values in a text."""
    text = _AUTHORIZATION.sub(rf'\1{MASK}', text)
    text = _BEARER.sub(rf'\1{MASK}', text)
    is_key = _is_key
    if is_key is None:
        return text
    return _WORD.sub(
        lambda found: MASK if is_key(found[0]) else found[0], text
    )


class _MaskingFormatter(standard_logging.Formatter):
    """Masks the formatted line, which includes tracebacks and extras."""

    def __init__(self, formatter: standard_logging.Formatter) -> None:
        super().__init__()
        self._formatter = formatter

    def format(self, record: standard_logging.LogRecord) -> str:
        return mask(self._formatter.format(record))


def _build_json_formatter(
    fields: dict[str, str],
) -> standard_logging.Formatter:
    return json_logging.JsonFormatter(
        _JSON_FIELDS,
        rename_fields=_JSON_RENAMES,
        static_fields=fields,
        timestamp=True,
    )


def _build_text_formatter(
    fields: dict[str, str],
) -> standard_logging.Formatter:
    prefix = ' '.join(f'{key}={value}' for key, value in fields.items())
    return standard_logging.Formatter(
        _TEXT_FORMAT.replace('%(name)s', prefix.replace('%', '%%'))
    )


def _resolve_format(log_format: Format) -> Format:
    if log_format is not Format.AUTO:
        return log_format
    return Format.TEXT if sys.stderr.isatty() else Format.JSON


def configure(
    name: str,
    role: str,
    failure_domain: str,
    level: str = 'info',
    format: str = Format.AUTO,
) -> None:
    """Send all logs of the process to standard error.

    Call this before the first log line, as absl warns on earlier ones. A
    further call replaces the settings.

    :param level: debug, info, warning, error or fatal
    :param format: auto, json or text
    :raises ValueError: for an unknown level or format
    """
    fields = {'name': name, 'role': role, 'failure_domain': failure_domain}
    resolved = _resolve_format(Format(format))
    build = (
        _build_json_formatter
        if resolved is Format.JSON
        else _build_text_formatter
    )
    if not flags.FLAGS.is_parsed():
        # Settings come from a file; absl would warn about unparsed flags.
        flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.python_handler.setFormatter(_MaskingFormatter(build(fields)))
    logging.use_absl_handler()
    # urllib3 logs request targets with their query, and callers choose both.
    standard_logging.getLogger('urllib3').setLevel('ERROR')
    logging.set_verbosity(level)
