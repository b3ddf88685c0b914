"""Who may be linked and what it may send, by its certificate."""

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
    """Counts and logs what was refused, by reason; thread-safe.

    The reasons are ``identity``, ``role`` and ``handshake``.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()

    def add(self, reason: str, detail: str) -> None:
        """Count a refusal and log why."""
        with self._lock:
            self._counts[reason] += 1
        logging.warning('tls: refused (%s): %s', reason, detail)

    def get_counts(self) -> dict[str, int]:
        """Return the counts by reason."""
        with self._lock:
            return dict(self._counts)


class Guard:
    """Holds one link to what the certificate of its far side allows.

    :ivar answers: whether to say nothing before the far side is admitted
    """

    def __init__(
        self,
        find_mismatch: Callable[[str, str], str] | None = None,
        refusals: Refusals | None = None,
        waits_for_hello: bool = False,
    ) -> None:
        """Begin before the far side has said who it is.

        :param find_fault: says what is wrong with a role and a name; None
            allows everything
        """
        self.waits_for_hello = waits_for_hello
        self._find_mismatch = find_mismatch
        self._refusals = refusals
        self._allowed_kinds: frozenset[str] | None = None
        self._has_logged_drop = False
        if find_mismatch is not None:
            self._allowed_kinds = frozenset(('hello',))

    def check_hello(self, role: str, name: str, receiver: str) -> str:
        """Say why a peer is refused; empty when it may go on.

        :param role: what it says that it is
        :param receiver: this side's role
        """
        if self._find_mismatch is None:
            return ''
        fault = self._find_mismatch(role, name)
        if fault:
            self._refusals.add('identity', f'a link: {fault}')
            return fault
        self._allowed_kinds = identities.list_permitted_bodies(role, receiver)
        return ''

    def allows(self, body: str | None) -> bool:
        """Tell whether a frame may come from the far side."""
        if self._allowed_kinds is None or body in self._allowed_kinds:
            return True
        if not self._has_logged_drop:
            self._has_logged_drop = True
            self._refusals.add('role', f'frames of kind {body!r}')
        return False
