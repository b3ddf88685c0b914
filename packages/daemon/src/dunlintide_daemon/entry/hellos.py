"""Hello and load messages: build this entry's, decode those of agents."""

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
    """Decode an agent's hello.

    :returns: None if the sender is not an agent or its endpoint is of an
        unknown kind
    """
    if hello.role != fleet.Role.AGENT or not hello.HasField('endpoint'):
        return None
    try:
        return peercodec.decode_peer(hello)
    except ValueError:
        # An agent of a newer version may have an endpoint kind that this
        # version does not know.
        return None


def read_load(message: link_pb2.Load) -> fleet.LoadReport:
    """Decode an agent's load report."""
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
    """Build the hello message of this entry.

    :param revision: revision of the configuration in force
    :param leaving: whether this entry is draining
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
