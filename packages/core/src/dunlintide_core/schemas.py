"""Conversion of parsed documents to attrs classes, with located errors.

Types are strict: a number in quotes is not a number. A list with a single
scalar may be written as the scalar itself.
"""

import difflib
import enum
import json
import math
from typing import Any, Callable, get_args, get_origin, Iterable, TypeVar

import attrs
import cattrs
from cattrs import gen
import result

from dunlintide_core import jsonc

__all__ = [
    'UnexpectedValue',
    'describe_value',
    'get_document_name',
    'list_overrides',
    'make_converter',
    'rename',
    'structure',
    'suggest',
]

T = TypeVar('T')

_MAX_VALUE_CHARACTERS = 80
_DOCUMENT_NAME = 'document_name'


class UnexpectedValue(ValueError):
    """Raised by a structuring hook for an invalid value.

    The converter propagates it to ``structure``, which reports it as a
    problem. It is only raised within this module and the hooks passed to
    it.
    """


def describe_value(value: Any) -> str:
    """Format a value as JSON for messages, truncated to one line.

    The contents of objects and lists are not shown: they may include a
    secret key that was put into the wrong field.

    :param value: plain value of a document
    """
    if isinstance(value, dict):
        return 'an object'
    if isinstance(value, list):
        return 'a list'
    text = json.dumps(value, ensure_ascii=False)
    if len(text) > _MAX_VALUE_CHARACTERS:
        text = text[:_MAX_VALUE_CHARACTERS] + '...'
    return text


def suggest(name: str, known: Iterable[str]) -> str:
    """Return ``, did you mean "x"?`` for the most similar known name.

    :returns: the suggestion, empty if no name is similar
    """
    matches = difflib.get_close_matches(name, known, n=1)
    return f', did you mean "{matches[0]}"?' if matches else ''


def _reject(expected: str, value: Any) -> UnexpectedValue:
    return UnexpectedValue(f'expected {expected}, got {describe_value(value)}')


def _read_choice(value: Any, kind: type[enum.Enum]) -> enum.Enum:
    choices = [choice.value for choice in kind]
    if not isinstance(value, str) or value not in choices:
        listed = ', '.join(f'"{choice}"' for choice in choices)
        raise _reject(f'one of {listed}', value)
    return kind(value)


def _read_text(value: Any, kind: Any) -> str:
    # The converter calls this hook for string enums as well.
    if kind is not str:
        return _read_choice(value, kind)
    if not isinstance(value, str):
        raise _reject('a string', value)
    return value


def _read_flag(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise _reject('true or false', value)
    return value


def _read_integer(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise _reject('a whole number', value)
    return value


def _read_number(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _reject('a number', value)
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise _reject('a finite number', str(value))
    return number


def _is_tuple(kind: Any) -> bool:
    return get_origin(kind) is tuple


def _make_tuple_reader(kind: Any, converter: cattrs.Converter) -> Callable:
    item = get_args(kind)[0]

    def read(value: Any, _: Any) -> tuple:
        if not isinstance(value, list):
            if attrs.has(item):
                raise _reject('a list', value)
            value = [value]
        return tuple(converter.structure(value, list[item]))

    return read


def rename(name: str) -> dict[str, str]:
    """Return the metadata of a field with another name in documents.

    :param name: name of the field in documents
    """
    return {_DOCUMENT_NAME: name}


def get_document_name(field: attrs.Attribute) -> str:
    """Return the name of a field in documents."""
    return field.metadata.get(_DOCUMENT_NAME, field.name)


def list_overrides(kind: type) -> dict[str, Any]:
    """Return overrides for fields that have another name in documents.

    :returns: arguments for the code generators of cattrs
    """
    return {
        field.name: gen.override(rename=get_document_name(field))
        for field in attrs.fields(kind)
        if _DOCUMENT_NAME in field.metadata
    }


def _make_class_reader(kind: Any, converter: cattrs.Converter) -> Callable:
    read_fields = gen.make_dict_structure_fn(
        kind,
        converter,
        _cattrs_forbid_extra_keys=True,
        **list_overrides(kind),
    )

    def read(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise _reject('an object', value)
        return read_fields(value, kind)

    return read


def make_converter() -> cattrs.Converter:
    """Create a converter that is strict about types and field names."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _read_text)
    converter.register_structure_hook(bool, _read_flag)
    converter.register_structure_hook(int, _read_integer)
    converter.register_structure_hook(float, _read_number)

    @converter.register_structure_hook_factory(_is_tuple)
    def make_tuple_reader(kind: Any, converter: cattrs.Converter):
        return _make_tuple_reader(kind, converter)

    @converter.register_structure_hook_factory(attrs.has)
    def make_class_reader(kind: Any, converter: cattrs.Converter):
        return _make_class_reader(kind, converter)

    return converter


def _report_unknown(
    document: jsonc.Document,
    path: jsonc.Path,
    error: cattrs.ForbiddenExtraKeysError,
) -> list[jsonc.Problem]:
    known = list(map(get_document_name, attrs.fields(error.cl)))
    return [
        document.report(
            (*path, name),
            f'unknown field "{name}"{suggest(name, known)}'
            f' (fields here: {", ".join(known)})',
            key=True,
        )
        for name in sorted(error.extra_fields)
    ]


def _find_step(error: BaseException, parent: type | None) -> jsonc.Path:
    for note in getattr(error, '__notes__', ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            if parent is None:
                return (note.name,)
            field = getattr(attrs.fields(parent), note.name)
            return (get_document_name(field),)
        if isinstance(note, cattrs.IterableValidationNote):
            return (note.index,)
    return ()


def _report(
    document: jsonc.Document,
    path: jsonc.Path,
    error: BaseException,
    parent: type | None = None,
) -> list[jsonc.Problem]:
    path = path + _find_step(error, parent)
    if isinstance(error, cattrs.BaseValidationError):
        kind = error.cl if attrs.has(error.cl) else None
        found: list[jsonc.Problem] = []
        for inner in error.exceptions:
            found.extend(_report(document, path, inner, kind))
        return found
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return _report_unknown(document, path, error)
    if isinstance(error, KeyError):
        return [document.report(path, 'the field is missing')]
    if isinstance(error, UnexpectedValue):
        return [document.report(path, str(error))]
    raise error


def structure(
    document: jsonc.Document, kind: type[T], converter: cattrs.Converter
) -> result.Result[T, list[jsonc.Problem]]:
    """Build an attrs object from a document.

    :param kind: attrs class of the root
    :param converter: result of ``make_converter``, optionally with more
        hooks
    :returns: the object, or a problem for each invalid field
    """
    try:
        return result.Ok(converter.structure(document.value, kind))
    except (cattrs.BaseValidationError, UnexpectedValue) as error:
        found = _report(document, (), error)
        return result.Err(jsonc.sort_problems(found))
