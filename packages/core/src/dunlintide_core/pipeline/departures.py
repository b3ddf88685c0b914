"""Endpoints that leave, as an entry knows it from the store and from others.

An endpoint that says that it leaves never stays after all, so the word of any
entry for that is believed, however old it is. A removal from the store may be
undone: an endpoint whose lease expired in an outage writes again. So what
another entry says of a removal counts until this entry has read the store.
"""

from typing import Collection, Iterable

import attrs

__all__ = ['Departures']

# How long an endpoint that is not listed is remembered as leaving, in seconds:
# an older listing may bring it back.
MEMORY_SECONDS = 60.0
# How long a removal that another entry told is believed without a reading of
# the store, in seconds: the endpoint has ended by then, or writes again.
TOLD_REMOVAL_SECONDS = 10.0
# Largest fraction of the endpoints of a service of which another entry's word
# for their removal is believed. More of them have lost their leases together.
MAX_TOLD_FRACTION = 0.34


@attrs.define
class _Leaving:
    """What is known of one endpoint that said that it leaves.

    :ivar since: monotonic time at which it became known, in seconds
    :ivar is_seen: whether the store or the endpoint itself said so here
    """

    since: float
    is_seen: bool


class Departures:
    """Endpoints that leave or were removed; times are monotonic seconds."""

    def __init__(self) -> None:
        self._leaving: dict[str, _Leaving] = {}
        # Time at which this entry saw the store remove an endpoint.
        self._removed: dict[str, float] = {}
        # Time at which another entry told first that the store did.
        self._told_removals: dict[str, float] = {}
        # Until when such words about an endpoint do not count.
        self._refuted_until: dict[str, float] = {}

    def record_leaving(self, name: str, is_seen: bool, now: float) -> bool:
        """Record that an endpoint leaves.

        :param is_seen: whether the store or the endpoint itself said so here,
            and not another entry
        :returns: whether this was not known before
        """
        known = self._leaving.get(name)
        if known is None:
            self._leaving[name] = _Leaving(now, is_seen)
            return True
        known.is_seen = known.is_seen or is_seen
        return False

    def record_removal(self, name: str, now: float) -> None:
        """Record that the store removed an endpoint."""
        self._removed[name] = now
        self._told_removals.pop(name, None)

    def record_listed(self, name: str) -> None:
        """Record that the store lists an endpoint."""
        self._removed.pop(name, None)

    def receive_removals(
        self, names: Collection[str], listed: Collection[str], now: float
    ) -> list[str]:
        """Take another entry's word that the store removed endpoints.

        :param names: listed endpoints of one service, as another entry told
        :param listed: all listed endpoints of the service
        :returns: endpoints that must not be used from now on
        """
        fresh = [
            name
            for name in names
            if name not in self._told_removals
            and self._refuted_until.get(name, now) <= now
        ]
        told = sum(name in self._told_removals for name in listed)
        if told + len(fresh) > max(1, MAX_TOLD_FRACTION * len(listed)):
            return []
        self._told_removals.update(dict.fromkeys(fresh, now))
        return fresh

    def confirm(
        self, read_at: float, held_back: Collection[str], now: float
    ) -> list[str]:
        """Compare other entries' words with a reading of the store.

        :param read_at: time from which on the reading tells of all changes
        :param held_back: endpoints whose removal is known, but held back
        :returns: endpoints that are still listed and may be used again
        """
        refuted = [
            name
            for name, since in self._told_removals.items()
            if since < read_at and name not in held_back
        ]
        for name in refuted:
            del self._told_removals[name]
            self._refuted_until[name] = now + TOLD_REMOVAL_SECONDS
        return refuted

    def is_leaving(self, name: str) -> bool:
        """Return whether an endpoint said that it leaves."""
        return name in self._leaving

    def is_told_removed(self, name: str) -> bool:
        """Return whether only another entry saw that it was removed."""
        return name in self._told_removals

    def is_hearsay(self, name: str) -> bool:
        """Return whether only other entries said that it leaves."""
        known = self._leaving.get(name)
        if known is None:
            return name in self._told_removals
        return not known.is_seen

    def list_leaving(self, since: float) -> list[str]:
        """Return the endpoints that became known to leave since a time."""
        return [
            name
            for name, known in self._leaving.items()
            if known.since >= since
        ]

    def list_removed(self, since: float) -> list[str]:
        """Return the endpoints that the store removed since a time."""
        return [name for name, at in self._removed.items() if at >= since]

    def get_seconds(self, name: str, now: float) -> float | None:
        """Return for how long an endpoint has left, None if it does not."""
        known = self._leaving.get(name)
        return None if known is None else now - known.since

    def list_ages(self, now: float) -> dict[str, float]:
        """Return for how long endpoints have left, by name, in seconds."""
        return {
            name: now - known.since for name, known in self._leaving.items()
        }

    def expire(self, now: float, listed: Iterable[str]) -> list[str]:
        """Forget what is old.

        :returns: endpoints that another entry called removed and that may be
            used again
        """
        kept = set(listed)
        for name, known in list(self._leaving.items()):
            if known.since < now - MEMORY_SECONDS and name not in kept:
                del self._leaving[name]
        for name, at in list(self._removed.items()):
            if at < now - MEMORY_SECONDS:
                del self._removed[name]
        for name, until in list(self._refuted_until.items()):
            if until <= now:
                del self._refuted_until[name]
        ended = [
            name
            for name, at in self._told_removals.items()
            if at < now - TOLD_REMOVAL_SECONDS
        ]
        for name in ended:
            del self._told_removals[name]
        return ended
