"""Requests at an agent and the subscribers of their answers."""

import enum
from typing import Callable

import attrs

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import ledger
from dunlintide_core import outcomes
from dunlintide_core import queueing

__all__ = [
    'Phase',
    'Request',
    'Subscriber',
    'build_fail',
    'read_claim',
]


class Phase(enum.StrEnum):
    """Phase of a request at the gate."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@attrs.frozen(eq=False)
class Subscriber:
    """Link that receives an answer, with the request id to use on it.

    A repeat may have another request id and epoch than the run.
    """

    link: links.Link
    request_id: str
    epoch: int

    def send(self, frame: link_pb2.Frame) -> bool:
        """Send a frame with the request id and epoch of this subscriber."""
        body = frame.WhichOneof('body')
        part = getattr(frame, body)
        if part.request_id == self.request_id and part.epoch == self.epoch:
            return self.link.send(frame)
        copied = link_pb2.Frame()
        copied.CopyFrom(frame)
        part = getattr(copied, body)
        part.request_id = self.request_id
        part.epoch = self.epoch
        return self.link.send(copied)


@attrs.define(eq=False)
class Request:
    """A request that this agent runs as head or sends to a service.

    :ivar epoch: epoch of the run; subscribers may have newer ones
    :ivar deadline: monotonic time in seconds
    :ivar cost: estimated cost in the unit of the queue
    :ivar tokens: maximum number of KV cache positions
    :ivar start: starts the run; must not block
    :ivar stop: stops the run early; must not block
    :ivar keeps_log: whether to keep sent frames for repeats
    :ivar chain_key: agents and layers of the chain, to compare chains
    :ivar entry: ledger record of a claimed request
    :ivar ticket: position in the queue
    :ivar actual_cost: measured cost so far; None if not known
    :ivar steps_under_way: steps submitted and not finished by the engine
    :ivar log: frames sent so far
    :ivar detached_since: monotonic time of the loss of the last subscriber
    :ivar held_since: monotonic time since which the run waits for an entry
        to replace a lost stage
    :ivar finished: whether the complete answer came while the run was held
    :ivar resume_held: resumes the held run of another request over the
        chain of this one; returns False if that is not possible
    """

    request_id: str
    epoch: int
    terms: link_pb2.Terms
    deadline: float
    cost: float
    tokens: int
    start: Callable[['Request'], None]
    stop: Callable[['Request'], None]
    keeps_log: bool = True
    chain_key: tuple = ()
    entry: ledger.Record | None = None
    phase: Phase = Phase.QUEUED
    ticket: queueing.Ticket | None = None
    actual_cost: float | None = None
    steps_under_way: int = 0
    subscribers: list[Subscriber] = attrs.field(factory=list)
    log: list[link_pb2.Frame] = attrs.field(factory=list)
    log_bytes: int = 0
    detached_since: float | None = None
    started_at: float = 0.0
    held_since: float | None = None
    finished: bool = False
    resume_held: Callable[['Request'], bool] = lambda other: False


def read_claim(claim: link_pb2.Claim) -> ledger.Claim:
    """Decode a claim message."""
    return ledger.Claim(
        claim.key_digest,
        claim.fingerprint,
        claim.executor_incarnation,
        claim.attempt,
        claim.generation,
    )


def build_fail(
    request_id: str,
    epoch: int,
    code: outcomes.FailCode,
    detail: str,
    *,
    ran: bool,
    agent: str,
    retry_after: float | None = None,
    sealed: bool = False,
    held: bool = False,
) -> link_pb2.Frame:
    """Build a Fail frame.

    :param ran: False only when it is certain that no step ran
    :param agent: agent at fault
    :param retry_after: seconds to wait before a retry
    :param sealed: whether the claimed attempt has not run and cannot run
    :param held: whether the run waits for an Open with a new chain
    """
    return link_pb2.Frame(
        fail=link_pb2.Fail(
            request_id=request_id,
            epoch=epoch,
            code=code,
            detail=detail,
            ran=ran,
            agent=agent,
            retry_after_ms=int((retry_after or 0.0) * 1000),
            sealed=sealed,
            held=held,
        )
    )
