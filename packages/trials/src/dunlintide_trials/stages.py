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
FIXED_PART = 0.25
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
    :ivar again: whether its caller sends the next request at its end
    :ivar left: remaining tokens
    :ivar observed: time of the last report of its token interval in
        seconds
    :ivar stage: index in the chain of the stage that runs it
    """

    entry: 'Entry'
    chain: plans.Chain
    again: bool
    left: int
    observed: float
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
    told_tokens: int = 0
    told_steps: int = 0
    told_seconds: float = 0.0

    def step_seconds(self, batch: int) -> float:
        work = FIXED_PART * BATCH + (1.0 - FIXED_PART) * batch
        return work / (self.capacity * self.speed)

    def tell(self, tells_queue: bool) -> fleet.LoadReport:
        steps = self.steps - self.told_steps
        seconds = self.seconds - self.told_seconds
        tokens = self.tokens - self.told_tokens
        self.told_steps, self.told_seconds = self.steps, self.seconds
        self.told_tokens = self.tokens
        return fleet.LoadReport(
            running=self.resident,
            queued=max(0, len(self.waiting) - BATCH) if tells_queue else 0,
            step_seconds=seconds / steps if steps else 0.0,
            tokens_per_second=tokens / REPORT_SECONDS,
        )


class Model:
    """Stages, channels and sessions on one event queue."""

    def __init__(
        self,
        stops: list[plans.Stage],
        links: plans.Links,
        entries: list[Entry],
        sessions: int,
        rng: random.Random,
        arrivals: float = 0.0,
        tells_queue: bool = False,
    ) -> None:
        """Schedule the first events, which ``run`` processes.

        :param sessions: number of callers that send the next request when
            one is answered
        :param arrivals: additional requests per second with Poisson
            arrivals
        :param tells_queue: whether load reports include queued work;
            without it a policy has to infer queues from step times, as with
            engines that queue internally
        """
        self.now = 0.0
        self.done: list[float] = []
        self.stages = {stop.agent: _Stage(stop.capacity) for stop in stops}
        self.slowdowns: dict[tuple[str, str], float] = {}
        self._tells_queue = tells_queue
        self._links = links
        self._entries = entries
        self._rng = rng
        self._free: dict[tuple, float] = {}
        self._events: list[tuple] = []
        self._order = itertools.count()
        for index in range(sessions):
            entry = entries[index % len(entries)]
            self._at(rng.random(), self._start, entry, True)
        if arrivals:
            self._at(0.0, self._arrive_anew, arrivals)
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
        count = sum(start <= when < end for when in self.done)
        return count / (end - start)

    def _at(self, when: float, call: Callable, *arguments) -> None:
        heapq.heappush(
            self._events, (when, next(self._order), call, arguments)
        )

    def _tick(self, entry: Entry) -> None:
        entry.tick(self.now)
        self._at(self.now + TICK_SECONDS, self._tick, entry)

    def _report(self, agent: str) -> None:
        report = self.stages[agent].tell(self._tells_queue)
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

    def _arrive_anew(self, arrivals: float) -> None:
        self._start(self._rng.choice(self._entries), False)
        pause = self._rng.expovariate(arrivals)
        self._at(self.now + pause, self._arrive_anew, arrivals)

    def _start(self, entry: Entry, again: bool) -> None:
        chain = entry.choose(self.now)
        entry.begin(chain)
        for agent in chain.agents:
            self.stages[agent].resident += 1
        length = self._rng.randint(*SESSION_TOKENS)
        self._arrive([Session(entry, chain, again, length, self.now)])

    def _arrive(self, sessions: list[Session]) -> None:
        session = sessions[0]
        stage = self.stages[session.chain.stages[session.stage].agent]
        stage.waiting.extend(sessions)
        self._work(stage)

    def _work(self, stage: _Stage) -> None:
        if stage.running or not stage.waiting:
            return
        size = min(BATCH, len(stage.waiting))
        batch = [stage.waiting.popleft() for _ in range(size)]
        seconds = stage.step_seconds(size)
        stage.running = True
        self._at(self.now + seconds, self._finish, stage, batch, seconds)

    def _finish(
        self, stage: _Stage, batch: list[Session], seconds: float
    ) -> None:
        stage.running = False
        stage.tokens += len(batch)
        stage.steps += 1
        stage.seconds += seconds
        messages = collections.defaultdict(list)
        for session in batch:
            if session.stage + 1 < len(session.chain.stages):
                stops = session.chain.stages
                hop = stops[session.stage], stops[session.stage + 1]
                session.stage += 1
                messages[hop].append(session)
            else:
                self._count(session)
        for hop, sessions in messages.items():
            self._send(hop, sessions)
        self._work(stage)

    def _send(self, hop: tuple, sessions: list[Session]) -> None:
        source, target = hop
        pair = source.failure_domain, target.failure_domain
        quality = self._links.between(source, target)
        channel = pair, source.layer_end
        slowdown = self.slowdowns.get(pair, 1.0)
        sent = max(self.now, self._free.get(channel, 0.0))
        sent += len(sessions) * slowdown / quality.tokens_per_second
        self._free[channel] = sent
        self._at(sent + quality.latency, self._arrive, sessions)

    def _count(self, session: Session) -> None:
        self.done.append(self.now)
        session.left -= 1
        session.stage = 0
        if not session.left:
            for agent in session.chain.agents:
                self.stages[agent].resident -= 1
            session.entry.end(session.chain)
            if session.again:
                self._start(session.entry, True)
            return
        if session.left % TOKENS_PER_OBSERVATION == 0:
            interval = (self.now - session.observed) / TOKENS_PER_OBSERVATION
            session.observed = self.now
            session.entry.tokens(session.chain, interval, self.now)
        stops = session.chain.stages
        back = self._links.between(stops[-1], stops[0]).latency
        self._at(self.now + back, self._arrive, [session])
