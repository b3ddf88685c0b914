"""Construction of the fleet state, served on the entry link port."""

from dunlintide_adapters import peers as peer_calls
from dunlintide_adapters import transports
from dunlintide_core import settings as settings_module
from dunlintide_daemon.entry import entrylinks
from dunlintide_daemon import externalsources
from dunlintide_daemon import localpeer
from dunlintide_daemon import peers

__all__ = [
    'build',
]


def build(
    settings: settings_module.Settings,
    incarnation: int,
    entry_links: entrylinks.EntryLinks,
    fleet_sources: externalsources.ExternalSources | None,
    transport: transports.Transport,
) -> peers.FleetState | None:
    """Build the fleet state and add its service to the entry link server.

    :param entry_links: links whose server, not started yet, serves the state
    :param fleet_sources: sources of the fleet state, None to build none
    :returns: None without sources
    """
    if fleet_sources is None:
        return None
    host = settings.link_listen.rpartition(':')[0]
    address = settings.advertise or f'{host}:{entry_links.port}'
    own_peer = localpeer.make_peer(settings, incarnation, address)
    state = peers.FleetState(own_peer, fleet_sources, transport=transport)
    peer_calls.add_service(entry_links.server, state.answer, transport)
    return state
