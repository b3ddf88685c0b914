"""Requests at an agent, and who gets their answers."""

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
    """Where a request stands at its gate."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@attrs.frozen(eq=False)
class Subscriber:
    """Where an answer goes, and under which name.

    A repeat may come under another request id and epoch than the run.
    """

    link: links.Link
    request_id: str
    epoch: int

    def send(self, frame: link_pb2.Frame) -> bool:
        """Send a frame under this subscriber's own names."""
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
    """One request that this agent runs as head, or calls a service for.

    :ivar epoch: of the run; subscribers may have newer ones
    :ivar deadline: monotonic time in seconds
    :ivar cost: in the queue's unit
    :ivar tokens: KV cache positions that it may come to need
    :ivar spent: what it really cost so far; None when not known
    :ivar under_way: steps that the engine has yet to run
    :ivar start: begins the run; must not block
    :ivar stop: ends the run early; must not block
    :ivar log: frames sent so far, for repeats
    :ivar keeps_log: whether a repeat may ask for the answer
    :ivar detached: time since which nobody takes the answer
    :ivar held: time since which a stage is lost and the run waits for an
        entry to name another one
    :ivar finished: whether the whole answer came while it was held
    :ivar take_over: goes on with another request's held run over the
        chain of this one; False when it cannot
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
    """Read a claim off the wire."""
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

    :param ran: False only when provably nothing of it ran
    :param agent: agent at fault
    :param retry_after: seconds
    :param sealed: whether the claimed attempt never ran and never will
    :param held: whether the run waits for an Open that names a new chain
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
