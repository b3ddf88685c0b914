"""Demand of one service, priority and team, and the bounds of its fields."""

import zlib

import attrs

__all__ = [
    'Kind',
    'LOAD_UNIT',
    'MAX_LOAD',
    'MAX_VALUE',
    'MIN_LOAD_DIFFERENCE',
    'Row',
    'Total',
    'clamp',
    'digest',
]

# Largest value of a field of a row, except for the digests.
MAX_VALUE = 0xFFFF
# Unit of the load in a row: a tenth of a request.
LOAD_UNIT = 0.1
# Difference of loads, in requests, from which the lower one goes first. Half a
# unit less than one request, since the loads in rows are rounded.
MIN_LOAD_DIFFERENCE = 0.95
# Load above any other.
MAX_LOAD = float('inf')


@attrs.frozen
class Kind:
    """Requests that rank alike.

    :ivar service: name of the service
    :ivar priority: 0 is served first
    :ivar team: name of the team, empty for none
    """

    service: str
    priority: int
    team: str


@attrs.frozen
class Row:
    """Demand of one kind at one entry, as entries send it to each other.

    :ivar service: digest of the name of the service
    :ivar priority: 0 is served first
    :ivar team: digest of the name of the team, 0 for none
    :ivar waiting: number of waiting requests
    :ivar load: requests in flight divided by their weight, in ``LOAD_UNIT``
    :ivar started: number of starts in the last second
    """

    service: int
    priority: int
    team: int
    waiting: int
    load: int
    started: int


@attrs.frozen
class Total:
    """Demand of one kind at this entry and at the others, for operators.

    :ivar service: digest of the name of the service
    :ivar priority: 0 is served first
    :ivar team: digest of the name of the team, 0 for none
    :ivar kind: the names, None if only other entries have such requests
    :ivar weight: weight of the last request of this entry, None without one
    :ivar waiting_since: monotonic time since which requests wait here, in
        seconds, None if none does
    :ivar waiting: requests that wait here
    :ivar load: requests in flight here, divided by their weight
    :ivar started: starts of this entry in the last second
    :ivar told_waiting: requests that wait elsewhere, scaled to all entries
    :ivar told_load: load of the other entries, scaled to all
    :ivar told_started: starts of the other entries, scaled to all
    """

    service: int
    priority: int
    team: int
    kind: Kind | None
    weight: float | None
    waiting_since: float | None
    waiting: int
    load: float
    started: int
    told_waiting: float
    told_load: float
    told_started: float


def digest(name: str) -> int:
    """Return the digest of a service or team, 0 for the empty name."""
    return zlib.crc32(name.encode())


def clamp(value: float) -> int:
    """Round a value to one that a field of a row can hold."""
    # The load of a tiny weight may be infinite, which can't be rounded.
    return round(min(MAX_VALUE, max(0, value)))
