"""What processes say of themselves: own words, and agents' as types."""

from dunlintide_adapters import peercodec
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import settings as settings_module

__all__ = [
    'build_hello',
    'read_load',
    'read_peer',
]


def read_peer(hello: link_pb2.Hello) -> fleet.Peer | None:
    """Return the agent that a process says it is, None for no agent."""
    if hello.role != fleet.Role.AGENT or not hello.HasField('endpoint'):
        return None
    try:
        return peercodec.decode_peer(hello)
    except ValueError:
        # It stands before a kind of endpoint that is not known here.
        return None


def read_load(message: link_pb2.Load) -> fleet.LoadReport:
    """Return what an agent tells of its load."""
    return fleet.LoadReport(
        running=message.running,
        queued=message.queued,
        cap=message.cap,
        kv_usage=message.kv_usage,
        step_seconds=message.step_seconds,
        tokens_per_second=message.tokens_per_second,
        generation=message.generation,
        away=message.away,
    )


def build_hello(
    settings: settings_module.Settings,
    incarnation: int,
    revision: int,
    leaving: bool,
) -> link_pb2.Hello:
    """Build what this entry says of itself.

    :param revision: of the configuration in force
    """
    return link_pb2.Hello(
        name=settings.name,
        role=fleet.Role.ENTRY,
        incarnation=incarnation,
        failure_domain=settings.failure_domain,
        region=settings.region,
        address=settings.advertise or settings.link_listen,
        revision=revision,
        leaving=leaving,
    )
