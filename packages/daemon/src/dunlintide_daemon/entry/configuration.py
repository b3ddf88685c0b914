"""Configuration in force at this entry, with look-up tables for it."""

import threading

import attrs

from dunlintide_core import configuration
from dunlintide_core import matching
from dunlintide_daemon.entry import identity

__all__ = [
    'Holder',
    'Snapshot',
]


@attrs.frozen(eq=False)
class Snapshot:
    """One revision of the configuration with look-up tables.

    A request keeps the snapshot that it started with, so it never mixes
    two revisions.

    :ivar revision: store revision of the configuration
    :ivar index: routing rules, indexed for matching
    :ivar keys: teams by the hash of their bearer keys
    :ivar models: models by name
    :ivar services: plain services by name
    """

    revision: int
    config: configuration.Configuration
    index: matching.RuleIndex
    keys: identity.KeyTable
    models: dict[str, configuration.Model]
    services: dict[str, configuration.Service]


class Holder:
    """Holds the newest configuration; older revisions are rejected."""

    def __init__(self) -> None:
        """Initialize without a configuration."""
        self._lock = threading.Lock()
        self._snapshot: Snapshot | None = None

    @property
    def snapshot(self) -> Snapshot | None:
        """Configuration in force, None before the first one."""
        return self._snapshot

    @property
    def revision(self) -> int:
        """Revision in force, 0 before the first one."""
        snapshot = self._snapshot
        return snapshot.revision if snapshot is not None else 0

    def adopt(
        self, revision: int, config: configuration.Configuration
    ) -> bool:
        """Put a configuration in force if its revision is newer.

        :returns: False if this or a newer revision is already in force
        """
        with self._lock:
            if revision <= self.revision:
                return False
            self._snapshot = Snapshot(
                revision=revision,
                config=config,
                index=matching.RuleIndex.from_rules(config.rules),
                keys=identity.KeyTable.from_config(config),
                models={one.name: one for one in config.models},
                services={one.name: one for one in config.services},
            )
            return True
