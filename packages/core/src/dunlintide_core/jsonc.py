"""Parser for JSON with comments that keeps the position of each value."""

import enum
import json
import re
from typing import Any, Iterable, Iterator, Mapping

import attrs
import result
import tree_sitter
import tree_sitter_json

__all__ = [
    'Document',
    'Level',
    'Path',
    'Position',
    'Problem',
    'format_path',
    'parse',
    'sort_problems',
]

# Keys and indexes from the root to a value.
Path = tuple[str | int, ...]

MAX_DEPTH = 64

_LANGUAGE = tree_sitter.Language(tree_sitter_json.language())
_SURROGATE = re.compile('[\ud800-\udfff]')
_CONSTANTS = {'true': True, 'false': False, 'null': None}


class Level(enum.StrEnum):
    """Severity of a problem."""

    ERROR = 'error'
    WARNING = 'warning'


@attrs.frozen
class Position:
    """Line and column in a text, both counted from 1, in characters."""

    line: int
    column: int


@attrs.frozen
class Problem:
    """Error or warning about a position in an operator's file.

    :ivar line: line, from 1
    :ivar column: column, from 1, in characters
    :ivar path: path of the field, such as ``rules[2].when.team``
    :ivar message: description with the expected and the actual value
    """

    file: str
    line: int
    column: int
    path: str
    message: str
    level: Level = Level.ERROR

    def __str__(self) -> str:
        field = f'{self.path}: ' if self.path else ''
        place = f'{self.file}:{self.line}:{self.column}'
        return f'{place}: {self.level}: {field}{self.message}'


def sort_problems(problems: Iterable[Problem]) -> list[Problem]:
    """Sort problems by their position."""
    return sorted(problems, key=lambda p: (p.line, p.column))


def format_path(path: Path) -> str:
    """Format a path as ``rules[2].when.team``."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else part
    return text


@attrs.frozen
class Document:
    """A parsed document.

    :ivar file: file name for messages
    :ivar value: plain dicts, lists and scalars
    :ivar values: start position of each value
    :ivar keys: start position of the key of each field
    """

    file: str
    value: Any
    values: Mapping[Path, Position]
    keys: Mapping[Path, Position]

    def locate(self, path: Path) -> Position:
        """Return the position of a value.

        The position of a missing value is that of its nearest container.
        """
        while path not in self.values:
            path = path[:-1]
        return self.values[path]

    def report(
        self,
        path: Path,
        message: str,
        level: Level = Level.ERROR,
        *,
        key: bool = False,
    ) -> Problem:
        """Create a problem at the position of a value.

        :param key: use the position of the field's key instead
        """
        place = self.keys.get(path) if key else None
        place = place or self.locate(path)
        text = format_path(path)
        return Problem(
            self.file, place.line, place.column, text, message, level
        )


class _Reader:
    """Converter of a syntax tree to values, positions and problems."""

    def __init__(self, text: str, file: str):
        self.source = text.encode()
        self.lines = self.source.split(b'\n')
        self.file = file
        self.values: dict[Path, Position] = {}
        self.keys: dict[Path, Position] = {}
        self.problems: list[Problem] = []

    def place(self, node: tree_sitter.Node) -> Position:
        row, offset = node.start_point
        prefix = self.lines[row][:offset]
        return Position(row + 1, len(prefix.decode(errors='replace')) + 1)

    def report(self, place: Position, path: Path, message: str):
        text = format_path(path)
        problem = Problem(self.file, place.line, place.column, text, message)
        self.problems.append(problem)

    def read(self, node: tree_sitter.Node, path: Path) -> Any:
        self.values[path] = self.place(node)
        if len(path) > MAX_DEPTH:
            self.report(self.place(node), path, 'nested too deeply')
            return None
        if node.type == 'object':
            return self.read_object(node, path)
        if node.type == 'array':
            items = _list_values(node)
            return [self.read(n, (*path, i)) for i, n in enumerate(items)]
        if node.type in _CONSTANTS:
            return _CONSTANTS[node.type]
        return self.read_scalar(node, path)

    def read_scalar(self, node: tree_sitter.Node, path: Path) -> Any:
        try:
            value = json.loads(node.text)
        except ValueError as error:
            self.report(self.place(node), path, f'bad {node.type}: {error}')
            return None
        if isinstance(value, str) and _SURROGATE.search(value):
            self.report(
                self.place(node), path, 'unpaired surrogate in a string'
            )
        return value

    def read_object(self, node: tree_sitter.Node, path: Path) -> dict:
        fields: dict[str, Any] = {}
        for pair in _list_values(node):
            key_node = pair.child_by_field_name('key')
            key = self.read_scalar(key_node, path)
            inner = (*path, key)
            if key in fields:
                place = self.place(key_node)
                self.report(place, inner, f'duplicate key "{key}"')
                continue
            self.keys[inner] = self.place(key_node)
            value = pair.child_by_field_name('value')
            fields[key] = self.read(value, inner)
        return fields


def _list_values(node: tree_sitter.Node) -> list[tree_sitter.Node]:
    return [n for n in node.named_children if n.type != 'comment']


def _walk(node: tree_sitter.Node) -> Iterator[tree_sitter.Node]:
    stack = [node]
    while stack:
        node = stack.pop()
        yield node
        stack.extend(reversed(node.children))


def _find_syntax_error(reader: _Reader, root: tree_sitter.Node) -> None:
    # The error node of the tree covers a wide span. The decoder of the
    # standard library reports the exact character, but accepts no
    # comments, so these are replaced by spaces.
    blanked = bytearray(reader.source)
    for node in _walk(root):
        if node.type == 'comment':
            text = re.sub(rb'[^\n]', b' ', node.text)
            blanked[node.start_byte : node.end_byte] = text
    try:
        json.loads(blanked.decode())
    except json.JSONDecodeError as error:
        offset = len(blanked.decode()[: error.pos].encode())
        row = reader.source.count(b'\n', 0, offset)
        start = reader.source.rfind(b'\n', 0, offset) + 1
        column = len(reader.source[start:offset].decode()) + 1
        place = Position(row + 1, column)
        reader.report(place, (), f'bad JSON: {error.msg}')
        return
    except RecursionError:
        reader.report(Position(1, 1), (), 'nested too deeply')
        return
    broken = (n for n in _walk(root) if n.is_error or n.is_missing)
    reader.report(reader.place(next(broken, root)), (), 'bad JSON')


def parse(text: str, file: str) -> result.Result[Document, list[Problem]]:
    """Parse JSON with ``//`` and ``/* */`` comments.

    A trailing comma is an error, as in plain JSON.

    :param file: file name for messages
    :returns: the document, or all problems found
    """
    try:
        reader = _Reader(text, file)
    except UnicodeEncodeError:
        problem = Problem(file, 1, 1, '', 'the text is not Unicode')
        return result.Err([problem])
    parser = tree_sitter.Parser(_LANGUAGE)
    root = parser.parse(reader.source).root_node
    nodes = _list_values(root)
    if root.has_error or len(nodes) != 1:
        _find_syntax_error(reader, root)
        return result.Err(reader.problems)
    value = reader.read(nodes[0], ())
    if reader.problems:
        return result.Err(reader.problems)
    return result.Ok(Document(file, value, reader.values, reader.keys))
