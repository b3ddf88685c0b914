"""Small event model of stages, links and entries for routing policies.

Assumptions of the model:

- Sessions only decode, with one token in flight for each session.
- A stage runs the waiting tokens, up to a fixed batch size, in a step
  whose duration has a fixed part and a part per token.
- A link between two failure domains is one channel for each layer boundary
  and direction, which serialises and then delays.
- Entries get load reports late.
- Memory is never a limit.
- Requests come from a fixed number of callers, which send the next request
  when one is answered, from Poisson arrivals, or from both.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from dunlintide_core import fleet
from dunlintide_core import plan as plans

__all__ = [
    'Entry',
    'Model',
    'Session',
]

BATCH = 16
FIXED_FRACTION = 0.25
REPORT_SECONDS = 0.5
REPORT_LAG_SECONDS = 0.5
SESSION_TOKENS = (16, 96)
# Tokens of a session between two reports of their mean interval.
TOKENS_PER_OBSERVATION = 8
TICK_SECONDS = 0.5


@attrs.define(eq=False)
class Session:
    """A running request.

    :ivar entry: entry that routed it
    :ivar chain: chain that it runs on
    :ivar repeats: whether its caller sends the next request at its end
    :ivar remaining: remaining tokens
    :ivar reported_at: time of the last report of its token interval in
        seconds
    :ivar stage: index in the chain of the stage that runs it
    """

    entry: 'Entry'
    chain: plans.Chain
    repeats: bool
    remaining: int
    reported_at: float
    stage: int = 0


@attrs.define(eq=False)
class Entry:
    """Callbacks of the routing policy of one entry.

    :ivar choose: returns the chain of a new session at a time
    :ivar begin: called with the chain of a session that starts
    :ivar end: called with the chain of a session that ends
    :ivar report: called with an agent, its load report and the time
    :ivar tokens: called with a chain, the mean token interval of a session
        on it in seconds and the time
    :ivar tick: called with the time every ``TICK_SECONDS``
    """

    choose: Callable[[float], plans.Chain]
    begin: Callable[[plans.Chain], None] = lambda chain: None
    end: Callable[[plans.Chain], None] = lambda chain: None
    report: Callable[[str, fleet.LoadReport, float], None] = (
        lambda agent, report, now: None
    )
    tokens: Callable[[plans.Chain, float, float], None] = (
        lambda chain, interval, now: None
    )
    tick: Callable[[float], None] = lambda now: None


@attrs.define(eq=False)
class _Stage:
    """An endpoint that runs waiting tokens in batches."""

    capacity: float
    speed: float = 1.0
    waiting: collections.deque = attrs.field(factory=collections.deque)
    running: bool = False
    resident: int = 0
    tokens: int = 0
    steps: int = 0
    seconds: float = 0.0
    reported_tokens: int = 0
    reported_steps: int = 0
    reported_seconds: float = 0.0

    def step_seconds(self, batch: int) -> float:
        work = FIXED_FRACTION * BATCH + (1.0 - FIXED_FRACTION) * batch
        return work / (self.capacity * self.speed)

    def make_report(self, reports_queue: bool) -> fleet.LoadReport:
        steps = self.steps - self.reported_steps
        seconds = self.seconds - self.reported_seconds
        tokens = self.tokens - self.reported_tokens
        self.reported_steps, self.reported_seconds = self.steps, self.seconds
        self.reported_tokens = self.tokens
        return fleet.LoadReport(
            running=self.resident,
            queued=max(0, len(self.waiting) - BATCH) if reports_queue else 0,
            step_seconds=seconds / steps if steps else 0.0,
            tokens_per_second=tokens / REPORT_SECONDS,
        )


class Model:
    """Stages, channels and sessions on one event queue."""

    def __init__(
        self,
        plan_stages: list[plans.Stage],
        links: plans.Links,
        entries: list[Entry],
        sessions: int,
        rng: random.Random,
        arrivals: float = 0.0,
        reports_queue: bool = False,
    ) -> None:
        """Schedule the first events, which ``run`` processes.

        :param sessions: number of callers that send the next request when
            one is answered
        :param arrivals: additional requests per second with Poisson
            arrivals
        :param reports_queue: whether load reports include queued work;
            without it a policy has to infer queues from step times, as with
            engines that queue internally
        """
        self.now = 0.0
        self.token_times: list[float] = []
        self.stages = {
            stage.agent: _Stage(stage.capacity) for stage in plan_stages
        }
        self.slowdowns: dict[tuple[str, str], float] = {}
        self._reports_queue = reports_queue
        self._links = links
        self._entries = entries
        self._rng = rng
        self._channel_free_at: dict[tuple, float] = {}
        self._events: list[tuple] = []
        self._order = itertools.count()
        for index in range(sessions):
            entry = entries[index % len(entries)]
            self._at(rng.random(), self._start, entry, True)
        if arrivals:
            self._at(0.0, self._run_arrivals, arrivals)
        for agent in self.stages:
            self._at(rng.random() * REPORT_SECONDS, self._report, agent)
        for entry in entries:
            self._at(rng.random(), self._tick, entry)

    def run(self, until: float) -> None:
        """Advance to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def rate(self, start: float, end: float) -> float:
        """Return the tokens/s that callers got between two times."""
        count = sum(start <= when < end for when in self.token_times)
        return count / (end - start)

    def _at(self, when: float, call: Callable, *arguments) -> None:
        heapq.heappush(
            self._events, (when, next(self._order), call, arguments)
        )

    def _tick(self, entry: Entry) -> None:
        entry.tick(self.now)
        self._at(self.now + TICK_SECONDS, self._tick, entry)

    def _report(self, agent: str) -> None:
        report = self.stages[agent].make_report(self._reports_queue)
        for entry in self._entries:
            self._at(
                self.now + REPORT_LAG_SECONDS,
                self._deliver,
                entry,
                agent,
                report,
            )
        self._at(self.now + REPORT_SECONDS, self._report, agent)

    def _deliver(
        self, entry: Entry, agent: str, report: fleet.LoadReport
    ) -> None:
        entry.report(agent, report, self.now)

    def _run_arrivals(self, arrivals: float) -> None:
        self._start(self._rng.choice(self._entries), False)
        pause = self._rng.expovariate(arrivals)
        self._at(self.now + pause, self._run_arrivals, arrivals)

    def _start(self, entry: Entry, repeats: bool) -> None:
        chain = entry.choose(self.now)
        entry.begin(chain)
        for agent in chain.agents:
            self.stages[agent].resident += 1
        length = self._rng.randint(*SESSION_TOKENS)
        self._enqueue([Session(entry, chain, repeats, length, self.now)])

    def _enqueue(self, sessions: list[Session]) -> None:
        session = sessions[0]
        stage = self.stages[session.chain.stages[session.stage].agent]
        stage.waiting.extend(sessions)
        self._start_step(stage)

    def _start_step(self, stage: _Stage) -> None:
        if stage.running or not stage.waiting:
            return
        size = min(BATCH, len(stage.waiting))
        batch = [stage.waiting.popleft() for _ in range(size)]
        seconds = stage.step_seconds(size)
        stage.running = True
        self._at(self.now + seconds, self._finish_step, stage, batch, seconds)

    def _finish_step(
        self, stage: _Stage, batch: list[Session], seconds: float
    ) -> None:
        stage.running = False
        stage.tokens += len(batch)
        stage.steps += 1
        stage.seconds += seconds
        messages = collections.defaultdict(list)
        for session in batch:
            if session.stage + 1 < len(session.chain.stages):
                plan_stages = session.chain.stages
                hop = (
                    plan_stages[session.stage],
                    plan_stages[session.stage + 1],
                )
                session.stage += 1
                messages[hop].append(session)
            else:
                self._finish_token(session)
        for hop, sessions in messages.items():
            self._send(hop, sessions)
        self._start_step(stage)

    def _send(self, hop: tuple, sessions: list[Session]) -> None:
        source, target = hop
        pair = source.failure_domain, target.failure_domain
        quality = self._links.between(source, target)
        channel = pair, source.layer_end
        slowdown = self.slowdowns.get(pair, 1.0)
        sent = max(self.now, self._channel_free_at.get(channel, 0.0))
        sent += len(sessions) * slowdown / quality.tokens_per_second
        self._channel_free_at[channel] = sent
        self._at(sent + quality.latency, self._enqueue, sessions)

    def _finish_token(self, session: Session) -> None:
        self.token_times.append(self.now)
        session.remaining -= 1
        session.stage = 0
        if not session.remaining:
            for agent in session.chain.agents:
                self.stages[agent].resident -= 1
            session.entry.end(session.chain)
            if session.repeats:
                self._start(session.entry, True)
            return
        if session.remaining % TOKENS_PER_OBSERVATION == 0:
            interval = (
                self.now - session.reported_at
            ) / TOKENS_PER_OBSERVATION
            session.reported_at = self.now
            session.entry.tokens(session.chain, interval, self.now)
        plan_stages = session.chain.stages
        back = self._links.between(plan_stages[-1], plan_stages[0]).latency
        self._at(self.now + back, self._enqueue, [session])
