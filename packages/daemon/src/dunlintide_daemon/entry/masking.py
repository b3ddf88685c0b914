"""Keeping bearer keys out of what an entry writes.

Logs are masked by ``dunlintide_adapters.logs``, which asks here whether a
word is a key; only the hashes of keys are known.
"""

import re
from typing import Any

from dunlintide_adapters import logs
from dunlintide_daemon.entry import configuration

__all__ = [
    'mask_log_keys',
    'mask_state',
]

# Characters that a key may have, but that also join it to other words.
_SEPARATORS = re.compile('[=/.]')


def _is_key(holder: configuration.Holder, token: str) -> bool:
    snapshot = holder.snapshot
    if snapshot is None:
        return False
    parts = {token, token.strip('.=/'), *_SEPARATORS.split(token)}
    # The end of an assignment or a path may itself have such characters.
    parts.update(
        token[separator.end() :] for separator in _SEPARATORS.finditer(token)
    )
    return any(snapshot.keys.is_key(part) for part in parts)


def mask_log_keys(holder: configuration.Holder) -> None:
    """Mask the keys of the configuration in force in all logs."""
    logs.mask_keys(lambda token: _is_key(holder, token))


def mask_state(value: Any) -> Any:
    """Return a dump's value with keys masked in all its texts."""
    if isinstance(value, str):
        return logs.mask(value)
    if isinstance(value, dict):
        return {mask_state(key): mask_state(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [mask_state(one) for one in value]
    return value
