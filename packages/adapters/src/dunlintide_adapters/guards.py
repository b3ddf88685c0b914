"""Authorization of peers on a link by their certificates."""

import collections
import threading
from typing import Callable

from absl import logging

from dunlintide_core import identities

__all__ = [
    'Guard',
    'Refusals',
]


class Refusals:
    """Counts and logs refusals by reason; thread-safe.

    The reasons are ``identity``, ``role`` and ``handshake``.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()

    def add(self, reason: str, detail: str) -> None:
        """Count a refusal and log its details."""
        with self._lock:
            self._counts[reason] += 1
        logging.warning('tls: refused (%s): %s', reason, detail)

    def get_counts(self) -> dict[str, int]:
        """Return the counts by reason."""
        with self._lock:
            return dict(self._counts)


class Guard:
    """Limits one link to the frames that the peer's certificate allows.

    :ivar waits_for_hello: whether to send nothing, not even a hello, before
        the hello of the peer was accepted
    """

    def __init__(
        self,
        find_mismatch: Callable[[str, str], str] | None = None,
        refusals: Refusals | None = None,
        waits_for_hello: bool = False,
    ) -> None:
        """Create the guard of a link whose peer is not yet identified.

        :param find_mismatch: returns why the certificate does not allow a
            role and a name, empty if it does; None allows everything
        """
        self.waits_for_hello = waits_for_hello
        self._find_mismatch = find_mismatch
        self._refusals = refusals
        self._allowed_kinds: frozenset[str] | None = None
        self._has_logged_drop = False
        if find_mismatch is not None:
            self._allowed_kinds = frozenset(('hello',))

    def check_hello(self, role: str, name: str, receiver: str) -> str:
        """Check the identity that a peer claims in its hello.

        :param role: claimed role
        :param name: claimed name
        :param receiver: role of this process
        :returns: why the peer is refused, empty if it is accepted
        """
        if self._find_mismatch is None:
            return ''
        mismatch = self._find_mismatch(role, name)
        if mismatch:
            self._refusals.add('identity', f'a link: {mismatch}')
            return mismatch
        self._allowed_kinds = identities.list_permitted_bodies(role, receiver)
        return ''

    def allows(self, body: str | None) -> bool:
        """Return whether the peer may send a frame with this kind of body."""
        if self._allowed_kinds is None or body in self._allowed_kinds:
            return True
        if not self._has_logged_drop:
            self._has_logged_drop = True
            self._refusals.add('role', f'frames of kind {body!r}')
        return False
