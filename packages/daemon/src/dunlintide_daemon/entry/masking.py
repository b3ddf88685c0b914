"""Masking of bearer keys in logs and state dumps of an entry.

``dunlintide_adapters.logs`` masks the logs and calls back to learn whether
a string is a key. An entry has only the hashes of keys.
"""

import re
from typing import Any

from dunlintide_adapters import logs
from dunlintide_daemon.entry import configuration

__all__ = [
    'mask_log_keys',
    'mask_state',
]

# Characters that may be part of a key or separate it from other text.
_SEPARATORS = re.compile('[=/.]')


def _is_key(holder: configuration.Holder, token: str) -> bool:
    snapshot = holder.snapshot
    if snapshot is None:
        return False
    parts = {token, token.strip('.=/'), *_SEPARATORS.split(token)}
    # A key that ends an assignment or a path may contain separators itself.
    parts.update(
        token[separator.end() :] for separator in _SEPARATORS.finditer(token)
    )
    return any(snapshot.keys.is_key(part) for part in parts)


def mask_log_keys(holder: configuration.Holder) -> None:
    """Mask the keys of the configuration in force in all log output."""
    logs.mask_keys(lambda token: _is_key(holder, token))


def mask_state(value: Any) -> Any:
    """Return a value of a state dump with keys masked in all strings."""
    if isinstance(value, str):
        return logs.mask(value)
    if isinstance(value, dict):
        return {mask_state(key): mask_state(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [mask_state(one) for one in value]
    return value
