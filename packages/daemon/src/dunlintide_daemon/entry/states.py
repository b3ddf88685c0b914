"""The fleet's state, served at the port for other entries."""

from dunlintide_adapters import peers as peer_calls
from dunlintide_adapters import transports
from dunlintide_core import settings as settings_module
from dunlintide_daemon.entry import exchange
from dunlintide_daemon import externalsources
from dunlintide_daemon import localpeer
from dunlintide_daemon import peers

__all__ = [
    'build',
]


def build(
    settings: settings_module.Settings,
    incarnation: int,
    served: exchange.Exchange,
    outside: externalsources.ExternalSources | None,
    transport: transports.Transport,
) -> peers.FleetState | None:
    """Build the state and add its service to a port.

    :param served: whose port serves it, before it is started
    :param outside: what the state is drawn from; None for no state
    """
    if outside is None:
        return None
    host = settings.link_listen.rpartition(':')[0]
    address = settings.advertise or f'{host}:{served.port}'
    me = localpeer.make_peer(settings, incarnation, address)
    state = peers.FleetState(me, outside, transport=transport)
    peer_calls.add_service(served.server, state.answer, transport)
    return state
