"""State of a request at one stage of its chain."""

import collections

import attrs

from dunlintide_adapters import engine as engines
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import positions
from dunlintide_daemon.agent import driver as drivers
from dunlintide_daemon.agent import requests

__all__ = [
    'MAX_SAMPLED',
    'Session',
    'build_activation_job',
    'build_done',
    'build_prompt_job',
    'build_setup',
    'build_token',
    'build_token_job',
]

# Tokens that the last stage keeps to resend, as a lost head or link may have
# lost the newest ones.
MAX_SAMPLED = 64


def _make_sampled() -> collections.deque:
    return collections.deque(maxlen=MAX_SAMPLED)


@attrs.define(eq=False)
class Session:
    """State of one epoch of a request at this stage.

    :ivar stage: index of this agent in the chain
    :ivar cursor: epoch and next position expected at this stage
    :ivar prompt_tokens: 0 at the head until its engine has returned it
    :ivar max_tokens: maximum number of generated tokens of the request
    :ivar deadline: monotonic time in seconds
    :ivar generated: index of the next generated token; head only
    :ivar request: request at this agent's gate; head only
    :ivar upstream: link to the previous stage; later stages only
    :ivar next_has_setup: whether the setup was sent to the next stage
    :ivar ran: whether the engine has run a step of the session
    :ivar first_job: first step, until the next stage is linked; head only
    :ivar link_deadline: monotonic time at which the wait for that link ends
    :ivar prompt: text of the prompt; head only
    :ivar tokens: ids of all generated tokens; head only
    :ivar ran_end: position after the last one with a result
    :ivar known_tokens: tokens that the head had at the start of this epoch
    :ivar held_since: monotonic time since which the session waits for a
        replacement of a lost stage
    :ivar resuming: whether the next stage may hold state to resume
    :ivar awaits_reply: whether the next stage has yet to reply which
        positions it lacks
    :ivar ran_ahead: whether positions ran on tokens that the head lacked at
        the start of this epoch
    :ivar truncate: whether the next step discards later positions
    :ivar later_stages_hold: whether later stages hold their state when the
        session ends
    :ivar sampled: newest tokens with their indices; last stage only
    :ivar prefixes: hashes of the prompt's blocks, to match cache events
    """

    request_id: str
    epoch: int
    stage: int
    chain: tuple[link_pb2.Stage, ...]
    terms: link_pb2.Terms
    model: str
    version: str
    max_tokens: int
    deadline: float
    cursor: positions.Cursor
    prompt_tokens: int = 0
    generated: int = 0
    request: requests.Request | None = None
    upstream: links.Link | None = None
    next_has_setup: bool = False
    ran: bool = False
    first_job: drivers.Job | None = None
    link_deadline: float = 0.0
    prompt: str = ''
    tokens: list[int] = attrs.field(factory=list)
    ran_end: int = 0
    known_tokens: int = 0
    held_since: float | None = None
    resuming: bool = False
    awaits_reply: bool = False
    ran_ahead: bool = False
    truncate: bool = False
    later_stages_hold: bool = False
    sampled: collections.deque[tuple[int, engines.SampledToken]] = attrs.field(
        factory=_make_sampled
    )
    prefixes: link_pb2.Prefixes | None = None

    @property
    def is_head(self) -> bool:
        """Whether this agent runs the first layer range."""
        return self.stage == 0

    @property
    def is_last(self) -> bool:
        """Whether this agent runs the last layer range."""
        return self.stage == len(self.chain) - 1

    @property
    def boundary(self) -> int:
        """Position after the tokens that the head had at the epoch's start."""
        return self.prompt_tokens + self.known_tokens

    @property
    def head(self) -> link_pb2.Stage:
        """The stage that runs the first layer range."""
        return self.chain[0]

    @property
    def next(self) -> link_pb2.Stage:
        """The stage after this one; undefined at the last stage."""
        return self.chain[self.stage + 1]

    @property
    def last(self) -> link_pb2.Stage:
        """The stage that samples the tokens."""
        return self.chain[-1]


def _build_job(
    session: Session, position: int, count: int, **span
) -> drivers.Job:
    stage = session.chain[session.stage]
    truncate, session.truncate = session.truncate, False
    step = engines.Step(
        truncate=truncate,
        session=session.request_id,
        epoch=session.epoch,
        team=session.terms.team,
        position=position,
        idempotency_key=session.terms.idempotency_key,
        cache_salt=session.terms.cache_salt,
        priority=session.terms.priority,
        last_stage=session.is_last,
        max_tokens=session.max_tokens,
        prompt_tokens=session.prompt_tokens,
        layers=(stage.layer_start, stage.layer_end),
        **span,
    )
    return drivers.Job(step, session, count)


def build_prompt_job(
    session: Session, prompt: str, resumed: tuple[int, ...], count: int
) -> drivers.Job:
    """Build the first step of the head: the prompt and resumed tokens.

    :param count: estimated number of positions
    """
    return _build_job(session, 0, count, prompt=prompt, tokens=resumed or None)


def build_token_job(session: Session, token_id: int) -> drivers.Job:
    """Build the step of the head that runs a sampled token."""
    position = session.cursor.next_position
    session.cursor.accept(session.epoch, position, 1)
    return _build_job(session, position, 1, tokens=(token_id,))


def build_activation_job(
    session: Session, step: link_pb2.Step, trim: int
) -> drivers.Job:
    """Build a step of a later stage.

    :param trim: number of leading positions that have already run
    """
    activations = step.activations
    if trim:
        activations = activations[len(activations) // step.count * trim :]
    return _build_job(
        session,
        step.position + trim,
        step.count - trim,
        activations=activations,
    )


def build_setup(session: Session, now: float) -> link_pb2.Setup:
    """Build the setup that starts the session at the next stage."""
    terms = link_pb2.Terms()
    terms.CopyFrom(session.terms)
    terms.deadline_ms = max(1, int((session.deadline - now) * 1000))
    return link_pb2.Setup(
        terms=terms,
        chain=session.chain,
        model=session.model,
        version=session.version,
        prompt_tokens=session.prompt_tokens,
        max_tokens=session.max_tokens,
        known_tokens=session.known_tokens,
        prefixes=session.prefixes,
    )


def build_token(
    session: Session, index: int, sampled: engines.SampledToken
) -> link_pb2.Token:
    """Build the message of a sampled token."""
    return link_pb2.Token(
        request_id=session.request_id,
        epoch=session.epoch,
        index=index,
        id=sampled.id,
        text=sampled.text,
        final=bool(sampled.finish_reason),
    )


def build_done(
    session: Session, index: int, sampled: engines.SampledToken
) -> link_pb2.Done:
    """Build the message that ends an answer."""
    return link_pb2.Done(
        request_id=session.request_id,
        epoch=session.epoch,
        tokens=index + 1,
        finish_reason=sampled.finish_reason,
        prompt_tokens=session.prompt_tokens,
    )
