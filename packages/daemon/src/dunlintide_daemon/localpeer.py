"""Description of this process for its peers."""

from dunlintide_core import fleet
from dunlintide_core import settings as settings_module

__all__ = ['make_peer']


def make_peer(
    settings: settings_module.Settings, incarnation: int, address: str
) -> fleet.Peer:
    """Build the peer record of this process.

    :param incarnation: number that rises with each start of the process
    :param address: ``host:port`` at which peers reach it
    """
    endpoint = settings.endpoint
    return fleet.Peer(
        name=settings.name,
        role=settings.role,
        incarnation=incarnation,
        failure_domain=settings.failure_domain,
        region=settings.region,
        address=address,
        endpoint=endpoint.to_endpoint() if endpoint else None,
    )
