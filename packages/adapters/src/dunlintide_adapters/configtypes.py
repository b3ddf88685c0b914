"""What the configuration store gives and why it may fail."""

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

    :ivar document: canonical document that the head describes
    """

    head: revisions.Head
    document: bytes


@attrs.frozen
class Conflict:
    """A change refused because another came first.

    :ivar current: what is in force, None when nothing is
    """

    current: Snapshot | None


@attrs.frozen
class Failure:
    """A call that did not come through.

    :ivar maybe_applied: whether a change may be in force all the same
    """

    message: str
    maybe_applied: bool = False
