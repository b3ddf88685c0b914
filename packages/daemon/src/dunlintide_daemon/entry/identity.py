"""Which member a bearer key belongs to."""

import hashlib
import secrets
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
_SALT_BYTES = 16
_SALT_PURPOSE = b'cache-salt'


def _refuse(detail: str) -> result.Err[outcomes.Refusal]:
    code = outcomes.FailCode.UNAUTHENTICATED
    return result.Err(outcomes.refuse(code, detail))


def _hash_key(key: str) -> str:
    return hashlib.sha256(key.encode('latin-1', 'replace')).hexdigest()


def _derive_salt(member: configuration.Member) -> str:
    """Derive a member's cache salt, the same at each entry.

    Its key is the hash of the member's first bearer key, which no other
    member can know; a new first key only empties the prefix caches.
    """
    key = member.key_hashes[0].lower().encode()
    digest = hashlib.blake2b(
        member.name.encode(),
        digest_size=_SALT_BYTES,
        key=key[: hashlib.blake2b.MAX_KEY_SIZE],
        person=_SALT_PURPOSE,
    )
    return digest.hexdigest()


@attrs.frozen
class KeyTable:
    """Members by the hash of their keys.

    Only hashes are looked up, so the time of a look-up tells nothing
    about how much of a guessed key is right.
    """

    _members: Mapping[str, str]
    _salts: Mapping[str, str] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, config: configuration.Configuration) -> 'KeyTable':
        """Build the table of a configuration."""
        members = {}
        for member in config.members:
            for key_hash in member.key_hashes:
                members[key_hash.lower()] = member.name
        salts = {
            member.name: _derive_salt(member)
            for member in config.members
            if member.key_hashes
        }
        return cls(members, salts)

    def get_salt(self, member: str) -> str:
        """Give the salt of a member's prefix caches.

        :returns: one that is used only once for an unknown member
        """
        return self._salts.get(member) or secrets.token_hex(_SALT_BYTES)

    def knows(self, word: str) -> bool:
        """Tell whether a word is a member's bearer key."""
        return _hash_key(word) in self._members

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
        member = self._members.get(_hash_key(key))
        if member is None:
            return _refuse('the bearer key is not known')
        return result.Ok(member)
