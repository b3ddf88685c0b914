"""Results and failures of the configuration store."""

import attrs
from dunlintide_core import revisions

__all__ = [
    'Conflict',
    'Failure',
    'Snapshot',
]


@attrs.frozen
class Snapshot:
    """One revision of the configuration.

    :ivar head: revision, author and chunk digests
    :ivar document: canonical document that the head describes
    """

    head: revisions.Head
    document: bytes


@attrs.frozen
class Conflict:
    """A change refused because its base revision is not in force.

    :ivar current: configuration in force, None if there is none
    """

    current: Snapshot | None


@attrs.frozen
class Failure:
    """A failed call on the configuration store.

    :ivar maybe_applied: whether the change may have been applied anyway
    """

    message: str
    maybe_applied: bool = False
