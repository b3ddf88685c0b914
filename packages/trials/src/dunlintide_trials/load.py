"""Load generator of soaks that records requests, repeats and responses."""

import json
import random
import threading
import time
from typing import Callable

import attrs

from dunlintide_core import outcomes
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import records

__all__ = ['Load', 'ServiceCall']

_MAX_TOKENS = 40
_WORDS = ('fresh', 'peach', 'cobbler', 'brisket', 'diesel', 'fridge', 'drum')
_PROMPT_WORDS = (3, 40)
_GAP_SECONDS = (0.0, 0.1)
_MAX_REPEATS = 3
_REPEAT_PROBABILITY = 0.4
_STREAM_SHARE = 0.7
_KEYED_STREAM_SHARE = 0.35
# Threads of each group of 16 by kind of request; the remaining one sends
# idempotent reads.
_COMPLETE_THREADS = 8
_KEYED_COMPLETE_THREADS = 3
_KEYED_CALL_THREADS = 3
_UNKEYED_CALL_THREADS = 1


@attrs.frozen
class ServiceCall:
    """A call of a plain service with all its repeats.

    :ivar key: idempotency key, empty without one
    :ivar body: body of the request, empty for an idempotent call
    :ivar answers: responses to the call and its repeats, in order
    """

    team: str
    key: str
    body: bytes
    answers: tuple[client.Answer, ...]

    def check(self) -> list[str]:
        """List responses that belong to other calls or differ in repeats.

        The stand-in echoes the team and the idempotency key, which
        identify the call. Without a key from the caller the router may
        generate one, so the request id identifies the call instead.
        """
        complete = [one for one in self.answers if one.is_complete]
        violations = []
        for answer in complete:
            echo = json.loads(answer.body)
            found = (echo['member'], echo['idempotency_key'])
            matches = found == (self.team, self.key)
            if not self.key:
                found = (echo['member'], echo['request_id'])
                matches = found == (self.team, answer.request_id)
            if not matches:
                violations.append(
                    f'{answer.request_id}: got the answer of {found}'
                )
        if self.key and len({one.body for one in complete}) > 1:
            violations.append(
                f'key {self.key}: repeats got different responses'
            )
        return violations


@attrs.frozen
class _RequestSpec:
    """Parameters of one request.

    :ivar callers: one client for each entry, in the order of repeats
    :ivar rng: random generator of the thread
    :ivar name: unique name within the soak
    """

    team: str
    callers: list[client.Caller]
    rng: random.Random
    name: str

    def draw_prompt(self) -> str:
        """Build a unique prompt of random length."""
        count = self.rng.randint(*_PROMPT_WORDS)
        return ' '.join([self.name, *self.rng.choices(_WORDS, k=count)])


def _name_call(call: ServiceCall) -> str:
    if call.key:
        return 'order'
    return 'order without a key' if call.body else 'read'


def _send_repeatedly(
    send: Callable[[client.Caller], client.Answer],
    callers: list[client.Caller],
    rng: random.Random,
) -> list[client.Answer]:
    """Repeat a keyed request until it completes, sometimes once more.

    Each repeat goes to the next entry.
    """
    answers: list[client.Answer] = []
    while len(answers) <= _MAX_REPEATS:
        answer = send(callers[len(answers) % len(callers)])
        answers.append(answer)
        if answer.is_complete and rng.random() > _REPEAT_PROBABILITY:
            break
    return answers


class Load:
    """Threads that send requests until they are stopped.

    Each thread sends one kind of request, to one entry first, so that a
    request that waits at a paused entry delays neither other kinds nor
    other entries.

    :ivar completions: completions with their responses
    :ivar calls: calls of plain services with their responses
    """

    def __init__(
        self,
        running: deployment.Deployment,
        teams: list[str],
        seed: int,
        threads: int,
    ) -> None:
        """Prepare the threads, which ``start`` starts.

        :param teams: teams that send requests
        :param seed: seed of the random generators
        :param threads: number of threads
        """
        self._teams = teams
        self.completions: list[records.SentRequest] = []
        self.calls: list[ServiceCall] = []
        self._running = running
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(number, random.Random(f'{seed}-{number}')),
                daemon=True,
            )
            for number in range(threads)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self, seconds: float) -> int:
        """Stop sending and wait for outstanding responses.

        :param seconds: longest wait for all threads together
        :returns: number of threads that still wait for a response
        """
        self._stopped.set()
        end = time.monotonic() + seconds
        for thread in self._threads:
            thread.join(max(0.0, end - time.monotonic()))
        return sum(thread.is_alive() for thread in self._threads)

    def _run(self, number: int, rng: random.Random) -> None:
        count = 0
        send = self._choose_kind(number)
        entries = list(range(len(self._running.plan.entries)))
        first = number % len(entries)
        while not self._stopped.is_set():
            count += 1
            team = rng.choice(self._teams)
            callers = [
                self._running.make_caller(entry, team)
                for entry in entries[first:] + entries[:first]
            ]
            spec = _RequestSpec(team, callers, rng, f'{number}-{count}')
            send(spec)
            for caller in callers:
                caller.close()
            self._stopped.wait(rng.uniform(*_GAP_SECONDS))

    def _choose_kind(self, number: int) -> Callable[[_RequestSpec], None]:
        """Choose the kind of request that a thread sends."""
        kinds = [self._complete] * _COMPLETE_THREADS
        kinds += [self._complete_keyed] * _KEYED_COMPLETE_THREADS
        kinds += [self._call_keyed] * _KEYED_CALL_THREADS
        kinds += [self._call_unkeyed] * _UNKEYED_CALL_THREADS
        kinds.append(self._call_idempotent)
        return kinds[number % len(kinds)]

    def _complete(self, spec: _RequestSpec) -> None:
        rng = spec.rng
        prompt = spec.draw_prompt()
        max_tokens = rng.randint(1, _MAX_TOKENS)
        stream = rng.random() < _STREAM_SHARE
        answer = spec.callers[0].complete(
            prompt,
            model=self._running.model,
            max_tokens=max_tokens,
            stream=stream,
        )
        request = records.SentRequest(spec.team, answer, prompt, max_tokens)
        with self._lock:
            self.completions.append(request)

    def _complete_keyed(self, spec: _RequestSpec) -> None:
        rng = spec.rng
        prompt = spec.draw_prompt()
        key = f'copy-{spec.name}-{rng.getrandbits(32):08x}'
        max_tokens = rng.randint(1, _MAX_TOKENS)
        stream = rng.random() < _KEYED_STREAM_SHARE

        def send(caller: client.Caller) -> client.Answer:
            return caller.complete(
                prompt,
                model=self._running.model,
                max_tokens=max_tokens,
                stream=stream,
                idempotency_key=key,
            )

        requests = [
            records.SentRequest(spec.team, answer, prompt, max_tokens, key)
            for answer in _send_repeatedly(send, spec.callers, spec.rng)
        ]
        with self._lock:
            self.completions += requests

    def _call_keyed(self, spec: _RequestSpec) -> None:
        service = self._running.plan.blueprint.services[0]
        key = f'order-{spec.name}-{spec.rng.getrandbits(32):08x}'
        body = json.dumps({'order': key}).encode()

        def send(caller: client.Caller) -> client.Answer:
            return caller.call_service(
                service.name,
                service.path,
                method='POST',
                body=body,
                idempotency_key=key,
            )

        answers = _send_repeatedly(send, spec.callers, spec.rng)
        call = ServiceCall(spec.team, key, body, tuple(answers))
        with self._lock:
            self.calls.append(call)

    def _call_unkeyed(self, spec: _RequestSpec) -> None:
        """Send a non-idempotent call without a key and don't repeat it."""
        service = self._running.plan.blueprint.services[0]
        body = json.dumps({'order': spec.name}).encode()
        answer = spec.callers[0].call_service(
            service.name, service.path, method='POST', body=body
        )
        with self._lock:
            self.calls.append(ServiceCall(spec.team, '', body, (answer,)))

    def _call_idempotent(self, spec: _RequestSpec) -> None:
        service = self._running.plan.blueprint.services[-1]
        path = f'{service.path}/{spec.name}'
        answer = spec.callers[0].call_service(service.name, path)
        with self._lock:
            self.calls.append(ServiceCall(spec.team, '', b'', (answer,)))

    def count_keyed(self) -> tuple[int, int]:
        """Count the idempotency keys and the repeats under them."""
        keys = [one.key for one in self.completions if one.key]
        keys += [c.key for c in self.calls if c.key for _ in c.answers]
        return len(set(keys)), len(keys) - len(set(keys))

    def count_failing_seconds(self) -> tuple[int, int]:
        """Count the seconds in which no completion succeeded.

        :returns: these seconds, and the seconds from the first response to
            the last
        """
        answers = [one.answer for one in self.completions]
        ends = {int(one.ended) for one in answers}
        complete = {int(one.ended) for one in answers if one.is_complete}
        span = max(ends) - min(ends) + 1 if ends else 0
        return span - len(complete), span

    def count_outcomes(self) -> dict[str, int]:
        """Count the responses by kind of request and outcome."""
        counts: dict[str, int] = {}
        answers = [
            ('keyed completion' if one.key else 'completion', one.answer)
            for one in self.completions
        ]
        answers += [
            (_name_call(call), answer)
            for call in self.calls
            for answer in call.answers
        ]
        for kind, answer in answers:
            name = f'{kind} {answer.outcome}'
            if answer.outcome != outcomes.Outcome.COMPLETE and answer.code:
                name += f' ({answer.code})'
            counts[name] = counts.get(name, 0) + 1
        return dict(sorted(counts.items()))
