"""Clients of the configuration store and the host list, for watchers."""

import contextlib
import threading
from typing import Callable, Iterable, Protocol

import attrs
import result

from dunlintide_adapters import configstore
from dunlintide_adapters import hostlist
from dunlintide_adapters import store
from dunlintide_core import configreplica
from dunlintide_core import settings as settings_module

__all__ = ['ExternalSources', 'StoreWatch']


class _ConfigStore(Protocol):
    """Subset of ``configstore.ConfigStore`` that is used here."""

    def watch(
        self,
        on_snapshot: Callable[[configstore.Snapshot], None],
        stop: threading.Event,
        held: configstore.Snapshot | None,
        poll_seconds: float,
        on_read: Callable[[int], None],
    ) -> None:
        """Deliver each new revision until ``stop`` is set.

        :param held: configuration that is already known
        :param poll_seconds: longest time between two reads
        :param on_read: called with the store's revision at each read
        """


@attrs.frozen
class ExternalSources:
    """Sources of the fleet's state other than peers.

    :ivar read_hosts: reads the host list, or returns why it failed
    :ivar configs: configuration in the store
    :ivar poll_seconds: longest time between two reads of the store by a
        watcher
    :ivar hosts_seconds: time between two reads of the host list by a watcher
    :ivar close: closes the clients
    """

    read_hosts: Callable[[], result.Result[Iterable[hostlist.Host], object]]
    configs: _ConfigStore
    poll_seconds: float = 30.0
    hosts_seconds: float = 2.0
    close: Callable[[], None] = lambda: None

    @classmethod
    def from_config(
        cls, settings: settings_module.Settings
    ) -> 'ExternalSources':
        """Create clients of the store and the host list."""
        timing = settings.timing
        with contextlib.ExitStack() as stack:
            client = store.Store.from_url(
                settings.store_url,
                timing=store.StoreTiming(read=timing.store_timeout),
            )
            stack.callback(client.close)
            hosts = hostlist.HostList.from_url(settings.host_list_url)
            stack.callback(hosts.close)
            return cls(
                hosts.poll,
                configstore.ConfigStore.from_store(client),
                timing.configuration_poll,
                timing.host_list_poll,
                stack.pop_all().close,
            )


class StoreWatch:
    """Follows the store's configuration while this process is a watcher."""

    def __init__(
        self,
        sources: ExternalSources,
        get_snapshot: Callable[[], configreplica.Snapshot | None],
        handle_snapshot: Callable[[configstore.Snapshot], None],
        record_revision: Callable[[int], None],
    ) -> None:
        """Start inactive.

        :param get_snapshot: returns the configuration in force
        :param handle_snapshot: called with each newer one from the store
        :param record_revision: called with the store's revision at each read
        """
        self._sources = sources
        self._get_snapshot = get_snapshot
        self._handle_snapshot = handle_snapshot
        self._record_revision = record_revision
        self._stop: threading.Event | None = None

    def set_active(self, watcher: bool) -> None:
        """Start or stop following the store.

        :param watcher: whether this process is a watcher
        """
        if not watcher and self._stop is not None:
            self._stop.set()
            self._stop = None
        if watcher and self._stop is None:
            self._stop = threading.Event()
            threading.Thread(
                target=self._follow,
                args=(self._stop,),
                name='store-watch',
                daemon=True,
            ).start()

    def _follow(self, stop: threading.Event) -> None:
        held = self._get_snapshot()
        if held is not None:
            held = configstore.Snapshot(held.head, held.document)
        self._sources.configs.watch(
            self._handle_snapshot,
            stop,
            held,
            self._sources.poll_seconds,
            self._record_revision,
        )
