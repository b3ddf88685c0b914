"""State of one request at one stage of its chain."""

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

# Tokens that a last stage keeps, should the head die with some of them.
MAX_SAMPLED = 64


def _make_sampled() -> collections.deque:
    return collections.deque(maxlen=MAX_SAMPLED)


@attrs.define(eq=False)
class Session:
    """One epoch of a request at this stage.

    :ivar stage: index of this agent in the chain
    :ivar prompt_tokens: 0 at the head until its engine has told
    :ivar max_tokens: generated tokens of the whole request, at most
    :ivar deadline: monotonic time in seconds
    :ivar generated: index of the next generated token; at the head
    :ivar work: the request at this agent's gate; at the head
    :ivar upstream: link over which the steps come; behind the head
    :ivar announced: whether the next stage has its setup
    :ivar ran: whether a step may have run on this agent's engine
    :ivar first: the head's first step, until the next stage is linked
    :ivar waits_until: monotonic time at which that wait ends
    :ivar prompt: text; at the head
    :ivar tokens: ids of all generated tokens; at the head
    :ivar ran_end: position behind the last one whose result has come
    :ivar known: tokens that the head had when this epoch began
    :ivar held: monotonic time since which a stage of the chain is lost
    :ivar resuming: whether the next stage is told to keep its state
    :ivar waiting: whether the next stage has yet to say what it lacks
    :ivar ahead: whether positions ran on tokens that the head lacked
        when this epoch began
    :ivar truncate: whether the next step drops what ran behind it
    :ivar spares: whether later stages keep their state at the end
    :ivar sampled: newest tokens with their indices; at the last stage
    :ivar prefixes: hashes of the prompt's blocks, for cache events
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
        """Position behind the tokens that the head had."""
        return self.prompt_tokens + self.known_tokens

    @property
    def head(self) -> link_pb2.Stage:
        """The stage that runs the first layer range."""
        return self.chain[0]

    @property
    def next(self) -> link_pb2.Stage:
        """The stage behind this one; not for the last."""
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
    """Build the head's first step: the prompt and resumed tokens.

    :param count: estimated positions
    """
    return _build_job(session, 0, count, prompt=prompt, tokens=resumed or None)


def build_token_job(session: Session, token_id: int) -> drivers.Job:
    """Build the head's step for a token that was just sampled."""
    position = session.cursor.next_position
    session.cursor.accept(session.epoch, position, 1)
    return _build_job(session, position, 1, tokens=(token_id,))


def build_activation_job(
    session: Session, step: link_pb2.Step, trim: int
) -> drivers.Job:
    """Build a later stage's step.

    :param trim: leading positions that have run already
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
    """Build what the next stage must know."""
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
    """Build the end mark behind the last token."""
    return link_pb2.Done(
        request_id=session.request_id,
        epoch=session.epoch,
        tokens=index + 1,
        finish_reason=sampled.finish_reason,
        prompt_tokens=session.prompt_tokens,
    )
