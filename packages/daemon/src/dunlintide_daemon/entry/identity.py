"""Which member a bearer key belongs to."""

import hashlib
from typing import Mapping

import attrs
import result

from dunlintide_core import configuration
from dunlintide_core import outcomes

__all__ = [
    'KeyTable',
]

_SCHEME = 'bearer'
MAX_KEY_LENGTH = 512


def _refuse(detail: str) -> result.Err[outcomes.Refusal]:
    code = outcomes.FailCode.UNAUTHENTICATED
    return result.Err(outcomes.refuse(code, detail))


@attrs.frozen
class KeyTable:
    """Members by the hash of their keys.

    Only hashes are looked up, so the time of a look-up tells nothing
    about how much of a guessed key is right.
    """

    _members: Mapping[str, str]

    @classmethod
    def from_config(cls, config: configuration.Configuration) -> 'KeyTable':
        """Build the table of a configuration."""
        members = {}
        for member in config.members:
            for key_hash in member.key_hashes:
                members[key_hash.lower()] = member.name
        return cls(members)

    def find(self, header: str) -> result.Result[str, outcomes.Refusal]:
        """Return the member named by an ``Authorization`` header.

        :param header: the header's value, empty when it is missing
        """
        scheme, _, key = header.partition(' ')
        key = key.strip()
        if scheme.lower() != _SCHEME or not key:
            return _refuse('a bearer key is required')
        if len(key) > MAX_KEY_LENGTH:
            return _refuse('the bearer key is too long')
        digest = hashlib.sha256(key.encode('latin-1', 'replace')).hexdigest()
        member = self._members.get(digest)
        if member is None:
            return _refuse('the bearer key is not known')
        return result.Ok(member)
