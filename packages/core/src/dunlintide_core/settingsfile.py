"""Parsing and validation of a daemon's settings file."""

from typing import Any, Callable
from urllib import parse

import cattrs
import result

from dunlintide_core import fleet
from dunlintide_core import identities
from dunlintide_core import jsonc
from dunlintide_core import schemas
from dunlintide_core import settings as settings_module

__all__ = [
    'Fault',
    'load_settings',
    'make_converter',
]

# Path of a field and a description of its error.
Fault = tuple[jsonc.Path, str]

_MAX_PORT = 65535
# Four priorities that all keep their share use all starts.
MAX_MINIMUM_SHARE = 0.25


def _is_name(value: str) -> bool:
    return bool(value) and all('!' <= char <= '~' for char in value)


def _make_address_test(least_port: int) -> Callable[[str], bool]:
    def test(value: str) -> bool:
        host, _, port = value.rpartition(':')
        if not host or not (port.isascii() and port.isdigit()):
            return False
        return least_port <= int(port) <= _MAX_PORT

    return test


def _is_url(value: str) -> bool:
    try:
        parts = parse.urlsplit(value)
        return parts.scheme in ('http', 'https') and bool(parts.hostname)
    except ValueError:
        return False


def _is_positive(value: float) -> bool:
    return value > 0


def _is_minimum_share(value: float) -> bool:
    return 0 < value <= MAX_MINIMUM_SHARE


def _is_not_negative(value: float) -> bool:
    return value >= 0


_CHECKED = (
    (
        settings_module.Name,
        str,
        _is_name,
        'a name of printable ASCII without spaces',
    ),
    (
        settings_module.Listen,
        str,
        _make_address_test(0),
        '"HOST:PORT", port 0 to 65535',
    ),
    (
        settings_module.Address,
        str,
        _make_address_test(1),
        '"HOST:PORT", port 1 to 65535',
    ),
    (settings_module.Url, str, _is_url, 'an http:// or https:// URL'),
    (
        settings_module.Seconds,
        float,
        _is_positive,
        'a number of seconds above 0',
    ),
    (settings_module.Count, int, _is_positive, 'a whole number above 0'),
    (
        settings_module.Natural,
        int,
        _is_not_negative,
        'a whole number of at least 0',
    ),
    (settings_module.Rate, float, _is_not_negative, 'a number of at least 0'),
    (
        settings_module.MinimumShare,
        float,
        _is_minimum_share,
        f'a number above 0, at most {MAX_MINIMUM_SHARE}',
    ),
    (settings_module.File, str, bool, 'the name of a file'),
    (settings_module.HostName, str, identities.is_host_name, 'a DNS name'),
)


def _make_reader(
    converter: cattrs.Converter, base: type, test: Callable, expected: str
) -> Callable:
    def read(value: Any, _: Any) -> Any:
        read_value = converter.structure(value, base)
        if not test(read_value):
            raise schemas.UnexpectedValue(
                f'expected {expected}, got {schemas.describe_value(value)}'
            )
        return read_value

    return read


def make_converter() -> cattrs.Converter:
    """Create a converter with hooks for the types of settings."""
    converter = schemas.make_converter()
    for kind, base, test, expected in _CHECKED:
        reader = _make_reader(converter, base, test, expected)
        converter.register_structure_hook(kind, reader)
    return converter


_converter = make_converter()


def _list_role_faults(
    settings: settings_module.Settings,
) -> list[tuple[str, str]]:
    faults = []
    if settings.role == fleet.Role.ENTRY:
        if settings.listen is None:
            faults.append(('listen', 'an entry needs an address to listen on'))
        if settings.endpoint is not None:
            faults.append(('endpoint', 'not allowed for an entry'))
    if settings.role == fleet.Role.AGENT:
        if settings.endpoint is None:
            faults.append(('endpoint', 'an agent needs an endpoint'))
        if settings.listen is not None:
            faults.append(('listen', 'an agent does not accept callers'))
        if settings.listen_tls is not None:
            faults.append(('listen_tls', 'an agent does not accept callers'))
    return faults


def _list_engine_faults(
    endpoint: settings_module.EndpointSettings,
) -> list[tuple[str, str]]:
    faults = []
    if endpoint.service:
        faults.append(('service', 'not allowed for an engine'))
    start, end = endpoint.layer_start, endpoint.layer_end
    if not (start or end or endpoint.layer_count or endpoint.model):
        # A spare engine; an order of a leader sets its model and layers.
        return faults
    faults += [
        (name, 'required for an engine, expected a name, got ""')
        for name in ('model', 'version')
        if not getattr(endpoint, name)
    ]
    count = endpoint.layer_count
    if not start < end:
        faults.append(('layer_end', f'expected more than {start}, got {end}'))
    if end > count:
        faults.append(('layer_count', f'expected {end} or more, got {count}'))
    return faults


def _list_service_faults(
    endpoint: settings_module.EndpointSettings,
) -> list[tuple[str, str]]:
    names = ('model', 'version', 'layer_start', 'layer_end', 'layer_count')
    faults = [
        (name, 'not allowed for a plain service')
        for name in names
        if getattr(endpoint, name)
    ]
    if not endpoint.service:
        faults.append(('service', 'expected the name of a service, got ""'))
    return faults


def _list_faults(settings: settings_module.Settings) -> list[Fault]:
    faults = [((n,), text) for n, text in _list_role_faults(settings)]
    endpoint = settings.endpoint
    if endpoint and endpoint.kind == fleet.EndpointKind.ENGINE:
        found = _list_engine_faults(endpoint)
        faults += [(('endpoint', n), text) for n, text in found]
    if endpoint and endpoint.kind == fleet.EndpointKind.SERVICE:
        found = _list_service_faults(endpoint)
        faults += [(('endpoint', n), text) for n, text in found]
    if settings.tls and not identities.is_host_name(settings.name):
        text = 'with tls, expected a DNS name, got '
        faults.append((('name',), f'{text}{settings.name!r}'))
    ping, silence = settings.timing.ping, settings.timing.silence
    if ping >= silence:
        text = f'expected more than timing.ping ({ping}), got {silence}'
        faults.append((('timing', 'silence'), text))
    return faults


def load_settings(
    text: str,
    file: str,
    find_faults: Callable[
        [settings_module.Settings], list[Fault]
    ] = lambda settings: [],
) -> result.Result[settings_module.Settings, list[jsonc.Problem]]:
    """Parse and validate a daemon's settings.

    :param text: JSON with comments
    :param file: file name for messages
    :param find_faults: returns further errors by field; called if the
        settings are valid otherwise
    :returns: the settings, or all problems found
    """
    parsed = jsonc.parse(text, file)
    if parsed.is_err():
        return parsed
    document = parsed.unwrap()
    read = schemas.structure(document, settings_module.Settings, _converter)
    if read.is_err():
        return read
    faults = _list_faults(read.unwrap()) or find_faults(read.unwrap())
    if faults:
        found = [document.report(path, text) for path, text in faults]
        return result.Err(jsonc.sort_problems(found))
    return read
