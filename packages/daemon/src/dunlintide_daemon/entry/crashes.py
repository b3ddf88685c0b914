"""Crash suspicion reports (``Suspects`` frames) from and to agents."""

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
    """Forward a frame to all agents except its sender."""
    for agent in fleet_view.list_agents():
        if agent.link is not source:
            agent.link.send(frame)


def route_suspects_first(
    handle_suspects: Callable[[links.Link, link_pb2.Suspects], None],
    route: FrameHandler,
) -> FrameHandler:
    """Build a frame handler that handles suspects before other frames.

    :param handle_suspects: handles the body of a ``Suspects`` frame
    :param route: handles a batch of frames, ``Suspects`` included
    """

    def route_frames(link: links.Link, frames: list[link_pb2.Frame]) -> None:
        # A failure caused by a crash is sent behind the report of the
        # crash, which must be known before the request is retried.
        for frame in frames:
            if frame.WhichOneof('body') == 'suspects':
                handle_suspects(link, frame.suspects)
        route(link, frames)

    return route_frames
