"""Parsing, encoding and decoding of configuration documents.

Operators write JSON with comments; the store and the peers use a
canonical JSON form.
"""

from typing import Any, Iterable

import attrs
import cattrs
from cattrs import gen
import msgspec
import result

from dunlintide_core import configuration
from dunlintide_core import jsonc
from dunlintide_core import revisions
from dunlintide_core import schemas
from dunlintide_core import validation

__all__ = [
    'Draft',
    'decode_configuration',
    'encode_configuration',
    'load_configuration',
]


@attrs.frozen
class Draft:
    """A configuration parsed from an operator's document.

    :ivar configuration: items in the order of the document
    :ivar document: parsed document with the position of each item
    """

    configuration: configuration.Configuration
    document: jsonc.Document


_reader = schemas.make_converter()


def _make_writer() -> cattrs.Converter:
    writer = cattrs.Converter(omit_if_default=True)

    @writer.register_unstructure_hook_factory(attrs.has)
    def make_class_writer(kind: Any, converter: cattrs.Converter):
        return gen.make_dict_unstructure_fn(
            kind,
            converter,
            _cattrs_omit_if_default=True,
            **schemas.list_overrides(kind),
        )

    return writer


_writer = _make_writer()


def load_configuration(
    text: str, file: str
) -> result.Result[Draft, list[jsonc.Problem]]:
    """Parse and validate a configuration document.

    :param text: JSON with comments
    :param file: file name for messages
    :returns: the draft, or all problems found
    """
    parsed = jsonc.parse(text, file)
    if parsed.is_err():
        return parsed
    document = parsed.unwrap()
    read = schemas.structure(document, configuration.Configuration, _reader)
    if read.is_err():
        return read
    source = read.unwrap()
    found = [
        document.report(path, text)
        for path, text in validation.list_faults(source)
    ]
    if found:
        return result.Err(jsonc.sort_problems(found))
    return result.Ok(Draft(source, document))


def _sort_by_name(items: Iterable[Any]) -> tuple[Any, ...]:
    return tuple(sorted(items, key=lambda item: item.name))


def encode_configuration(source: configuration.Configuration) -> bytes:
    """Return the canonical form: sorted JSON without default values.

    Teams, models and services are sorted by name; rules keep their
    order. Equal configurations have equal encodings.
    """
    ordered = attrs.evolve(
        source,
        teams=_sort_by_name(source.teams),
        models=tuple(sorted(source.models, key=lambda m: (m.name, m.version))),
        services=_sort_by_name(source.services),
    )
    plain = _writer.unstructure(ordered)
    return msgspec.json.encode(plain, order='deterministic')


def decode_configuration(
    body: bytes,
) -> result.Result[configuration.Configuration, revisions.Corruption]:
    """Decode the canonical form.

    Unknown fields are an error: if a condition were ignored, its rule
    would match more requests than intended.

    :returns: the configuration, or why the bytes cannot be decoded
    """
    try:
        value = msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Err(revisions.Corruption(f'not JSON: {error}'))
    root = jsonc.Document('', value, {(): jsonc.Position(1, 1)}, {})
    read = schemas.structure(root, configuration.Configuration, _reader)
    if read.is_ok():
        return read
    first = read.unwrap_err()[0]
    return result.Err(revisions.Corruption(f'{first.path}: {first.message}'))
