"""Dispatch of received frames to the components that handle them."""

from typing import Callable

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import pipeline as pipelines
from dunlintide_daemon.agent import requests
from dunlintide_daemon.agent import services as service_calls
from dunlintide_daemon import crashevidence as suspicions

__all__ = [
    'Dispatcher',
]


class Dispatcher:
    """Dispatches frames on the link reader threads; never blocks."""

    def __init__(
        self,
        gate: gates.Gate,
        pipeline: pipelines.Pipeline | None,
        services: service_calls.ServiceCaller | None,
        handle_order: Callable[[links.Link, link_pb2.Order], None],
        suspicion: suspicions.CrashEvidence,
    ) -> None:
        """Set the handlers of frames.

        :param pipeline: None if the endpoint is a plain service
        :param services: None if the endpoint is an engine
        :param handle_order: called with placement orders for the engine
        """
        self._handle_order = handle_order
        self._gate = gate
        self._pipeline = pipeline
        self._services = services
        self._suspicion = suspicion

    def handle_frames(
        self, link: links.Link, frames: list[link_pb2.Frame]
    ) -> None:
        """Dispatch a batch of frames of one link."""
        with self._gate.lock:
            for frame in frames:
                self._handle_frame(link, frame)

    def _handle_frame(self, link: links.Link, frame: link_pb2.Frame) -> None:
        body = frame.WhichOneof('body')
        if body == 'suspects':
            self._suspicion.receive(link, frame.suspects)
        elif body == 'attach':
            self._attach(link, frame.attach)
        elif self._pipeline is not None:
            self._handle_engine_frame(link, body, frame)
        elif body == 'call':
            self._services.call(link, frame.call)
        elif body == 'cancel':
            cancel = frame.cancel
            self._gate.cancel(cancel.request_id, cancel.epoch, link)

    def _handle_engine_frame(
        self, link: links.Link, body: str, frame: link_pb2.Frame
    ) -> None:
        pipeline = self._pipeline
        if body == 'step':
            pipeline.handle_step(link, frame.step)
        elif body == 'resume':
            pipeline.handle_resume(link, frame.resume)
        elif body == 'token':
            pipeline.handle_token(frame.token)
        elif body == 'done':
            pipeline.handle_done(frame.done)
        elif body == 'open':
            pipeline.open(link, frame.open)
        elif body == 'fail':
            pipeline.handle_fail(frame.fail)
        elif body == 'cancel':
            pipeline.handle_cancel(link, frame.cancel)
        elif body == 'order':
            self._handle_order(link, frame.order)

    def _attach(self, link: links.Link, attach: link_pb2.Attach) -> None:
        request_id = attach.terms.request_id
        subscriber = requests.Subscriber(link, request_id, attach.epoch)
        self._gate.attach(attach.claim, subscriber)
