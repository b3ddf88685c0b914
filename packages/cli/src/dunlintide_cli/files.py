"""Document files of operators and the base revision noted in them."""

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
    """Format the first line of a document: the revision it is based on."""
    return f'// revision {revision}'


def parse_base_revision(text: str) -> int | None:
    """Return the revision in the first line of a document, or None."""
    found = _BASE_COMMENT.match(text)
    return int(found[1]) if found else None


def read_text(path: str) -> result.Result[str, list[jsonc.Problem]]:
    """Read a file in UTF-8.

    :returns: the text, or a problem if the file cannot be read
    """
    try:
        return result.Ok(pathlib.Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as error:
        text = getattr(error, 'strerror', None) or str(error)
        return result.Err([jsonc.Problem(path, 1, 1, '', text)])


def update_base_comment(path: str, revision: int) -> result.Result[bool, str]:
    """Update the base revision in the first line of a file.

    :returns: whether the file has such a line, or the error on writing it
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
    """Read and decode a document file."""
    return read_text(path).and_then(
        lambda text: documents.load_configuration(text, path)
    )
