"""Clients of the platform's services: store and host list."""

import contextlib
import threading
from typing import Callable, Iterable

from absl import logging
import attrs
import result

from dunlintide_adapters import claims as claim_writers
from dunlintide_adapters import configstore
from dunlintide_adapters import hostlist
from dunlintide_adapters import leaders as leader_keys
from dunlintide_adapters import metrics
from dunlintide_adapters import store
from dunlintide_core import configreplica
from dunlintide_core import configuration
from dunlintide_core import documents
from dunlintide_core import settings as settings_module
from dunlintide_daemon.entry import claims

__all__ = [
    'Adopt',
    'Sources',
    'adopt_document',
]

# Puts a configuration of a revision in force; returns False if the revision
# is not newer.
Adopt = Callable[[int, configuration.Configuration], bool]


def adopt_document(
    adopt: Adopt, snapshot: configstore.Snapshot | configreplica.Snapshot
) -> None:
    """Decode a configuration and put it in force, or log the error."""
    revision = snapshot.head.revision
    decoded = documents.decode_configuration(snapshot.document)
    if isinstance(decoded, result.Err):
        # The configuration in force is kept until there is a revision that
        # this version can decode.
        logging.error(
            'configuration revision %d rejected: %s',
            revision,
            decoded.err_value.message,
        )
        return
    if adopt(revision, decoded.ok_value):
        logging.info('configuration revision %d in force', revision)


@attrs.frozen
class Sources:
    """Platform operations that an entry uses.

    :ivar read_hosts: reads the host list, or returns the error
    :ivar watch_configuration: calls back with each new configuration until
        the event is set
    :ivar writer: writes claims to the store
    :ivar leaders: leader keys in the store; without them this entry does
        not take part in leader election
    :ivar close: closes all clients
    """

    read_hosts: Callable[[], result.Result[Iterable[hostlist.Host], object]]
    watch_configuration: Callable[[Adopt, threading.Event], None]
    writer: claims.Writer
    leaders: leader_keys.Leaders | None = None
    close: Callable[[], None] = lambda: None

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        store_metrics: metrics.Metrics | None = None,
    ) -> 'Sources':
        """Build clients of the store and the host list.

        :param store_metrics: metrics of the store calls
        """
        timing = settings.timing
        with contextlib.ExitStack() as stack:
            client = store.Store.from_url(
                settings.store_url,
                store_metrics,
                store.StoreTiming(read=timing.store_timeout),
            )
            stack.callback(client.close)
            writer = claim_writers.ClaimWriter(client)
            writer.start()
            stack.callback(writer.stop)
            listed = hostlist.HostList.from_url(settings.host_list_url)
            stack.callback(listed.close)
            configs = configstore.ConfigStore.from_store(client)

            def watch_configuration(
                adopt: Adopt, stopped: threading.Event
            ) -> None:
                configs.watch(
                    lambda snapshot: adopt_document(adopt, snapshot),
                    stopped,
                    poll_seconds=timing.configuration_poll,
                )

            return cls(
                listed.poll,
                watch_configuration,
                writer,
                leader_keys.Leaders(client),
                stack.pop_all().close,
            )
