"""Authentication of callers by bearer key, and cache salts of teams."""

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


def _derive_salt(team: configuration.Team) -> str:
    """Derive a team's cache salt, identical on all entries.

    The digest is keyed with the hash of the team's first bearer key, which
    no other team can know. Changing that key only invalidates the team's
    prefix cache.
    """
    key = team.key_hashes[0].lower().encode()
    digest = hashlib.blake2b(
        team.name.encode(),
        digest_size=_SALT_BYTES,
        key=key[: hashlib.blake2b.MAX_KEY_SIZE],
        person=_SALT_PURPOSE,
    )
    return digest.hexdigest()


@attrs.frozen
class KeyTable:
    """Teams by the hash of their bearer keys.

    Only hashes are compared, so the time of a look-up does not reveal how
    many characters of a guessed key are right.
    """

    _teams: Mapping[str, str]
    _salts: Mapping[str, str] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, config: configuration.Configuration) -> 'KeyTable':
        """Build the table of a configuration."""
        teams = {}
        for team in config.teams:
            for key_hash in team.key_hashes:
                teams[key_hash.lower()] = team.name
        salts = {
            team.name: _derive_salt(team)
            for team in config.teams
            if team.key_hashes
        }
        return cls(teams, salts)

    def get_salt(self, team: str) -> str:
        """Return the salt of a team's prefix cache.

        :returns: a random salt, never reused, for an unknown team
        """
        return self._salts.get(team) or secrets.token_hex(_SALT_BYTES)

    def is_key(self, token: str) -> bool:
        """Tell whether a string is a team's bearer key."""
        return _hash_key(token) in self._teams

    def authenticate(
        self, header: str
    ) -> result.Result[str, outcomes.Refusal]:
        """Return the team that an ``Authorization`` header authenticates.

        :param header: value of the header, empty if it is missing
        :returns: name of the team, or a refusal
        """
        scheme, _, key = header.partition(' ')
        key = key.strip()
        if scheme.lower() != _SCHEME or not key:
            return _refuse(
                'Authorization header with a bearer key is required'
            )
        if len(key) > MAX_KEY_LENGTH:
            return _refuse(
                f'bearer key has {len(key)} characters,'
                f' at most {MAX_KEY_LENGTH} are allowed'
            )
        team = self._teams.get(_hash_key(key))
        if team is None:
            return _refuse('bearer key belongs to no team')
        return result.Ok(team)
