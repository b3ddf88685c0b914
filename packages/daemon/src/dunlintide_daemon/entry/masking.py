"""Keeping bearer keys out of what an entry writes.

Logs are masked by ``dunlintide_adapters.logs``, which asks here whether a
word is a key; only the hashes of keys are known.
"""

import re
from typing import Any

from dunlintide_adapters import logs
from dunlintide_daemon.entry import configuration

__all__ = [
    'mask_state',
    'watch_keys',
]

# Characters that a key may have, but that also join it to other words.
_JOINTS = re.compile('[=/.]')


def _is_key(holder: configuration.Holder, word: str) -> bool:
    snapshot = holder.snapshot
    if snapshot is None:
        return False
    parts = {word, word.strip('.=/'), *_JOINTS.split(word)}
    # The end of an assignment or a path may itself have such characters.
    parts.update(word[joint.end() :] for joint in _JOINTS.finditer(word))
    return any(snapshot.keys.knows(part) for part in parts)


def watch_keys(holder: configuration.Holder) -> None:
    """Mask the keys of the configuration in force in all logs."""
    logs.mask_keys(lambda word: _is_key(holder, word))


def mask_state(value: Any) -> Any:
    """Return a dump's value with keys masked in all its texts."""
    if isinstance(value, str):
        return logs.mask(value)
    if isinstance(value, dict):
        return {mask_state(key): mask_state(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [mask_state(one) for one in value]
    return value
