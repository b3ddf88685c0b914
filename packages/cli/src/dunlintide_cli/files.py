"""Operators' files, read from disk."""

import pathlib
import re

import result

from dunlintide_core import documents
from dunlintide_core import jsonc

__all__ = [
    'format_base_comment',
    'parse_base_revision',
    'read_draft',
    'read_text',
    'update_base_comment',
]

_BASE_COMMENT = re.compile(r'\s*// revision (\d+)\b')


def format_base_comment(revision: int) -> str:
    """Write the comment that tells of which revision a text is a copy."""
    return f'// revision {revision}'


def parse_base_revision(text: str) -> int | None:
    """Find the revision that the first line of a text names, if any."""
    found = _BASE_COMMENT.match(text)
    return int(found[1]) if found else None


def read_text(path: str) -> result.Result[str, list[jsonc.Problem]]:
    """Read a file in UTF-8.

    :returns: its text, or why it cannot be read
    """
    try:
        return result.Ok(pathlib.Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        text = getattr(error, 'strerror', None) or str(error)
        return result.Err([jsonc.Problem(path, 1, 1, '', text)])


def update_base_comment(path: str, revision: int) -> result.Result[bool, str]:
    """Bring the revision that a file's first line names up to date.

    :returns: whether the file names one, or why it cannot be written
    """
    text = read_text(path).unwrap_or('')
    found = _BASE_COMMENT.match(text)
    if not found:
        return result.Ok(False)
    try:
        comment = format_base_comment(revision)
        pathlib.Path(path).write_text(
            comment + text[found.end() :], encoding='utf-8'
        )
    except OSError as error:
        return result.Err(str(error))
    return result.Ok(True)


def read_draft(
    path: str,
) -> result.Result[documents.Draft, list[jsonc.Problem]]:
    """Read an operators' document from a file."""
    return read_text(path).and_then(
        lambda text: documents.load_configuration(text, path)
    )
