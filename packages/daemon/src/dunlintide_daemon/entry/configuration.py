"""The configuration in force at this entry."""

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
    """One configuration with what is derived from it.

    A request takes one snapshot and keeps it, so that no request meets
    halves of two configurations.
    """

    revision: int
    config: configuration.Configuration
    index: matching.RuleIndex
    keys: identity.KeyTable
    models: dict[str, configuration.Model]
    services: dict[str, configuration.Service]


class Holder:
    """Holds the newest configuration and never goes back."""

    def __init__(self) -> None:
        """Begin without a configuration."""
        self._lock = threading.Lock()
        self._snapshot: Snapshot | None = None

    @property
    def snapshot(self) -> Snapshot | None:
        """The configuration in force, or None before the first."""
        return self._snapshot

    @property
    def revision(self) -> int:
        """Revision in force, 0 before the first."""
        snapshot = self._snapshot
        return snapshot.revision if snapshot is not None else 0

    def adopt(
        self, revision: int, config: configuration.Configuration
    ) -> bool:
        """Put a configuration in force unless a newer one is.

        :returns: whether it was put in force
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
