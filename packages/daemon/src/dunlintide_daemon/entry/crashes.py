"""Word of crashes among the frames of the agents."""

from typing import Callable

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_daemon.entry import fleet

__all__ = [
    'broadcast',
    'route_suspects_first',
]

FrameHandler = Callable[[links.Link, list[link_pb2.Frame]], None]


def broadcast(
    fleet_view: fleet.Fleet, frame: link_pb2.Frame, source: links.Link
) -> None:
    """Send word to all agents but the one that sent it."""
    for agent in fleet_view.list_agents():
        if agent.link is not source:
            agent.link.send(frame)


def route_suspects_first(
    take_suspects: Callable[[links.Link, link_pb2.Suspects], None],
    route: FrameHandler,
) -> FrameHandler:
    """Return what takes frames: word of crashes first, then all others.

    :param take: takes word of crashes
    :param route: takes frames of requests
    """

    def route_frames(link: links.Link, frames: list[link_pb2.Frame]) -> None:
        # An attempt that failed in a crash comes behind word of it.
        for frame in frames:
            if frame.WhichOneof('body') == 'suspects':
                take_suspects(link, frame.suspects)
        route(link, frames)

    return route_frames
